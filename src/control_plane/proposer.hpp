/// Runs proposals for a key of the register: reads, and updates computed from the value in force.
///
/// Runs on the event loop's thread; the object outlives its coroutines.
#pragma once

#include <map>
#include <optional>
#include <random>
#include <string>

#include "control_plane/epoch_tracker.hpp"
#include "control_plane/learner.hpp"
#include "control_plane/quorum_contact_monitor.hpp"
#include "control_plane/request_broker.hpp"

namespace lichenlanding::control_plane {

/// A number derived from the address that orders proposals of different replicas in the same round.
std::uint32_t proposerNumber(const std::string& address);

class Proposer {
  public:
    Proposer(transport::asio::io_context& io, RequestBroker& broker, PeerDirectory& peers,
             EpochTracker& epochs, QuorumContactMonitor& contact, Learner& learner, std::string address);

    /// Returns the value in force after `change`; nullopt if no majority answers within `timeout`
    /// (nanoseconds), and at once without quorum contact. `readFirst`: begins with a read, which is enough if
    /// a majority agrees on a value that `change` leaves as it is.
    Task<std::optional<std::string>> update(std::string key, consensus::Change change, Nanos timeout,
                                            bool readFirst = true);
    /// Returns the value in force; nullopt as for update(). A read that finds a pending proposal repeats the
    /// read a few times before it completes that proposal itself: with long round trips, readers would
    /// otherwise keep outbidding proposers and each other.
    Task<std::optional<std::string>> read(std::string key, Nanos timeout);

  private:
    class ProposalExchange;
    struct Attempt;
    Task<std::optional<std::string>> propose(std::string key, consensus::Change change, Nanos timeout,
                                             bool readFirst, int rereads);
    Task<> runAttempt(Attempt& attempt);
    void noteInForce(const std::string& key, const consensus::Proposal& proposal);

    transport::asio::io_context& io_;
    RequestBroker& broker_;
    PeerDirectory& peers_;
    EpochTracker& epochs_;
    QuorumContactMonitor& contact_;
    Learner& learner_;
    const std::string address_;
    std::map<std::string, std::uint64_t> highestRounds_;  // seen so far, by key
};

}  // namespace lichenlanding::control_plane
