#include "sidecar/platform_client.hpp"

namespace lichenlanding::sidecar {
namespace {

const char* nameOf(Verdict verdict) {
    static constexpr const char* kNames[] = {"none", "on", "hold", "back"};
    return kNames[static_cast<int>(verdict)];
}

}  // namespace

PlatformClient::PlatformClient(EventLoop& loop, const Address& address, Nanos connectTimeout,
                               Nanos voteTimeout, limits::ReconnectBackoff reconnectBackoff,
                               UpdateHandler onUpdate, DisputeHandler onDispute)
    : loop_(loop),
      address_(address),
      connectTimeout_(connectTimeout),
      voteTimeout_(voteTimeout),
      onUpdate_(std::move(onUpdate)),
      onDispute_(std::move(onDispute)),
      watch_(
          loop, address, LogEvent::platform, connectTimeout, kIdleTimeout, reconnectBackoff,
          [] { return paths::kRolloutWatch; }, [this](std::string_view json) { return onLine(json); }) {}

// Each vote uses a new connection: votes are rare, and the platform may have dropped an idle connection.
void PlatformClient::vote(Verdict verdict, int build, int stage) {
    votesInFlight_.emplace_back(loop_, address_, kMaxBodyBytes);
    const auto connection = std::prev(votesInFlight_.end());
    const HttpRequest request{
        EVHTTP_REQ_POST,
        paths::kVerdicts,
        {{"Host", address_.text()}, {"Content-Type", "application/json"}, {"Connection", "close"}},
        formatVote(verdict, build, stage)};
    const auto description = std::string(nameOf(verdict)) + " on build " + std::to_string(build) + " stage " +
                             std::to_string(stage);
    connection->call(request, connectTimeout_, voteTimeout_,
                     [this, connection, description](const CallResponse& response) {
                         loop_.post([this, connection] { votesInFlight_.erase(connection); });
                         onVoteAnswer(description, response);
                     });
}

void PlatformClient::onVoteAnswer(const std::string& vote, const CallResponse& response) {
    auto outcome = outcomeOfVote(response.result, response.statusCode);
    const auto update = parseRolloutUpdate(response.body);
    if (outcome == Outcome::succeeded && !update) outcome = Outcome::timedOut;
    const auto failure =
        " not accepted: " + std::string(nameOf(response.result)) + " " + std::to_string(response.statusCode);
    log(LogEvent::vote, vote + (outcome == Outcome::succeeded ? " accepted" : failure));
    onUpdate_(update.value_or(RolloutUpdate{}), true, outcome);
}

void PlatformClient::setAddress(const Address& address) {
    address_ = address;
    watch_.setAddress(address);
}

// After a malformed line the rest of the stream is not trusted; a new watch starts with the newest build's
// state.
bool PlatformClient::onLine(std::string_view json) {
    const auto message = parsePlatformLine(json);
    if (!message) return false;
    if (const auto* update = std::get_if<RolloutUpdate>(&*message))
        onUpdate_(*update, false, Outcome::succeeded);
    if (const auto* dispute = std::get_if<Dispute>(&*message)) onDispute_(*dispute);
    return true;
}

}  // namespace lichenlanding::sidecar
