/// Consensus on one value for each key of a register that a majority of disks holds: written to a majority,
/// read from a majority, the highest proposal number wins. No log, no leader. The members are a value too: an
/// epoch, changed by agreement of its own members and sealed before the next one opens.
/// docs/design/control.md tells why it holds.
///
/// Pure: no clock, no randomness, no I/O, no threads; an object belongs to one thread at a time. The host
/// moves messages (any may be lost, doubled, late or out of order) and keeps register states and epoch state
/// on disk. Invariants, each checked by the explorer in tests/consensus:
///   - Lasting: what a write or a read has ended with is what every later one ends with or builds on;
///   - OneBody: a proposal number has one value for good;
///   - OneEpochOpen: no two sets of members are open under one number;
///   - NoOldEpochWrites: nothing ends in an epoch once its successor is open;
///   - NoForgetfulVote: a disk that was lost, or put back from an older image, never answers as before;
///   - FoundedOnce: the first epoch is one, whatever is killed on the way.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lichenlanding::consensus {

/// Totally ordered; round 0 is none.
struct ProposalNumber {
    std::uint64_t round = 0;
    std::uint32_t proposer = 0;  ///< the proposer, unlike any other's: tells two numbers of one round apart
    auto operator<=>(const ProposalNumber&) const = default;
};

/// What one disk holds of one key.
struct RegisterState {
    ProposalNumber promised;  ///< nothing below is accepted any more
    ProposalNumber accepted;  ///< of `value`
    std::string value;
    bool operator==(const RegisterState&) const = default;
};
using RegisterStates = std::map<std::string, RegisterState>;  // by key

/// One replica: a machine with the disk that it has now. Another disk is another member.
struct Member {
    std::string address, disk, zone, region;
    auto operator<=>(const Member&) const = default;
};

/// The members, from one change of them to the next. Number 0 is the founding: its members are the seeds as
/// all were told them, by address alone (disk ""), and all that they ever decide is epoch 1.
struct Epoch {
    std::uint64_t number = 0;
    std::vector<Member> members;  ///< in order of address
    std::size_t majority() const { return members.size() / 2 + 1; }
    /// The place of a member; none where it isn't one.
    std::optional<std::uint32_t> find(const std::string& address, const std::string& disk) const;
    bool operator==(const Epoch&) const = default;
};

/// What one disk knows for good of the epochs.
struct EpochState {
    Epoch epoch;        ///< the newest that it was told of
    bool open = false;  ///< a majority of its members holds all values
    std::optional<Epoch>
        successor;  ///< the decided successor: `epoch` is sealed here, nothing of it is answered
    std::optional<Epoch>
        predecessor;  ///< what `epoch` follows, until it is open: who completes it needs both
    bool operator==(const EpochState&) const = default;
};

/// The key under which the members of one epoch decide the next; it has no meaning in any other epoch.
std::string successorKey(const Epoch& of);
/// Whether a key is a successor key, of whatever epoch.
bool isSuccessorKey(const std::string& key);

/// From a proposer to an acceptor.
struct Request {
    /// The numbers are part of the wire protocol.
    enum class Kind : std::uint8_t { read, prepare, accept, seal, install };
    Kind kind = Kind::read;
    std::uint64_t epoch = 0;
    std::string key;
    ProposalNumber proposalNumber;
    std::string value;           ///< accept only
    ProposalNumber knownNumber;  ///< of a value that the proposer has: an equal one need not be sent back
    std::map<std::string, ProposalNumber> knownNumbers;  ///< seal: the same, by key
    std::optional<Epoch> successor,
        predecessor;    ///< seal, install: the successor, and the epoch that it follows
    bool open = false;  ///< install: the successor is open
};

/// From an acceptor to a proposer.
struct Reply {
    /// The acceptor is no member of the request's epoch, or has sealed it: it is no part of any majority.
    bool rejected = false;
    bool accepted = false;         ///< false where a higher promise stood against the request
    RegisterState state;           ///< as it is after the request
    bool valueOmitted = false;     ///< `state`'s value is the proposer's own, and left out
    RegisterStates states;         ///< of a seal: all
    std::uint64_t epoch = 0;       ///< the acceptor's own
    bool sealed = false;           ///< the acceptor has sealed its own epoch
    std::uint64_t writeCount = 0;  ///< how often the disk was written: a lower number later is a lost disk
};

/// What must be on disk before a reply is sent.
struct Update {
    RegisterStates states;
    std::optional<EpochState> epochState;
};

/// One disk's part in the consensus. The host asks what a request would change, has the disk sync it, and
/// only then applies it and sends the reply: nothing is told that a loss of power could take back.
class Acceptor {
  public:
    Acceptor() = default;
    /// On the disk with this identity, at this address.
    Acceptor(std::string address, std::string disk) : address_(std::move(address)), disk_(std::move(disk)) {}

