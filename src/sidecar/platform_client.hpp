// The client of the release platform: sends votes and watches rollouts.
#pragma once

#include <list>

#include "sidecar/messages.hpp"
#include "sidecar/watch_stream.hpp"

namespace lichenlanding::sidecar {

class PlatformClient {
  public:
    static constexpr Nanos kIdleTimeout = 4'000'000'000;  ///< of the watch: four heartbeats of the platform

    /// `isAnswer`: the update answers a vote, which ended with `outcome`; it is empty unless the vote
    /// succeeded.
    using UpdateHandler = std::function<void(const RolloutUpdate& update, bool isAnswer, Outcome outcome)>;
    using DisputeHandler = std::function<void(const Dispute&)>;

    PlatformClient(EventLoop& loop, const Address& address, Nanos connectTimeout, Nanos voteTimeout,
                   limits::ReconnectBackoff reconnectBackoff, UpdateHandler onUpdate,
                   DisputeHandler onDispute);

    void start() { watch_.start(true); }
    /// Votes in flight complete at the old address.
    void setAddress(const Address& address);
    /// Calls onUpdate once with the answer. A vote whose answer cannot be parsed counts as timed out, since
    /// it may have been executed.
    void vote(Verdict verdict, int build, int stage);

  private:
    void onVoteAnswer(const std::string& vote, const CallResponse& response);
    bool onLine(std::string_view json);

    EventLoop& loop_;
    Address address_;
    Nanos connectTimeout_, voteTimeout_;
    UpdateHandler onUpdate_;
    DisputeHandler onDispute_;
    std::list<Connection> votesInFlight_;
    WatchStream watch_;
};

}  // namespace lichenlanding::sidecar
