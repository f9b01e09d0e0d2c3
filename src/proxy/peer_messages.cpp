#include "proxy/peer_messages.hpp"

#include "messages/codec.hpp"

namespace lichenlanding::proxy {

const std::string& typeOf(const Json& message) { return message.at("t").get_ref<const std::string&>(); }

Json encode(const ProxyHello& hello) {
    return {{"t", wire::kHello},
            {"kind", wire::kProxy},
            {"name", hello.name},
            {"at", hello.address},
            {"life", hello.incarnation}};
}

std::string peerKindOf(const Json& hello) { return hello.at("kind").get<std::string>(); }

std::vector<std::string> controlNodesOf(const Json& hello) {
    return hello.at("members").get<std::vector<std::string>>();
}

std::map<std::string, std::string> decodeRoster(const Json& roster) {
    return roster.at(wire::kRosterProxies).get<std::map<std::string, std::string>>();
}

Json encode(const OutcomeCounts& counts) {
    return {{"t", wire::kCounts},         {"from", counts.from},
            {"life", counts.incarnation}, {"number", counts.sequence},
            {"rollout", counts.rollout},  {"totals", messages::encode(counts.totals)}};
}

OutcomeCounts decodeOutcomeCounts(const Json& message) {
    return {message.at("from").get<std::string>(), message.at("life").get<std::uint64_t>(),
            message.at("number").get<std::uint64_t>(), message.at("rollout").get<std::string>(),
            messages::decodeTotals(message.at("totals"))};
}

Json encode(const Vote& vote) {
    const auto& evaluation = vote.evaluation;
    Json message{{"t", wire::kVote},
                 {"from", vote.from},
                 {"service", vote.service},
                 {"target", vote.target},
                 {"stage", vote.stage},
                 {"verdict", static_cast<int>(evaluation.verdict)},
                 {"fresh", evaluation.canaryOutcomes},
                 {"earlier", evaluation.stableOutcomes},
                 {"bad", evaluation.canaryFailures},
                 {"lower", evaluation.bounds.lowerChance},
                 {"upper", evaluation.bounds.upperChance}};
    if (vote.stable) message["stable"] = true;
    if (vote.generation > 0) message["generation"] = vote.generation;
    return message;
}

Json encode(const PeerLost& lost) { return {{"t", wire::kPeerLost}, {"name", lost.name}}; }

Json encode(const Acknowledgement& acknowledgement) {
    return {{"t", wire::kAcknowledgement}, {"configuration", acknowledgement.version}};
}

}  // namespace lichenlanding::proxy
