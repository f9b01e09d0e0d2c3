/// Proposals at a key of the register: a read, or a value that follows from the one in force.
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

/// What tells this replica's proposals from all others' in the same round.
std::uint32_t proposerNumber(const std::string& address);

class Proposer {
  public:
    Proposer(transport::asio::io_context& io, RequestBroker& broker, PeerDirectory& peers,
             EpochTracker& epochs, QuorumContactMonitor& contact, Learner& learner, std::string address);

    /// Ends with the value in force after `change`; none where no majority could be had within this time, and
    /// at once out of contact. `readFirst`: first see whether a majority agrees on a value that needs no
    /// change.
    Task<std::optional<std::string>> update(std::string key, consensus::Change change, Nanos within,
                                            bool readFirst = true);
    /// Ends with the value in force. One that meets a proposal under way looks again before it completes that
    /// in its proposer's place: where the way takes long, readers would otherwise hinder proposers, and each
    /// other, without end.
    Task<std::optional<std::string>> read(std::string key, Nanos within);

  private:
    class ProposalExchange;
    struct Attempt;
    Task<std::optional<std::string>> propose(std::string key, consensus::Change change, Nanos within,
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
    std::map<std::string, std::uint64_t> highestRounds_;  // seen, by key
};

}  // namespace lichenlanding::control_plane
