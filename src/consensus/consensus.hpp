// One value for each key on a majority of disks: written to a majority, read from a majority, the highest
// ballot wins. No log, no leader. Who the majority is of is a value too: an epoch, changed by agreement of
// its own members and sealed before the next one opens. docs/design/control.md tells why it holds.
//
// Pure: no clock, no chance, no I/O. The host moves messages (any may be lost, doubled, late or out of order)
// and keeps cells and standing on disk. Invariants, each checked by the explorer in
// tests/gateway/register.cpp:
//   - Lasting: what a write or a read has ended with is what every later one ends with or builds on;
//   - OneBody: a ballot has one value for good;
//   - OneEpochOpen: no two sets of members are open under one number;
//   - NoOldEpochWrites: nothing ends in an epoch once its successor is open;
//   - NoForgetfulVote: a disk that was lost, or put back from an older image, never answers as before;
//   - FoundedOnce: the first epoch is one, whatever is killed on the way.
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

// Rounds rise; a writer's number (unlike any other's) tells two of one round apart. Round 0: none.
struct ProposalNumber {
    std::uint64_t round = 0;
    std::uint32_t writer = 0;
    auto operator<=>(const ProposalNumber&) const = default;
};

// What one disk holds of one key.
struct RegisterState {
    ProposalNumber promised, accepted;
    std::string value;
    bool operator==(const RegisterState&) const = default;
};
using RegisterStates = std::map<std::string, RegisterState>;

// One copy of the register: a machine with the disk that it has now. Another disk is another member.
struct Member {
    std::string address, disk, zone, region;
    auto operator<=>(const Member&) const = default;
};

// Who counts, from one change of the members to the next. Number 0 is the founding: its members are the seeds
// as all were told them, by address alone (disk ""), and all that they ever decide is epoch 1.
struct Epoch {
    std::uint64_t number = 0;
    std::vector<Member> members;  // in order of address
    std::size_t majority() const { return members.size() / 2 + 1; }
    // Its place among the members; none where it isn't one.
    std::optional<std::uint32_t> find(const std::string& address, const std::string& disk) const;
    bool operator==(const Epoch&) const = default;
};

// What one disk knows for good of the epochs.
struct EpochState {
    Epoch epoch;                // newest that it was told of
    bool open = false;          // a majority of its members holds all values
    std::optional<Epoch> next;  // the decided successor: `epoch` is sealed here, nothing of it is answered
    std::optional<Epoch>
        before;  // the epoch that `epoch` follows, until it is open: who can finish needs both
    bool operator==(const EpochState&) const = default;
};

// The key under which the members of one epoch decide the next; it has no meaning in any other.
std::string successorKey(const Epoch& of);
/// Whether a key is such a one, of whatever epoch.
bool isSuccessorKey(const std::string& key);

struct Request {
    enum class Kind : std::uint8_t { read, prepare, accept, seal, install };
    Kind kind = Kind::read;
    std::uint64_t epoch = 0;
    std::string key;
    ProposalNumber proposalNumber;
    std::string value;
    ProposalNumber held;  // of a value that the asker has: an equal one need not be told again
    std::map<std::string, ProposalNumber> holds;  // seal: the same, by key
    std::optional<Epoch> to, from;                // seal, install: the successor, and what it follows
    bool open = false;                            // install: it is open
};

// The cell as it is after the request; `taken` is false where a higher promise stood against it. A copy that
// is no member of the request's epoch, or has sealed it, `refused`: it is no part of any majority.
struct Reply {
    bool rejected = false, accepted = false;
    RegisterState state;
    bool valueOmitted = false;  // the cell's value is the asker's own, and left out
    RegisterStates states;      // of a seal: all
    std::uint64_t epoch = 0;    // the copy's own, with `refused`
    bool sealed = false;        // and whether it is sealed
    std::uint64_t writes = 0;   // how often the copy's disk was written: a lower number later is a lost disk
};

// What must be on disk before a reply is sent.
struct Update {
    RegisterStates states;
    std::optional<EpochState> epochState;
};

// One disk's copy. The host asks what a request would change, has the disk sync it, and only then puts it and
// sends the reply: nothing is told that a loss of power could take back.
class Acceptor {
  public:
    Acceptor() = default;
    // On the disk with this identity, at this address.
    Acceptor(std::string address, std::string disk) : address_(std::move(address)), disk_(std::move(disk)) {}

