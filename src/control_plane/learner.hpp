/// Tracks the values that are known to be in force, and the signs that newer ones exist.
///
/// Runs on the event loop's thread. Values in force are also written to this replica's disk, so that a
/// non-member has all of them when it becomes a member, and a restarted member gets those that it missed.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "control_plane/replica_storage.hpp"
#include "membership/replica_lag.hpp"

namespace lichenlanding::control_plane {

/// A value that a majority has accepted, under this number or a higher one.
struct KnownValue {
    consensus::ProposalNumber proposalNumber;  ///< round 0: no value is known
    std::string value;
};

class Learner {
  public:
    /// `lagHorizon`: see membership::ReplicaLag. `onLearned` is called when the known value of a key changes.
    Learner(ReplicaStorage& storage, Nanos lagHorizon, std::function<void(const std::string& key)> onLearned);

    const KnownValue& known(const std::string& key) const;
    std::size_t knownCount() const { return known_.size(); }
    /// For how long a disk that has accepted `accepted` has lacked a known value of the key; 0: it lacks
    /// none.
    Nanos lagOf(const std::string& key, const consensus::ProposalNumber& accepted) const;
    consensus::RegisterState asState(const std::string& key) const;  ///< the known value
    consensus::RegisterStates asStates() const;                      ///< of all keys with a known value

    /// Records that the value is in force with this number. Older numbers are ignored.
    void learn(const std::string& key, const consensus::ProposalNumber& proposalNumber,
               const std::string& value);
    /// Handles a proposer's report that a number is in force. The value is learned at once if this disk has
    /// accepted that number, else it is read later.
    void noteInForce(const std::string& key, const consensus::ProposalNumber& proposalNumber);
    /// Records that a peer has accepted this number, which may or may not be in force.
    void noteAcceptedByPeer(const std::string& key, const consensus::ProposalNumber& proposalNumber);
    /// Records states that this replica's disk has synced for a request.
    void noteSynced(const consensus::RegisterStates& states);
    /// Records that the key was read from a majority, which settles what this disk accepted before.
    void noteRead(const std::string& key);

    /// Whether the key should be read: a newer number is known to be in force, or a peer or this disk has
    /// accepted a newer value and its proposer has had enough time to report the result.
    bool isBehind(const std::string& key) const;
    /// Writes the known value to this disk, unless it is there.
    void retain(const std::string& key);
    /// The state of the key that a non-member's disk should store. Null if it is up to date, or if this
    /// replica is a member: a member's states change by requests only.
    std::optional<consensus::RegisterStates> statesToRetain(const std::string& key) const;

  private:
    struct PeerAcceptance {
        consensus::ProposalNumber proposalNumber;
        Nanos since = 0;
    };
    ReplicaStorage& storage_;
    const Nanos lagHorizon_;
    std::function<void(const std::string& key)> onLearned_;
    std::map<std::string, KnownValue> known_;
    std::map<std::string, membership::ReplicaLag> lags_;        // by key, for known_
    std::map<std::string, consensus::ProposalNumber> inForce_;  // highest number that proposers have reported
    std::map<std::string, PeerAcceptance> acceptedByPeers_;
    std::map<std::string, Nanos> acceptedAt_;  // time of acceptance by this disk, until known to be in force
};

}  // namespace lichenlanding::control_plane
