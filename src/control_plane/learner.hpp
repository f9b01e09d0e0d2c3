/// The values that are known to be in force, and the signs that there are newer ones.
///
/// Runs on the event loop's thread. What is in force is also kept on this replica's disk, so that a
/// non-member holds every value when it becomes a member, and a member that was down has what it missed.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "control_plane/replica_storage.hpp"

namespace lichenlanding::control_plane {

/// A value that a majority has accepted, under this number or a higher one.
struct KnownValue {
    consensus::ProposalNumber proposalNumber;  ///< round 0: none is known
    std::string value;
};

class Learner {
  public:
    /// `onLearned`: another value of the key is in force than was known.
    Learner(ReplicaStorage& storage, std::function<void(const std::string& key)> onLearned);

    const KnownValue& known(const std::string& key) const;
    std::size_t knownCount() const { return known_.size(); }
    consensus::RegisterState asState(const std::string& key) const;  ///< of the known value
    consensus::RegisterStates asStates() const;                      ///< of all keys with one

    /// The value is in force under this number. Older numbers are ignored.
    void learn(const std::string& key, const consensus::ProposalNumber& proposalNumber,
               const std::string& value);
    /// A proposer told that a number is in force: learnt where this disk has accepted it, else read later.
    void noteInForce(const std::string& key, const consensus::ProposalNumber& proposalNumber);
    /// A peer has accepted this number; whether it is in force is not known.
    void noteHeldByPeer(const std::string& key, const consensus::ProposalNumber& proposalNumber);
    /// The own disk has synced these states on a request.
    void noteSynced(const consensus::RegisterStates& states);
    /// The key was read: what the own disk had accepted long ago is settled.
    void noteRead(const std::string& key);

    /// Whether the key should be read: another is known to have more, or to hold what was accepted long
    /// enough ago that its proposer had time to tell the end.
    bool isBehind(const std::string& key) const;
    /// Puts the known value on this disk, if it is not there.
    void retain(const std::string& key);
    /// What a non-member's disk is to hold of the key as of now; none where it holds as much, or has become a
    /// member: a member's states change by requests alone.
    std::optional<consensus::RegisterStates> statesToRetain(const std::string& key) const;

  private:
    struct Sighting {
        consensus::ProposalNumber proposalNumber;
        Nanos since = 0;
    };
    ReplicaStorage& storage_;
    std::function<void(const std::string& key)> onLearned_;
    std::map<std::string, KnownValue> known_;
    std::map<std::string, consensus::ProposalNumber> inForce_;  // as proposers told
    std::map<std::string, Sighting> heldByPeers_;
    std::map<std::string, Nanos> acceptedAt_;  // the own disk's states that are not yet known to be in force
};

}  // namespace lichenlanding::control_plane
