#include "consensus/explored_world.hpp"

#include <algorithm>

namespace consensus_explorer {

using namespace lichenlanding::consensus;

std::string text(const ProposalNumber& proposalNumber) {
    return std::to_string(proposalNumber.round) + "." + std::to_string(proposalNumber.proposer);
}
std::string text(const Epoch& epoch) {
    std::string all = std::to_string(epoch.number) + ":";
    for (const auto& member : epoch.members) all += member.address + member.disk + ",";
    return all;
}

std::string Message::text() const {
    std::string all = std::to_string(task) + "/" + std::to_string(machine) + "/" + std::to_string(attempt) +
                      "/" + std::to_string(step) + "." + std::to_string(proposalStep) + request.key +
                      std::to_string(static_cast<int>(request.kind)) + (isReply ? "r" : "q") +
                      std::to_string(request.epoch);
    if (!isReply)
        return all + consensus_explorer::text(request.proposalNumber) + request.value +
               (request.successor ? consensus_explorer::text(*request.successor) : "");
    all += reply.rejected ? "b" : reply.accepted ? "t" : "n";
    all += std::to_string(reply.epoch) + (reply.sealed ? "s" : "") +
           consensus_explorer::text(reply.state.promised) + ":" +
           consensus_explorer::text(reply.state.accepted) + reply.state.value;
    for (const auto& [key, state] : reply.states)
        all += key + consensus_explorer::text(state.promised) + ":" +
               consensus_explorer::text(state.accepted) + state.value;
    return all;
}

World::World(Scenario scenario_, Bug bug_) : scenario(std::move(scenario_)), bug(bug_) {
    const int machines = scenario.members + scenario.spares;
    Epoch first;
    first.number = scenario.founding ? 0 : 1;
    for (int index = 0; index < machines; ++index) {
        acceptors.emplace_back(address(index), "1");
        diskIncarnations.push_back(1);
        if (index < scenario.members) first.members.push_back(member(index));
    }
    for (int index = 0; index < scenario.members; ++index)
        acceptors[index].apply({{}, EpochState{first, true, {}, {}}});
    diskImages = acceptors;
    opened[first.number] = first;
    if (scenario.founding) {
        addMembershipChange(0), addMembershipChange(1);
        return;
    }
    addTask(Task::write, "7A"), addTask(Task::write, "7B");
    if (scenario.membershipChanges > 0) addMembershipChange(0);
}

void World::addMembershipChange(int which) {
    Task task;
    task.kind = Task::changeMembers, task.epoch = newest();
    task.to.number = task.epoch.number + 1;
    const int machines = static_cast<int>(acceptors.size());
    std::vector<int> chosen;
    for (int index = 0; index < machines && static_cast<int>(chosen.size()) < scenario.members; ++index) {
        const int machine = (index + which + (scenario.founding ? 0 : 1)) % machines;
        chosen.push_back(machine);
    }
    std::sort(chosen.begin(), chosen.end());
    for (const int machine : chosen) task.to.members.push_back(member(machine));
    memberLists[text(task.to)] = task.to;
    tasks.push_back(std::move(task));
    beginAttempt(static_cast<int>(tasks.size()) - 1);
}

void World::addTask(Task::Kind kind, const std::string& value) {
    Task task;
    task.kind = kind, task.value = value, task.epoch = newest(),
    task.afterFirstValue = !completedValues.empty();
    tasks.push_back(std::move(task));
    beginAttempt(static_cast<int>(tasks.size()) - 1);
}

void World::beginAttempt(int taskIndex) {
    auto& task = tasks[taskIndex];
    const auto proposer = static_cast<std::uint32_t>(taskIndex + 1);
    const auto highestKnownRound = task.proposal ? task.proposal->highestRound() : 0;
    ++task.attempt;
    task.repliesSeen.clear();
    task.reconfiguration.reset();
    if (task.kind == Task::changeMembers) {
        const auto value = text(task.to);
        task.proposal = Proposal(
            successorKey(task.epoch), task.epoch, proposer, highestKnownRound,
            [value](const std::string& current) { return current.empty() ? value : current; }, false);
    } else {
        const auto ownValue = task.value;
        task.proposal = Proposal(
            "k", task.epoch, proposer, highestKnownRound,
            [ownValue](const std::string& current) {
                return ownValue.empty() || (!current.empty() && current[0] >= ownValue[0]) ? current
                                                                                           : ownValue;
            },
            task.attempt == 1);
    }
    sendRequests(taskIndex);
}

void World::sendRequests(int taskIndex) {
    const auto& task = tasks[taskIndex];
    const auto sendToAll = [&](const Epoch& targets, Message message) {
        for (const auto& member : targets.members) {
            message.machine = member.address[0] - 'a';
            messages.push_back(message);
        }
    };
    Message message;
    message.task = taskIndex, message.attempt = task.attempt;
    if (!task.reconfiguration) {
        message.step = static_cast<int>(task.proposal->step()), message.request = task.proposal->request();
        sendToAll(task.epoch, message);
        return;
    }
    message.toProposal = false, message.step = static_cast<int>(task.reconfiguration->step());
    for (const auto& request : task.reconfiguration->requests()) {
        const auto proposal = task.reconfiguration->proposals().find(request.key);
        message.proposalStep = proposal == task.reconfiguration->proposals().end()
                                   ? 0
                                   : static_cast<int>(proposal->second.step());
        message.request = request;
        sendToAll(task.reconfiguration->targetEpoch(), message);
    }
}

void World::recordOpenEpoch(const Epoch& epoch) {
    const auto [entry, inserted] = opened.emplace(epoch.number, epoch);
    if (!inserted && entry->second != epoch)
        violation = (scenario.founding ? "SingleFounding: " : "SingleOpenEpoch: ") + text(entry->second) +
                    " and " + text(epoch);
}

void World::onStepChanged(int taskIndex) {
    auto& task = tasks[taskIndex];
    task.repliesSeen.clear();
    if (task.reconfiguration) {
        if (task.reconfiguration->step() == Reconfiguration::Step::done) {
            recordOpenEpoch(task.reconfiguration->to());
            task.completed = true;
            const auto changes = std::count_if(
                tasks.begin(), tasks.end(), [](const Task& one) { return one.kind == Task::changeMembers; });
            if (scenario.founding) {
                if (tasks.size() == 2) addTask(Task::write, "7A"), addTask(Task::write, "7B");
            } else if (changes < scenario.membershipChanges) {
                addMembershipChange(static_cast<int>(changes));
            }
        } else if (task.reconfiguration->step() != Reconfiguration::Step::lost) {
            sendRequests(taskIndex);
        }
        return;
    }
    const auto& proposal = *task.proposal;
    if (proposal.step() == Proposal::Step::lost) return;
    if (proposal.step() != Proposal::Step::done) return sendRequests(taskIndex);
    if (task.kind == Task::changeMembers) {
        const auto decided = memberLists.at(proposal.value());
        task.reconfiguration =
            Reconfiguration(task.epoch, decided, static_cast<std::uint32_t>(taskIndex + 1));
        if (bug == Bug::opensAfterOneSeal || bug == Bug::opensWithoutTransfer) {
            // A faulty host: it seals a single member, or transfers no values.
            auto epoch = task.epoch;
            if (bug == Bug::opensAfterOneSeal) epoch.members.resize(1);
            if (bug == Bug::opensWithoutTransfer)
                for (auto& acceptor : acceptors)
                    if (decided.find(addressOf(acceptor), acceptor.disk()))
                        acceptor.apply({{}, EpochState{decided, true, {}, {}}});
            task.reconfiguration = Reconfiguration(epoch, decided, static_cast<std::uint32_t>(taskIndex + 1));
            if (bug == Bug::opensWithoutTransfer) {
                for (auto& acceptor : acceptors)
                    if (!task.epoch.find(addressOf(acceptor), acceptor.disk()))
                        acceptor.apply({{{"k", RegisterState{}}}, {}});
                recordOpenEpoch(decided), task.completed = true;
                return;
            }
        }
        sendRequests(taskIndex);
        return;
    }
    task.completed = true;
    // DurableValues: every task returns the value that an earlier one returned or built upon.
    if (!completedValues.empty() && !proposal.value().empty() && completedValues.back() != proposal.value())
        violation = "DurableValues: " + completedValues.back() + " then " + proposal.value();
    if (proposal.value().empty() && task.afterFirstValue)
        violation = "DurableValues: no value after " + completedValues.back();
    if (!proposal.value().empty()) completedValues.push_back(proposal.value());
    const auto reads =
        std::count_if(tasks.begin(), tasks.end(), [](const Task& one) { return one.kind == Task::read; });
    if (!completedValues.empty() && reads < 2) addTask(Task::read, "");
}

std::string World::addressOf(const Acceptor& acceptor) const {
    for (std::size_t index = 0; index < acceptors.size(); ++index)
        if (&acceptors[index] == &acceptor) return address(static_cast<int>(index));
    return "";
}

bool World::canRestart(int taskIndex) const {
    const auto& task = tasks[taskIndex];
    if (task.completed || task.attempt >= 20) return false;
    const bool lost = task.reconfiguration ? task.reconfiguration->step() == Reconfiguration::Step::lost
                                           : task.proposal->step() == Proposal::Step::lost;
    return lost || std::none_of(messages.begin(), messages.end(), [&](const Message& message) {
               return message.task == taskIndex && message.attempt == task.attempt;
           });
}

void World::restart(int taskIndex) {
    auto& task = tasks[taskIndex];
    if (task.kind == Task::changeMembers) {
        if (task.epoch.number != newest().number)
            return void(task.completed = true);  // another task has completed a change
        // A sealed acceptor reports the decided successor: the change is completed, not decided again.
        for (const auto& acceptor : acceptors)
            if (acceptor.epochState().successor && acceptor.epochState().epoch.number == task.epoch.number) {
                ++task.attempt, task.repliesSeen.clear();
                task.reconfiguration = Reconfiguration(task.epoch, *acceptor.epochState().successor,
                                                       static_cast<std::uint32_t>(taskIndex + 1));
                return sendRequests(taskIndex);
            }
    } else {
        task.epoch = newest();
    }
    beginAttempt(taskIndex);
}

World::Choices World::choices() const {
    Choices all;
    all.outcomesPerMessage = scenario.duplicates > 0 ? 3 : 2;
    all.messages = messages.size() * all.outcomesPerMessage;
    all.diskLosses = scenario.diskLosses > 0 ? acceptors.size() : 0;
    all.imageRestores = scenario.imageRestores > 0 ? acceptors.size() : 0;
    for (int index = 0; index < static_cast<int>(tasks.size()); ++index)
        all.stalledTasks += canRestart(index);
    return all;
}

void World::applyChoice(std::size_t choice) {
    const auto all = choices();
    if (choice < all.messages) {
        const auto index = choice / all.outcomesPerMessage;
        const auto outcome = choice % all.outcomesPerMessage;
        const auto message = messages[index];
        if (outcome != 2) messages.erase(messages.begin() + static_cast<std::ptrdiff_t>(index));
        if (outcome == 2) --scenario.duplicates;
        if (outcome != 1) deliver(message);
        return checkStaleEpochs();
    }
    choice -= all.messages;
    if (choice < all.diskLosses) {
        --scenario.diskLosses;
        return replaceDisk(static_cast<int>(choice));
    }
    choice -= all.diskLosses;
    if (choice < all.imageRestores) {
        --scenario.imageRestores;
        const auto machine = static_cast<int>(choice);
        // The bug: the restored disk answers under its former identity. Otherwise it gets a new one.
        if (bug == Bug::restoresOldImage) acceptors[machine] = diskImages[machine];
        else replaceDisk(machine);
        return;
    }
    choice -= all.imageRestores;
    for (int index = 0; index < static_cast<int>(tasks.size()); ++index)
        if (canRestart(index) && choice-- == 0) return restart(index);
}

void World::replaceDisk(int machine) {
    const auto before = acceptors[machine];
    const bool keepsIdentity =
        bug == Bug::lostDiskKeepsIdentity || (bug == Bug::foundsAgainAfterDiskLoss && scenario.founding);
    if (!keepsIdentity) ++diskIncarnations[machine];
    acceptors[machine] = Acceptor(address(machine), std::to_string(diskIncarnations[machine]));
    if (keepsIdentity && before.epochState().epoch.number <= (scenario.founding ? 0U : 1U))
        acceptors[machine].apply({{}, diskImages[machine].epochState()});
}

void World::deliver(const Message& message) {
    if (message.isReply) {
        auto& task = tasks[message.task];
        if (message.attempt != task.attempt || message.toProposal == task.reconfiguration.has_value()) return;
        task.repliesSeen += message.text() + ";";
        const auto& targets = task.reconfiguration ? task.reconfiguration->targetEpoch() : task.epoch;
        std::optional<std::uint32_t> position;
        for (std::uint32_t index = 0; index < targets.members.size(); ++index)
            if (targets.members[index].address == address(message.machine)) position = index;
        if (!position) return;
        const bool moves =
            task.reconfiguration
                ? task.reconfiguration->handleReply(
                      *position, static_cast<Reconfiguration::Step>(message.step), message.request.key,
                      static_cast<Proposal::Step>(message.proposalStep), message.reply)
                : task.proposal->handleReply(*position, static_cast<Proposal::Step>(message.step),
                                             message.reply);
        if (moves) onStepChanged(message.task);
        return;
    }
    auto& acceptor = acceptors[message.machine];
    auto request = message.request;
    if (bug == Bug::countsRepliesOfAnyEpoch && request.kind <= Request::Kind::accept)
        request.epoch = acceptor.epochState().epoch.number;
    std::optional<Update> update;
    Reply reply;
    if (bug == Bug::spareReplies && !reply.rejected && message.machine == 0 &&
        request.kind <= Request::Kind::accept && message.toProposal &&
        acceptors.size() > static_cast<std::size_t>(scenario.members)) {
        // The spare's acceptor replies as well as the member's own, under the member's name.
        Acceptor spare("a", "1");
        spare.apply({acceptors.back().states(), acceptors[0].epochState()});
        reply = spare.evaluate(request, update);
        if (update) acceptors.back().apply({update->states, {}});
        if (!reply.rejected && message.task % 2 == 1) return enqueueReply(message, reply);
    }
    if (bug == Bug::newDiskConfirmsSeal && request.kind == Request::Kind::seal &&
        acceptor.epochState().epoch.number == request.epoch + 1) {
        reply.accepted = true, reply.states = acceptor.states();
    } else if (bug == Bug::ignoresSeal && acceptor.epochState().successor) {
        auto epochState = acceptor.epochState();
        epochState.successor.reset();
        Acceptor unsealed(address(message.machine), acceptor.disk());
        unsealed.apply({acceptor.states(), epochState});
        reply = unsealed.evaluate(request, update);
    } else {
        reply = acceptor.evaluate(request, update);
    }
    if (update) {
        if (bug == Bug::forgetsPromise && request.kind == Request::Kind::prepare)
            for (auto& [key, state] : update->states) state.promised = acceptor.state(key).promised;
        if (bug != Bug::repliesBeforeSync || message.machine != 0) acceptor.apply(*update);
        if (diskImages[message.machine].states().empty()) diskImages[message.machine] = acceptor;
    }
    enqueueReply(message, reply);
    if (!reply.rejected && request.kind <= Request::Kind::accept) {
        // MonotonicPromises: a disk never reports a lower promise than before.
        auto& highest = reportedPromises[address(message.machine) + acceptor.disk() + request.key];
        if (reply.state.promised < highest)
            violation = "MonotonicPromises: " + address(message.machine) + " reported " + text(highest) +
                        ", then " + text(reply.state.promised);
        highest = std::max(highest, reply.state.promised);
    }
    if (request.kind == Request::Kind::accept && reply.accepted) {
        const auto [entry, inserted] =
            valuesByNumber.emplace(request.key + text(request.proposalNumber), request.value);
        if (!inserted && entry->second != request.value)
            violation = "SingleValuePerNumber: " + text(request.proposalNumber) + " is " + entry->second +
                        " and " + request.value;
    }
    if (acceptor.epochState().open) recordOpenEpoch(acceptor.epochState().epoch);
}

void World::enqueueReply(Message message, const Reply& reply) {
    message.isReply = true, message.reply = reply;
    message.request.value.clear(), message.request.successor.reset();
    messages.push_back(std::move(message));
}

void World::checkStaleEpochs() {
    for (const auto& [number, epoch] : opened) {
        if (number == newest().number || number == 0) continue;
        std::size_t unsealed = 0;
        for (const auto& acceptor : acceptors) {
            const auto& epochState = acceptor.epochState();
            const bool sealed = epochState.successor && bug != Bug::ignoresSeal;
            unsealed += epochState.epoch.number == number && !sealed && acceptor.isMember(epoch);
        }
        if (unsealed >= epoch.majority())
            violation = "NoStaleEpochWrites: " + text(epoch) + " still accepts requests";
    }
}

std::string World::stateKey() const {
    std::vector<std::string> parts;
    for (const auto& message : messages) parts.push_back(message.text());
    std::sort(parts.begin(), parts.end());
    std::string all;
    for (const auto& part : parts) all += part + "|";
    for (const auto& acceptor : acceptors) {
        const auto& epochState = acceptor.epochState();
        all += acceptor.disk() + text(epochState.epoch) + (epochState.open ? "o" : "c") +
               (epochState.successor ? text(*epochState.successor) : "") + ";";
        for (const auto& [name, state] : acceptor.states())
            all += name + text(state.promised) + text(state.accepted) + state.value;
    }
    for (const auto& task : tasks) {
        all += "#" + std::to_string(task.attempt) + (task.completed ? "e" : "") + text(task.epoch);
        if (task.proposal)
            all += std::to_string(static_cast<int>(task.proposal->step())) + task.proposal->value() +
                   std::to_string(task.proposal->highestRound()) + text(task.proposal->proposalNumber());
        if (task.reconfiguration) all += "s" + std::to_string(static_cast<int>(task.reconfiguration->step()));
        all += "~" + task.repliesSeen;
    }
    return all + "w" + std::to_string(scenario.diskLosses) + std::to_string(scenario.imageRestores) +
           std::to_string(scenario.duplicates) + std::to_string(opened.size()) +
           (completedValues.empty() ? "" : completedValues.back());
}

}  // namespace consensus_explorer
