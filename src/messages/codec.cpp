#include "messages/codec.hpp"

#include "config/configuration.hpp"

// X(member, field name)
#define ENDPOINT_FIELDS(X) \
    X(id, "i")             \
    X(service, "s") X(address, "a") X(zone, "z") X(version, "v") X(slots, "k") X(draining, "d") X(warmup, "w")
#define ROLLOUT_FIELDS(X) \
    X(service, "service") \
    X(target, "target")   \
    X(state, "state")     \
    X(stage, "stage") X(number, "number") X(timeLimitMs, "term")
// Earlier versions stored wall-clock times in place of these fields. The ages of such a rollout count from
// the time at which it is read.
#define ROLLOUT_AGES(X) X(ageMs, "age") X(stageAgeMs, "in_stage")

namespace {

// Absent if 0, and from rollouts that earlier versions have written.
constexpr const char* kGeneration = "generation";

}  // namespace

namespace lichenlanding::messages {

Json encode(const discovery::Endpoint& endpoint) {
    Json json;
#define X(field, name) json[name] = endpoint.field;
    ENDPOINT_FIELDS(X)
#undef X
    return json;
}

discovery::Endpoint decodeEndpoint(const Json& from) {
    discovery::Endpoint endpoint;
#define X(field, name) from.at(name).get_to(endpoint.field);
    ENDPOINT_FIELDS(X)
#undef X
    return endpoint;
}

discovery::Endpoint decodePlatformEntry(const Json& entry) {
    discovery::Endpoint endpoint;
    entry.at("instance_id").get_to(endpoint.id);
    entry.at("service_name").get_to(endpoint.service);
    entry.at("address").get_to(endpoint.address);
    entry.at("zone").get_to(endpoint.zone);
    entry.at("config_version").get_to(endpoint.version);
    entry.at("capacity_slots").get_to(endpoint.slots);
    endpoint.draining = entry.at("state").get<std::string>() != "ready";
    if (const auto warmup = entry.find("warmup_left"); warmup != entry.end() && warmup->is_string())
        endpoint.warmup = config::parseDuration(warmup->get_ref<const std::string&>());
    return endpoint;
}

Json encodeBytes(const std::string& bytes) {
    return Json::binary(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

std::string decodeBytes(const Json& from) {
    const auto& bytes = from.get_binary();
    return {bytes.begin(), bytes.end()};
}

Json encode(const consensus::ProposalNumber& proposalNumber) {
    return Json::array({proposalNumber.round, proposalNumber.proposer});
}

consensus::ProposalNumber decodeProposalNumber(const Json& from) {
    return {from.at(0).get<std::uint64_t>(), from.at(1).get<std::uint32_t>()};
}

Json encode(const consensus::RegisterState& state) {
    return Json::array({encode(state.promised), encode(state.accepted), encodeBytes(state.value)});
}

consensus::RegisterState decodeRegisterState(const Json& from) {
    return {decodeProposalNumber(from.at(0)), decodeProposalNumber(from.at(1)), decodeBytes(from.at(2))};
}

Json encode(const verdict::Totals& totals) {
    Json json = Json::object();
    for (const auto& [route, sides] : totals)
        for (const auto& side : sides) {
            Json counts = side.bins;
            counts.push_back(side.failures);
            json[route].push_back(std::move(counts));
        }
    return json;
}

verdict::Totals decodeTotals(const Json& from) {
    verdict::Totals totals;
    for (const auto& [route, sides] : from.items())
        for (std::size_t side = 0; side < 2; ++side) {
            auto& counts = totals[route][side];
            const auto& numbers = sides.at(side);
            for (std::size_t bin = 0; bin < counts.bins.size(); ++bin)
                numbers.at(bin).get_to(counts.bins[bin]);
            numbers.at(counts.bins.size()).get_to(counts.failures);
        }
    return totals;
}

std::string encode(const Rollouts& rollouts) {
    auto list = Json::array();
    for (const auto& rollout : rollouts) {
        Json json;
#define X(field, name) json[name] = rollout.field;
        ROLLOUT_FIELDS(X)
        ROLLOUT_AGES(X)
#undef X
        if (rollout.generation > 0) json[kGeneration] = rollout.generation;
        list.push_back(std::move(json));
    }
    return list.dump();
}

Rollouts decodeRollouts(const std::string& text) {
    Rollouts rollouts;
    if (text.empty()) return rollouts;
    for (const auto& json : Json::parse(text)) {
        auto& rollout = rollouts.emplace_back();
#define X(field, name) json.at(name).get_to(rollout.field);
        ROLLOUT_FIELDS(X)
#undef X
#define X(field, name) rollout.field = json.value(name, std::int64_t{0});
        ROLLOUT_AGES(X)
#undef X
        rollout.generation = json.value(kGeneration, std::int64_t{0});
    }
    return rollouts;
}

}  // namespace lichenlanding::messages
