#include "control_plane/disk_identity.hpp"

#include <algorithm>
#include <cstdio>
#include <random>

#include "membership/codec.hpp"

namespace lichenlanding::control_plane {

using membership::Json, storage::kDiskIdentityNote, storage::kEpochStateNote, storage::kLegacyMembersNote;

namespace {

// A store written before epochs were introduced has a list of member addresses. These become epoch 1, each
// with a disk id derived from its address.
consensus::EpochState epochOfLegacyStore(const std::string& addresses) {
    consensus::EpochState state{{1, {}}, true, {}, {}};
    for (std::size_t begin = 0, end = 0; begin < addresses.size(); begin = end + 1) {
        end = std::min(addresses.find(',', begin), addresses.size());
        const auto address = addresses.substr(begin, end - begin);
        state.epoch.members.push_back({address, "first-" + address, "", ""});
    }
    return state;
}

consensus::EpochState foundingEpoch(const std::vector<std::string>& seeds) {
    consensus::EpochState state{{0, {}}, true, {}, {}};
    for (const auto& seed : seeds) state.epoch.members.push_back({seed, "", "", ""});
    return state;
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
            stored.witnessedWriteCounts =
                Json::parse(notes[kWitnessNote]).get<std::map<std::string, std::uint64_t>>();
        return stored;
    }
    if (const auto& members = notes[kLegacyMembersNote]; !members.empty()) {
        stored.disk = "first-" + rules.address;
        stored.update.epochState = epochOfLegacyStore(members);
        return stored;
    }
    stored.isFounder = stored.update.states.empty() && rules.bootstrap &&
                       std::binary_search(rules.seeds.begin(), rules.seeds.end(), rules.address);
    if (stored.isFounder) stored.update.epochState = foundingEpoch(rules.seeds);
    stored.disk = generateDiskId();
    return stored;
}

std::string generateDiskId() {
    std::random_device random;
    char text[17];
    std::snprintf(text, sizeof text, "%08x%08x", random(), random());
    return text;
}

}  // namespace lichenlanding::control_plane
