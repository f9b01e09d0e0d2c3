#include "membership/membership.hpp"

#include <algorithm>
#include <tuple>

#include "hashing/rendezvous.hpp"
#include "messages/codec.hpp"

namespace lichenlanding::membership {
namespace {

using Members = std::vector<consensus::Member>;

// Whether the loss of the `lost` fullest places leaves more than half.
template <typename Place>
bool bears(const Members& members, int lost, Place place) {
    std::map<std::string, std::size_t> counts;
    for (const auto& member : members) ++counts[place(member)];
    std::vector<std::size_t> fullest;
    for (const auto& [_, count] : counts) fullest.push_back(count);
    std::sort(fullest.rbegin(), fullest.rend());
    std::size_t gone = 0;
    for (std::size_t at = 0; at < fullest.size() && at < static_cast<std::size_t>(lost); ++at)
        gone += fullest[at];
    return 2 * gone < members.size();
}

// So many of `pool`, spread: always one from the region, then the zone, that has the fewest yet.
Members spread(const Members& pool, std::size_t count, const Members& now) {
    Members chosen, left = pool;
    std::map<std::string, int> zones, regions;
    while (chosen.size() < count && !left.empty()) {
        const auto rank = [&](const consensus::Member& one) {
            const bool held = std::find(now.begin(), now.end(), one) != now.end();
            return std::tuple(regions[one.region], zones[one.zone], !held,
                              hashing::hash("member", one.address), one.disk);
        };
        const auto best = std::min_element(left.begin(), left.end(), [&](const auto& one, const auto& other) {
            return rank(one) < rank(other);
        });
        ++regions[best->region], ++zones[best->zone];
        chosen.push_back(*best);
        left.erase(best);
    }
    return chosen;
}

}  // namespace

std::vector<std::string> unmetTolerance(const Members& members, const FaultTolerance& tolerance) {
    std::vector<std::string> all;
    const auto ask = [&](int lost, const char* what, auto place) {
        if (lost > 0 && !bears(members, lost, place))
            all.push_back(std::to_string(lost) + " " + what + (lost > 1 ? "s" : ""));
    };
    ask(tolerance.machines, "machine", [](const consensus::Member& one) { return one.address; });
    ask(tolerance.zones, "zone", [](const consensus::Member& one) { return one.zone; });
    ask(tolerance.regions, "region", [](const consensus::Member& one) { return one.region; });
    return all;
}

Members plan(const Members& now, const std::vector<Candidate>& candidates, const FaultTolerance& tolerance) {
    Members pool;
    for (const auto& candidate : candidates) {
        const bool held = std::find(now.begin(), now.end(), candidate.member) != now.end();
        if (candidate.present && (candidate.whole || held)) pool.push_back(candidate.member);
    }
    std::sort(pool.begin(), pool.end());
    const auto least = static_cast<std::size_t>(2 * std::max(tolerance.machines, 0) + 1);
    Members chosen;
    std::size_t unborne = 0;
    for (auto count = least; count <= std::max(least, pool.size()); count += 2) {
        auto these = spread(pool, count, now);
        const auto bad = unmetTolerance(these, tolerance).size();
        if (chosen.empty() || bad < unborne) chosen = these, unborne = bad;
        if (bad == 0) break;
    }
    // Where the machines at hand are too few, those that are absent keep their seats.
    for (const auto& member : now) {
        if (chosen.size() >= std::max(now.size(), std::size_t{1})) break;
        if (std::find(chosen.begin(), chosen.end(), member) == chosen.end()) chosen.push_back(member);
    }
    // What would not have a majority of its own at once is no plan.
    const auto live = std::count_if(chosen.begin(), chosen.end(), [&](const auto& one) {
        return std::binary_search(pool.begin(), pool.end(), one);
    });
    if (2 * static_cast<std::size_t>(live) <= chosen.size()) return now;
    std::sort(chosen.begin(), chosen.end());
    return chosen;
}

Json write(const consensus::Epoch& epoch) {
    Json members = Json::array();
    for (const auto& one : epoch.members)
        members.push_back(
            {{"address", one.address}, {"disk", one.disk}, {"zone", one.zone}, {"region", one.region}});
    return {{"number", epoch.number}, {"members", std::move(members)}};
}

consensus::Epoch decodeEpoch(const Json& from) {
    consensus::Epoch epoch;
    from.at("number").get_to(epoch.number);
    for (const auto& one : from.at("members"))
        epoch.members.push_back({one.at("address").get<std::string>(), one.at("disk").get<std::string>(),
                                 one.at("zone").get<std::string>(), one.at("region").get<std::string>()});
    return epoch;
}

Json write(const consensus::EpochState& standing) {
    Json told{{"epoch", write(standing.epoch)}, {"open", standing.open}};
    if (standing.next) told["next"] = write(*standing.next);
    if (standing.before) told["before"] = write(*standing.before);
    return told;
}

consensus::EpochState decodeEpochState(const Json& from) {
    consensus::EpochState standing;
    standing.epoch = decodeEpoch(from.at("epoch"));
    from.at("open").get_to(standing.open);
    if (from.contains("next")) standing.next = decodeEpoch(from.at("next"));
    if (from.contains("before")) standing.before = decodeEpoch(from.at("before"));
    return standing;
}

Json write(const consensus::Request& request) {
    Json told{{"kind", static_cast<int>(request.kind)}, {"epoch", request.epoch}};
    if (!request.key.empty()) told["key"] = request.key;
    if (request.proposalNumber.round > 0) told["ballot"] = messages::encode(request.proposalNumber);
    if (request.kind == consensus::Request::Kind::accept)
        told["value"] = messages::encodeBytes(request.value);
    if (request.held.round > 0) told["held"] = messages::encode(request.held);
    for (const auto& [key, proposalNumber] : request.holds)
        told["holds"][key] = messages::encode(proposalNumber);
    if (request.to) told["to"] = write(*request.to);
    if (request.from) told["from"] = write(*request.from);
    if (request.open) told["open"] = true;
    return told;
}

consensus::Request decodeRequest(const Json& from) {
    consensus::Request request;
    const auto kind = from.at("kind").get<int>();
    request.kind = static_cast<consensus::Request::Kind>(kind);
    from.at("epoch").get_to(request.epoch);
    if (from.contains("key")) from.at("key").get_to(request.key);
    if (from.contains("ballot")) request.proposalNumber = messages::decodeProposalNumber(from.at("ballot"));
    if (request.kind == consensus::Request::Kind::accept)
        request.value = messages::decodeBytes(from.at("value"));
    if (from.contains("held")) request.held = messages::decodeProposalNumber(from.at("held"));
    if (from.contains("holds"))
        for (const auto& [key, proposalNumber] : from.at("holds").items())
            request.holds[key] = messages::decodeProposalNumber(proposalNumber);
    if (from.contains("to")) request.to = decodeEpoch(from.at("to"));
    if (from.contains("from")) request.from = decodeEpoch(from.at("from"));
    if (from.contains("open")) from.at("open").get_to(request.open);
    // What a copy would have to guess is no request.
    using Kind = consensus::Request::Kind;
    const bool ofEpochs = request.kind == Kind::seal || request.kind == Kind::install;
    if (kind < 0 || kind > static_cast<int>(Kind::install) || ofEpochs != request.to.has_value())
        from.at("no such request");
    return request;
}

Json write(const consensus::Reply& reply) {
    Json told{{"refused", reply.refused}, {"taken", reply.taken},   {"epoch", reply.epoch},
              {"sealed", reply.sealed},   {"writes", reply.writes}, {"cell", messages::encode(reply.cell)}};
    if (reply.valueOmitted) told["spared"] = true;
    for (const auto& [key, cell] : reply.cells) told["cells"][key] = messages::encode(cell);
    return told;
}

consensus::Reply decodeReply(const Json& from) {
    consensus::Reply reply;
    from.at("refused").get_to(reply.refused);
    from.at("taken").get_to(reply.taken);
    from.at("epoch").get_to(reply.epoch);
    from.at("sealed").get_to(reply.sealed);
    from.at("writes").get_to(reply.writes);
    reply.cell = messages::decodeRegisterState(from.at("cell"));
    reply.valueOmitted = from.contains("spared");
    if (from.contains("cells"))
        for (const auto& [key, cell] : from.at("cells").items())
            reply.cells[key] = messages::decodeRegisterState(cell);
    return reply;
}

}  // namespace lichenlanding::membership
