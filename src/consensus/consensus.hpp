/// Replicated registers: consensus on one value per key. A write goes to a majority of disks, a read asks a
/// majority, and the value with the highest proposal number is the current one (Paxos without a log and
/// without a leader). The member list is itself such a value: an epoch, replaced by agreement of its own
/// members and sealed before its successor opens. docs/design/control.md has the argument for its safety.
///
/// Pure: no clock, no randomness, no I/O, no threads; an object belongs to one thread at a time. The host
/// delivers messages (any may be lost, duplicated, delayed or reordered) and persists register states and the
/// epoch state. Invariants, each checked by the explorer in tests/consensus:
///   - DurableValues: a value that a write or read has returned is returned or built upon by every later one;
///   - SingleValuePerNumber: a proposal number is bound to one value forever;
///   - SingleOpenEpoch: no two member lists are open under the same epoch number;
///   - NoStaleEpochWrites: no operation completes in an epoch once its successor is open;
///   - MonotonicPromises: a disk never reverts a promise; a disk that was lost, or restored from an older
///     image, never answers under its former identity;
///   - SingleFounding: there is exactly one first epoch, whichever processes are killed while it forms.
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

/// Totally ordered. Round 0 means "no proposal".
struct ProposalNumber {
    std::uint64_t round = 0;
    std::uint32_t proposer = 0;  ///< unique to each proposer: breaks ties between numbers of one round
    auto operator<=>(const ProposalNumber&) const = default;
};

/// The state of one key on one disk.
struct RegisterState {
    ProposalNumber promised;  ///< proposals below this number are rejected
    ProposalNumber accepted;  ///< the proposal that wrote `value`
    std::string value;
    bool operator==(const RegisterState&) const = default;
};
using RegisterStates = std::map<std::string, RegisterState>;  // by key

/// One replica: a machine together with its current disk. A machine with another disk is another member.
struct Member {
    std::string address, disk, zone, region;
    auto operator<=>(const Member&) const = default;
};

/// A member list, in force from one membership change to the next. Epoch 0 is the founding: its members are
/// the configured seed nodes, identified by address alone (disk ""), and their only decision is epoch 1.
struct Epoch {
    std::uint64_t number = 0;
    std::vector<Member> members;  ///< sorted by address
    std::size_t majority() const { return members.size() / 2 + 1; }
    /// The index of a member in `members`; none for a non-member.
    std::optional<std::uint32_t> find(const std::string& address, const std::string& disk) const;
    bool operator==(const Epoch&) const = default;
};

/// The epochs that one disk has on record.
struct EpochState {
    Epoch epoch;        ///< the newest epoch received
    bool open = false;  ///< a majority of its members has all values
    std::optional<Epoch>
        successor;  ///< the decided successor: `epoch` is sealed here, nothing of it is answered
    std::optional<Epoch>
        predecessor;  ///< what `epoch` follows, until it is open: who completes it needs both
    bool operator==(const EpochState&) const = default;
};

/// The key under which the members of an epoch decide its successor; used in that epoch only.
std::string successorKey(const Epoch& epoch);
/// Whether a key is the successor key of any epoch.
bool isSuccessorKey(const std::string& key);

/// A request from a proposer to an acceptor.
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
    bool open = false;  ///< install: whether the successor is open
};

/// An acceptor's reply to a proposer.
struct Reply {
    /// The acceptor is not a member of the request's epoch, or has sealed it. The reply counts towards no
    /// majority.
    bool rejected = false;
    bool accepted = false;      ///< false if a higher promise prevented it
    RegisterState state;        ///< the key's state after the request
    bool valueOmitted = false;  ///< `state.value` is omitted: the proposer has it
    RegisterStates states;      ///< reply to a seal: the states of all keys
    std::uint64_t epoch = 0;    ///< the acceptor's current epoch
    bool sealed = false;        ///< whether the acceptor has sealed its current epoch
    /// How often the disk was written. A lower count than in an earlier reply reveals a lost disk.
    std::uint64_t writeCount = 0;
};

/// Changes to persist before a reply is sent.
struct Update {
    RegisterStates states;
    std::optional<EpochState> epochState;
};

/// The acceptor role for one disk. The host evaluates a request, syncs the resulting update to disk, and only
/// then applies it and sends the reply, so that a power loss cannot undo anything that was reported.
class Acceptor {
  public:
    Acceptor() = default;
    /// An acceptor for the disk with identity `disk` on the machine at `address`.
    Acceptor(std::string address, std::string disk) : address_(std::move(address)), disk_(std::move(disk)) {}

    const std::string& disk() const { return disk_; }
    /// Whether it is a member of its newest epoch and has not sealed that epoch.
    bool isVotingMember() const { return !epochState_.successor && isMember(epochState_.epoch); }
    bool isMember(const Epoch& epoch) const;
    /// Computes the reply without changing any state. Sets `update` if changes must be on disk before the
    /// reply is sent.
    Reply evaluate(const Request& request, std::optional<Update>& update) const;
    void apply(const Update& update);
    const RegisterStates& states() const { return states_; }
    const RegisterState& state(const std::string& key) const;
    const EpochState& epochState() const { return epochState_; }

