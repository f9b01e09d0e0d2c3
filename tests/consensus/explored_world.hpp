/// A world of acceptors, proposers and messages on their way, in which a test chooses what happens next: the
/// real classes of src/consensus under every order of delivery and loss, with disks lost, put back from an
/// older image and members replaced. It checks the invariants of consensus.hpp itself, and can be given a bug
/// on purpose.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "consensus/consensus.hpp"

namespace consensus_explorer {

using namespace lichenlanding::consensus;

enum class Bug {
    none,
    lostDiskKeepsName,  // an empty disk answers under the identity of the one that was lost
    rollsBack,          // a disk put back from an older image answers as before
    tellsBeforeDisk,    // what was told is not on the disk
    forgetsPromise,
    spareCounts,       // a machine that is no member answers in the place of one
    sealForgets,       // a sealed acceptor goes on in the old epoch
    opensUnsealed,     // a change of the members goes on after one acceptor has sealed
    opensEmpty,        // a change of the members opens without a transfer
    foundsAgain,       // a founder that lost its disk answers as a founder again
    countsBothEpochs,  // a proposal counts answers of whatever epoch
    newDiskSeals       // the new disk of a lost member, told of the successor, seals in the old one's
                       // place
};
// What a world begins with and what may happen in it.
struct Shape {
    std::string name;
    int members = 3, spares = 0;
    int losses = 0, images = 0, doubles = 0, changes = 0;
    bool founding = false;
};

std::string text(const ProposalNumber& proposalNumber);
std::string text(const Epoch& epoch);

struct Message {
    int task = 0, machine = 0, attempt = 0;
    int step = 0, proposalStep = 0;
    bool ofProposal = true, reply = false;
    Request request;
    Reply answer;
    std::string text() const;
};

// A writer, a reader, or one who changes the members, each on a host of its own.
struct Task {
    enum Kind { write, read, replace } kind = write;
    std::string body;  // of a writer
    Epoch epoch;       // that its host knows to be open
    Epoch to;          // of a change: what it proposes
    std::optional<Proposal> proposal;
    std::optional<Reconfiguration> reconfiguration;
    int attempt = 0;
    bool after = false, ended = false;  // begun when something had lasted
    std::string repliesSeen;
};

struct World {
    Shape shape;
    Bug bug = Bug::none;
    std::vector<Acceptor> acceptors;
    std::vector<Acceptor> images;  // of each disk, as it first was and after its first change
    std::vector<int> lives;        // of each machine's disk
    std::vector<Task> tasks;
    std::vector<Message> messages;
    std::map<std::uint64_t, Epoch> opened;
    std::map<std::string, Epoch> sets;                   // proposals by their text
    std::map<std::string, std::string> bodies;           // by key and ballot
    std::map<std::string, ProposalNumber> promisesTold;  // by disk: the highest promise that it told
    std::vector<std::string> ended;
    std::string broken;

    explicit World(Shape shape_, Bug bug_ = Bug::none);

    static std::string address(int machine) { return std::string(1, static_cast<char>('a' + machine)); }
    Member member(int machine) const { return {address(machine), std::to_string(lives[machine]), "", ""}; }
    Epoch newest() const { return opened.rbegin()->second; }

    // A change that leaves one member out for one that stands by, or for a disk's new life.
    void change(int which);
    void add(Task::Kind kind, const std::string& body);
    void begin(int at);
    void send(int at);

    void open(const Epoch& epoch);
    void onStepChanged(int at);
    std::string addressOf(const Acceptor& acceptor) const;

    // A task may begin anew where its proposal is lost, or where nothing of it is on its way any more.
    bool stalled(int at) const;
    void restart(int at);

    struct Choices {
        std::size_t ways = 0, messages = 0, losses = 0, images = 0, stalled = 0;
        std::size_t all() const { return messages + losses + images + stalled; }
    };
    Choices choices() const;
    void choose(std::size_t choice);
    void loseDisk(int machine);
    void deliver(const Message& message);
    void answer(Message message, const Reply& reply);
    // NoOldEpochWrites: once a successor is open, fewer than a majority of the old would still take anything.
    void check();
    std::string key() const;
};

}  // namespace consensus_explorer
