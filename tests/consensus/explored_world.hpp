/// A model of acceptors, proposers and messages in flight, in which the test chooses each next event. It runs
/// the real classes of src/consensus under any order of delivery and loss, with disks that are lost or
/// restored from an older image and with members that are replaced. It checks the invariants of consensus.hpp
/// itself, and can be given a deliberate bug.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "consensus/consensus.hpp"

namespace consensus_explorer {

using namespace lichenlanding::consensus;

// Deliberate bugs that the invariants must detect.
enum class Bug {
    none,
    lostDiskKeepsIdentity,  // an empty disk replies under the identity of the lost one
    restoresOldImage,       // a disk restored from an older image replies under its former identity
    repliesBeforeSync,      // a reply is sent although its update never reaches the disk
    forgetsPromise,
    spareReplies,              // a machine that is not a member replies in the place of one
    ignoresSeal,               // a sealed acceptor continues to serve the old epoch
    opensAfterOneSeal,         // a membership change continues after a single acceptor has sealed
    opensWithoutTransfer,      // a membership change opens the new epoch without the transfer
    foundsAgainAfterDiskLoss,  // a founder that lost its disk replies as a founder again
    countsRepliesOfAnyEpoch,   // a proposal counts replies from any epoch
    newDiskConfirmsSeal        // the new disk of a lost member, with the successor installed, seals the old
                               // epoch in the place of the lost disk
};
// The initial members of a World and how many faults of each kind may occur in it.
struct Scenario {
    std::string name;
    int members = 3, spares = 0;
    int diskLosses = 0, imageRestores = 0, duplicates = 0, membershipChanges = 0;
    bool founding = false;
};

std::string text(const ProposalNumber& proposalNumber);
std::string text(const Epoch& epoch);

struct Message {
    int task = 0, machine = 0, attempt = 0;
    int step = 0, proposalStep = 0;
    bool toProposal = true, isReply = false;
    Request request;
    Reply reply;
    std::string text() const;
};

// A write, a read or a membership change, each on a host of its own.
struct Task {
    enum Kind { write, read, changeMembers } kind = write;
    std::string value;  // write: the value to write
    Epoch epoch;        // the newest open epoch that the host knows
    Epoch to;           // changeMembers: the proposed epoch
    std::optional<Proposal> proposal;
    std::optional<Reconfiguration> reconfiguration;
    int attempt = 0;
    // afterFirstValue: begun after another task had completed with a value
    bool afterFirstValue = false, completed = false;
    std::string repliesSeen;
};

struct World {
    Scenario scenario;
    Bug bug = Bug::none;
    std::vector<Acceptor> acceptors;
    std::vector<Acceptor>
        diskImages;  // of each disk: with its first register states, before that its initial state
    std::vector<int> diskIncarnations;  // of each machine's disk
    std::vector<Task> tasks;
    std::vector<Message> messages;  // in flight
    std::map<std::uint64_t, Epoch> opened;
    std::map<std::string, Epoch> memberLists;                // proposed epochs by their text
    std::map<std::string, std::string> valuesByNumber;       // accepted values by key and proposal number
    std::map<std::string, ProposalNumber> reportedPromises;  // by disk and key: the highest reported promise
    std::vector<std::string> completedValues;                // results of completed tasks, in order
    std::string violation;                                   // a violated invariant; empty if none

    explicit World(Scenario scenario_, Bug bug_ = Bug::none);

    static std::string address(int machine) { return std::string(1, static_cast<char>('a' + machine)); }
    Member member(int machine) const {
        return {address(machine), std::to_string(diskIncarnations[machine]), "", ""};
    }
    Epoch newest() const { return opened.rbegin()->second; }

    // Adds a membership change that replaces one member by a spare, or by its own new disk.
    void addMembershipChange(int which);
    void addTask(Task::Kind kind, const std::string& value);
    void beginAttempt(int taskIndex);
    void sendRequests(int taskIndex);

    void recordOpenEpoch(const Epoch& epoch);
    void onStepChanged(int taskIndex);
    std::string addressOf(const Acceptor& acceptor) const;

    // A task may be restarted if its proposal is lost or none of its messages is in flight any more.
    bool canRestart(int taskIndex) const;
    void restart(int taskIndex);

    struct Choices {
        std::size_t outcomesPerMessage = 0, messages = 0, diskLosses = 0, imageRestores = 0, stalledTasks = 0;
        std::size_t all() const { return messages + diskLosses + imageRestores + stalledTasks; }
    };
    Choices choices() const;
    void applyChoice(std::size_t choice);
    void replaceDisk(int machine);
    void deliver(const Message& message);
    void enqueueReply(Message message, const Reply& reply);
    // NoStaleEpochWrites: once a successor is open, fewer than a majority of the old epoch are still
    // unsealed.
    void checkStaleEpochs();
    std::string stateKey() const;
};

}  // namespace consensus_explorer