    const std::string& disk() const { return disk_; }
    /// A member of its newest epoch that has not sealed it.
    bool isVotingMember() const { return !epochState_.successor && isMember(epochState_.epoch); }
    bool isMember(const Epoch& epoch) const;
    /// The reply; `update` is set where something must be on disk before it is sent. Changes nothing itself.
    Reply evaluate(const Request& request, std::optional<Update>& update) const;
    void apply(const Update& update);
    const RegisterStates& states() const { return states_; }
    const RegisterState& state(const std::string& key) const;
    const EpochState& epochState() const { return epochState_; }

  private:
    Reply evaluateInstall(const Request& request, std::optional<Update>& update) const;
    Reply evaluateSeal(const Request& request, std::optional<Update>& update) const;
    Reply evaluateAtKey(const Request& request, std::optional<Update>& update) const;
    Reply emptyReply() const;

    std::string address_, disk_;
    EpochState epochState_;
    RegisterStates states_;
};

/// From the value in force to the one that shall be; the same value: nothing to change, but it must be in
/// force for sure. May be called several times, with different values.
using Change = std::function<std::string(const std::string&)>;

/// One proposal at a key: a read (which ends at once where a majority agrees), else prepare and accept. The
/// host sends request() to all members whenever the step has moved, and hands in replies with the step they
/// answer; a reply of an earlier step is dropped. On `lost` it waits a little and makes another proposal
/// above highestRound().
class Proposal {
  public:
    /// The numbers are part of the wire protocol.
    enum class Step : std::uint8_t { read, prepare, accept, done, lost };

    /// `held`: a value that the host knows with its number, if any, so that acceptors need not send it.
    /// `base`: what an earlier epoch has left, counted as if a member had told it.
    Proposal(std::string key, const Epoch& epoch, std::uint32_t writer, std::uint64_t above, Change change,
             bool readFirst, RegisterState held = {}, RegisterState base = {});

    Step step() const { return step_; }
    Request request() const;
    /// From the member in this place of the epoch. True where the step has moved.
    bool handleReply(std::uint32_t member, Step answered, const Reply& reply);

    const std::string& value() const { return value_; }                ///< when done
    ProposalNumber proposalNumber() const { return proposalNumber_; }  ///< of the value, when done
    std::uint64_t highestRound() const { return highestRound_; }       ///< seen
    /// The highest state that it was told or began with: the next proposal need not be told it again.
    const RegisterState& highestSeen() const {
        return highest_.accepted > known_.accepted ? highest_ : known_;
    }
    std::uint64_t epoch() const { return epoch_; }

  private:
    void enterStep(Step step);
    bool handleRejection(const Reply& reply);
    bool handleRead(const RegisterState& state);
    bool handleVote(std::uint32_t member, const Reply& reply, const RegisterState& state);

    std::string key_;
    std::uint64_t epoch_;
    std::size_t majority_;
    std::uint32_t proposer_;
    std::uint64_t highestRound_;
    Change change_;
    Step step_;
    ProposalNumber proposalNumber_;
    std::string value_;
    RegisterState known_;                              // by the host, or as read
    RegisterState inherited_;                          // from an earlier epoch
    RegisterState highest_;                            // of this prepare's replies
    std::set<std::uint32_t> answeredBy_, acceptedBy_;  // members, in this step
    std::optional<RegisterState> lastRead_;
    bool unanimous_ = true;  // all reads so far
};

/// From one epoch to the successor that its members have decided: seal a majority of the old, put the highest
/// state of every key on a majority of the new, open the new on a majority of its disks. Any number of hosts
/// may do it at once, in part, or again: each step keeps what another has done.
class Reconfiguration {
  public:
    /// The numbers are part of the wire protocol.
    enum class Step : std::uint8_t { seal, transfer, open, done, lost };

    /// `held`: what the host knows, so that acceptors need not send it.
    Reconfiguration(Epoch from, Epoch to, std::uint32_t writer, RegisterStates held = {});

    Step step() const { return step_; }
    /// To be sent to the members of targetEpoch(); a transfer's carry their key.
    std::vector<Request> requests() const;
    const Epoch& targetEpoch() const { return step_ == Step::seal ? from_ : to_; }
    /// From the member in this place of targetEpoch(), to a request of this step, key and step of the key's
    /// proposal. True where there are other requests than before.
    bool handleReply(std::uint32_t member, Step answered, const std::string& key, Proposal::Step proposalStep,
                     const Reply& reply);
    const Epoch& from() const { return from_; }
    const Epoch& to() const { return to_; }
    const std::map<std::string, Proposal>& proposals() const { return proposals_; }  ///< of the transfer

  private:
    bool handleSealed(std::uint32_t member, const Reply& reply);
    bool handleTransferred(std::uint32_t member, const std::string& key, Proposal::Step proposalStep,
                           const Reply& reply);
    void mergeSealed(const RegisterStates& states);
    void beginTransfer();

    Epoch from_, to_;
    std::uint32_t proposer_;
    RegisterStates known_;    // by the host
    RegisterStates highest_;  // of the sealed members
    Step step_ = Step::seal;
    std::set<std::uint32_t> acceptedBy_;  // members, in this step
    std::map<std::string, Proposal> proposals_;
};

}  // namespace lichenlanding::consensus