  private:
    Reply evaluateInstall(const Request& request, std::optional<Update>& update) const;
    Reply evaluateSeal(const Request& request, std::optional<Update>& update) const;
    Reply evaluateRegisterRequest(const Request& request, std::optional<Update>& update) const;
    Reply emptyReply() const;

    std::string address_, disk_;
    EpochState epochState_;
    RegisterStates states_;
};

/// Computes the new value from the current one. Returning the same value requests no change, only proof that
/// the value is in force. May be called several times with different values.
using Change = std::function<std::string(const std::string&)>;

/// One attempt to read or change a key: a read, which completes at once if a majority agrees, otherwise
/// prepare and accept. The host sends request() to all members after each change of step and passes in each
/// reply with the step that it answers; replies to earlier steps are ignored. On `lost` the host backs off
/// and starts another proposal above highestRound().
class Proposal {
  public:
    /// The numbers are part of the wire protocol.
    enum class Step : std::uint8_t { read, prepare, accept, done, lost };

    /// `highestKnownRound`: the proposal uses a higher round. `known`: a value that the host has, with its
    /// number, so that acceptors can omit it. `inherited`: the state carried over from an earlier epoch,
    /// treated as the reply of one more member.
    Proposal(std::string key, const Epoch& epoch, std::uint32_t proposer, std::uint64_t highestKnownRound,
             Change change, bool readFirst, RegisterState known = {}, RegisterState inherited = {});

    Step step() const { return step_; }
    Request request() const;
    /// Handles the reply of the member at index `member` of the epoch to a request of step `answered`.
    /// Returns true if the step has changed.
    bool handleReply(std::uint32_t member, Step answered, const Reply& reply);

    /// The resulting value; valid in step `done`.
    const std::string& value() const { return value_; }
    /// The number of the resulting value; valid in step `done`.
    ProposalNumber proposalNumber() const { return proposalNumber_; }
    /// The highest round seen in any reply.
    std::uint64_t highestRound() const { return highestRound_; }
    /// The newest state received or passed in, for use as `known` of the next proposal.
    const RegisterState& highestSeen() const {
        return highest_.accepted > known_.accepted ? highest_ : known_;
    }
    std::uint64_t epoch() const { return epoch_; }

  private:
    void enterStep(Step step);
    bool handleRejection(const Reply& reply);
    bool handleReadReply(const RegisterState& state);
    bool handlePhaseReply(std::uint32_t member, const Reply& reply, const RegisterState& state);

    std::string key_;
    std::uint64_t epoch_;
    std::size_t majority_;
    std::uint32_t proposer_;
    std::uint64_t highestRound_;
    Change change_;
    Step step_;
    ProposalNumber proposalNumber_;
    std::string value_;
    RegisterState known_;                              // passed in by the host, or read
    RegisterState inherited_;                          // carried over from an earlier epoch
    RegisterState highest_;                            // highest accepted state among the replies to prepare
    std::set<std::uint32_t> answeredBy_, acceptedBy_;  // member indices, in this step
    std::optional<RegisterState> lastRead_;
    bool unanimous_ = true;  // whether all read replies so far agree
};

/// Moves the registers from one epoch to the successor that its members have decided: seals a majority of the
/// old epoch, writes the highest state of every key to a majority of the new one, then opens the new epoch on
/// a majority of its disks. Every step is idempotent: any number of hosts may run it concurrently, partially
/// or repeatedly.
class Reconfiguration {
  public:
    /// The numbers are part of the wire protocol.
    enum class Step : std::uint8_t { seal, transfer, open, done, lost };

    /// `known`: values that the host has, so that acceptors can omit them.
    Reconfiguration(Epoch from, Epoch to, std::uint32_t proposer, RegisterStates known = {});

    Step step() const { return step_; }
    /// The requests to send to all members of targetEpoch(). Those of the transfer carry their key.
    std::vector<Request> requests() const;
    const Epoch& targetEpoch() const { return step_ == Step::seal ? from_ : to_; }
    /// Handles the reply of the member at index `member` of targetEpoch() to the request that was identified
    /// by its step, key and the step of the key's proposal. Returns true if requests() has changed.
    bool handleReply(std::uint32_t member, Step answered, const std::string& key, Proposal::Step proposalStep,
                     const Reply& reply);
    const Epoch& from() const { return from_; }
    const Epoch& to() const { return to_; }
    /// The proposals of the transfer, by key.
    const std::map<std::string, Proposal>& proposals() const { return proposals_; }

  private:
    bool handleSealReply(std::uint32_t member, const Reply& reply);
    bool handleTransferReply(std::uint32_t member, const std::string& key, Proposal::Step proposalStep,
                             const Reply& reply);
    void mergeSealedStates(const RegisterStates& states);
    void beginTransfer();

    Epoch from_, to_;
    std::uint32_t proposer_;
    RegisterStates known_;    // passed in by the host
    RegisterStates highest_;  // highest state of each key among the sealed members
    Step step_ = Step::seal;
    std::set<std::uint32_t> acceptedBy_;  // member indices, in this step
    std::map<std::string, Proposal> proposals_;
};

}  // namespace lichenlanding::consensus
