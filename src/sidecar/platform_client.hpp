// The client of the release platform: votes and their answers, and the watch on rollouts.
#pragma once

#include <list>

#include "sidecar/messages.hpp"
#include "sidecar/watch_stream.hpp"

namespace lichenlanding::sidecar {

class PlatformClient {
  public:
    static constexpr Nanos kIdleTimeout = 4'000'000'000;  ///< of the watch: four of the platform's heartbeats

    /// `answer`: the update answers a vote, which ended as `answered`; it is empty unless that succeeded.
    using UpdateHandler = std::function<void(const RolloutUpdate& update, bool answer, Outcome answered)>;
    using DisputeHandler = std::function<void(const Dispute&)>;

    PlatformClient(EventLoop& loop, const Address& address, Nanos connectTimeout, Nanos voteTimeout,
                   limits::ReconnectBackoff reconnectBackoff, UpdateHandler onUpdate,
                   DisputeHandler onDispute);

    void start() { watch_.start(true); }
    /// Votes in flight end at the old address.
    void setAddress(const Address& address);
    /// onUpdate is called once with its answer. A vote without a readable answer counts as timed out, since
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
