#include "control_plane/disk_identity.hpp"

#include <algorithm>
#include <cstdio>
#include <random>

#include "membership/codec.hpp"

namespace lichenlanding::control_plane {

using membership::Json, storage::kDiskIdentityNote, storage::kEpochStateNote, storage::kLegacyMembersNote;

namespace {

// A store from before there were epochs: its members are the first epoch, each on the disk that it had then.
consensus::EpochState firstEpoch(const std::string& addresses) {
    consensus::EpochState first{{1, {}}, true, {}, {}};
    for (std::size_t from = 0, to = 0; from < addresses.size(); from = to + 1) {
        to = std::min(addresses.find(',', from), addresses.size());
        const auto address = addresses.substr(from, to - from);
        first.epoch.members.push_back({address, "first-" + address, "", ""});
    }
    return first;
}

consensus::EpochState foundingEpoch(const std::vector<std::string>& seeds) {
    consensus::EpochState founding{{0, {}}, true, {}, {}};
    for (const auto& seed : seeds) founding.epoch.members.push_back({seed, "", "", ""});
    return founding;
}

}  // namespace

StoredReplica readIdentity(consensus::RegisterStates states, Notes notes, const FoundingRules& rules) {
    StoredReplica stored;
    stored.update.states = std::move(states);
    stored.disk = notes[kDiskIdentityNote];
    stored.isNew = stored.disk.empty();
    if (!stored.isNew) {
        if (!notes[kEpochStateNote].empty())
            stored.update.epochState = membership::decodeEpochState(Json::parse(notes[kEpochStateNote]));
        if (!notes[kWritesNote].empty()) stored.writes = std::stoull(notes[kWritesNote]);
        if (!notes[kWitnessNote].empty())
            stored.witnessed = Json::parse(notes[kWitnessNote]).get<std::map<std::string, std::uint64_t>>();
        return stored;
    }
    if (const auto& members = notes[kLegacyMembersNote]; !members.empty()) {
        stored.disk = "first-" + rules.address;
        stored.update.epochState = firstEpoch(members);
        return stored;
    }
    stored.isFounder = stored.update.states.empty() && rules.bootstrap &&
                       std::binary_search(rules.seeds.begin(), rules.seeds.end(), rules.address);
    if (stored.isFounder) stored.update.epochState = foundingEpoch(rules.seeds);
    stored.disk = drawDiskId();
    return stored;
}

std::string drawDiskId() {
    std::random_device random;
    char text[17];
    std::snprintf(text, sizeof text, "%08x%08x", random(), random());
    return text;
}

}  // namespace lichenlanding::control_plane