    const std::string& disk() const { return disk_; }
    bool isVotingMember() const { return !epochState_.next && isMember(epochState_.epoch); }
    bool isMember(const Epoch& epoch) const;
    // The reply; `update` is set where something must be on disk before it is sent.
    Reply evaluate(const Request& request, std::optional<Update>& update) const;
    void apply(const Update& update);
    const RegisterStates& states() const { return states_; }
    const RegisterState& state(const std::string& key) const;
    const EpochState& epochState() const { return epochState_; }

  private:
    std::string address_, disk_;
    EpochState epochState_;
    RegisterStates states_;
};

// From what is in force to what shall be; the same value: nothing to change, but let it be surely in force.
using Change = std::function<std::string(const std::string&)>;

// One run at a key: a look (which ends at once where a majority agrees), else prepare and accept. The
// host sends request() to all members whenever the step has moved, and hands in replies with the step they
// answer; a reply of an earlier step is dropped. On `lost` it waits a little and begins anew with
// `highestRound()`.
class Proposal {
  public:
    enum class Step : std::uint8_t { read, prepare, accept, done, lost };

    // `held`: a value that the host knows with its ballot, if any, so that copies need not send it. `base`:
    // what an earlier epoch has left, counted as if a member had told it.
    Proposal(std::string key, const Epoch& epoch, std::uint32_t writer, std::uint64_t above, Change change,
             bool lookFirst, RegisterState held = {}, RegisterState base = {});

    Step step() const { return step_; }
    Request request() const;
    // From the member in this place of the epoch. True where the step has moved.
    bool handleReply(std::uint32_t member, Step answered, const Reply& reply);

    const std::string& value() const { return value_; }                // when done
    ProposalNumber proposalNumber() const { return proposalNumber_; }  // of the value, when done
    std::uint64_t highestRound() const { return highestRound_; }       // highest round seen
    // The highest that it was told or began with: whoever runs again need not be told it again.
    const RegisterState& highestSeen() const {
        return highest_.accepted > known_.accepted ? highest_ : known_;
    }
    std::uint64_t epoch() const { return epoch_; }

  private:
    void enterStep(Step step);

    std::string key_;
    std::uint64_t epoch_;
    std::size_t majority_;
    std::uint32_t proposer_;
    std::uint64_t highestRound_;
    Change update_;
    Step step_;
    ProposalNumber proposalNumber_;
    std::string value_;
    RegisterState known_, inherited_, highest_;
    std::set<std::uint32_t> answeredBy_, acceptedBy_, rejectedBy_;
    std::optional<RegisterState> firstAnswer_;
    bool unanimous_ = true;
};

// From one epoch to the successor that its members have decided: seal a majority of the old, put the highest
// of every key on a majority of the new, open the new on a majority of its disks. Any number of hosts may do
// it at once, in part, or again: each step keeps what another has done.
class Reconfiguration {
  public:
    enum class Step : std::uint8_t { seal, transfer, open, done, lost };

    // `held`: what the host knows, so that copies need not send it.
    Reconfiguration(Epoch from, Epoch to, std::uint32_t writer, RegisterStates held = {});

    Step step() const { return step_; }
    // To be sent to members of `from` (seal) or of `to`; a transfer's carry their key.
    std::vector<Request> requests() const;
    const Epoch& targetEpoch() const { return step_ == Step::seal ? from_ : to_; }
    // Of the member in this place of targetEpoch(), to a request of this step, key and run's step. True where
    // there are other requests than before.
    bool handleReply(std::uint32_t member, Step answered, const std::string& key, Proposal::Step inRun,
                     const Reply& reply);
    const Epoch& from() const { return from_; }
    const Epoch& to() const { return to_; }
    const std::map<std::string, Proposal>& proposals() const { return proposals_; }

  private:
    void beginTransfer();
    Epoch from_, to_;
    std::uint32_t proposer_;
    RegisterStates known_, highest_;
    Step step_ = Step::seal;
    std::set<std::uint32_t> acceptedBy_;
    std::map<std::string, Proposal> proposals_;
};

}  // namespace lichenlanding::consensus
