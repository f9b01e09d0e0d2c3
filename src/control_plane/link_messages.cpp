#include "control_plane/link_messages.hpp"

#include "messages/codec.hpp"

namespace lichenlanding::control_plane {
namespace {

// Field names.
constexpr const char* kType = "t";
constexpr const char* kKind = "kind";
constexpr const char* kName = "name";
constexpr const char* kAddress = "at";
constexpr const char* kIncarnation = "life";
constexpr const char* kMembers = "members";
constexpr const char* kProposalNumbers = "ballots";
constexpr const char* kReachable = "hears";
constexpr const char* kAges = "ages";
constexpr const char* kService = "service";
constexpr const char* kTarget = "target";
constexpr const char* kVoter = "from";
constexpr const char* kVerdict = "verdict";
constexpr const char* kStage = "stage";
constexpr const char* kStable = "stable";  // this and the next are absent from votes of earlier versions
constexpr const char* kGeneration = "generation";
constexpr const char* kConfiguration = "configuration";
constexpr const char* kRosterAddresses = messages::kFieldProxies;
constexpr const char* kQuorumContact = "sure";
constexpr const char* kClock = "clock";
constexpr const char* kEndpointDigests = "sums";

// Values of the type field.
constexpr const char* kHelloType = "hello";
constexpr const char* kStateReportType = "known";
constexpr const char* kRosterType = "roster";
const std::map<std::string, MessageType> kTypes{
    {kHelloType, MessageType::hello}, {kStateReportType, MessageType::known},
    {"want", MessageType::want},      {"digest", MessageType::digest},
    {"lost", MessageType::lost},      {"ack", MessageType::acknowledgement},
    {"vote", MessageType::vote},
};

}  // namespace

MessageType messageType(const Json& message) {
    const auto it = kTypes.find(message.at(kType).get_ref<const std::string&>());
    return it == kTypes.end() ? MessageType::other : it->second;
}

Hello decodeHello(const Json& message) {
    Hello hello;
    message.at(kKind).get_to(hello.kind);
    message.at(kAddress).get_to(hello.address);
    if (hello.fromControlPlane()) {
        message.at(kMembers).get_to(hello.members);
    } else {
        message.at(kName).get_to(hello.name);
        message.at(kIncarnation).get_to(hello.incarnation);
    }
    return hello;
}

Json encodeHello(Json replicaFields, const std::string& name, const std::string& address) {
    replicaFields.update(
        {{kType, kHelloType}, {kKind, kControlPlaneKind}, {kName, name}, {kAddress, address}});
    return replicaFields;
}

Json encodeStateReport(const StateReport& report) {
    Json proposalNumbers = Json::object();
    for (const auto& [key, number] : report.proposalNumbers) proposalNumbers[key] = messages::encode(number);
    Json ages = Json::array();
    for (const auto& [rollout, age] : report.ages)
        ages.push_back({rollout, age.order, age.stage, age.inStage});
    return {{kType, kStateReportType},
            {kProposalNumbers, std::move(proposalNumbers)},
            {kReachable, report.reachable},
            {kAges, std::move(ages)}};
}

std::optional<std::set<std::string>> decodeReachable(const Json& report) {
    if (!report.contains(kReachable)) return std::nullopt;
    return report.at(kReachable).get<std::set<std::string>>();
}

std::optional<std::vector<RolloutAge>> decodeAges(const Json& report) {
    if (!report.contains(kAges)) return std::nullopt;
    std::vector<RolloutAge> ages;
    for (const auto& entry : report.at(kAges))
        ages.push_back(
            {entry.at(0).get<std::string>(),
             {entry.at(1).get<std::int64_t>(), entry.at(2).get<int>(), entry.at(3).get<std::int64_t>()}});
    return ages;
}

RolloutVote decodeVote(const Json& message) {
    RolloutVote vote;
    message.at(kService).get_to(vote.service);
    message.at(kTarget).get_to(vote.target);
    message.at(kVoter).get_to(vote.voter);
    vote.verdict = static_cast<Verdict>(message.at(kVerdict).get<int>());
    message.at(kStage).get_to(vote.stage);
    vote.stable = message.value(kStable, false);
    if (message.contains(kGeneration)) vote.generation = message.at(kGeneration).get<std::int64_t>();
    vote.message = message;
    return vote;
}

std::uint32_t decodeAcknowledgement(const Json& message) {
    return message.at(kConfiguration).get<std::uint32_t>();
}

std::string decodeLostProxy(const Json& message) { return message.at(kName).get<std::string>(); }

Json encodeRoster(const std::map<std::string, std::string>& addresses) {
    Json encoded = Json::object();
    for (const auto& [name, address] : addresses) encoded[name] = address;
    return {{kType, kRosterType}, {kRosterAddresses, std::move(encoded)}};
}

Json withContact(Json message, bool quorumContact, std::int64_t clockMilliseconds) {
    message[kQuorumContact] = quorumContact;
    if (message.contains(kEndpointDigests)) message[kClock] = clockMilliseconds;
    return message;
}

}  // namespace lichenlanding::control_plane
