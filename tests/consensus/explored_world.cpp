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
                      std::to_string(static_cast<int>(request.kind)) + (reply ? "r" : "q") +
                      std::to_string(request.epoch);
    if (!reply)
        return all + consensus_explorer::text(request.proposalNumber) + request.value +
               (request.successor ? consensus_explorer::text(*request.successor) : "");
    all += answer.rejected ? "b" : answer.accepted ? "t" : "n";
    all += std::to_string(answer.epoch) + (answer.sealed ? "s" : "") +
           consensus_explorer::text(answer.state.promised) + ":" +
           consensus_explorer::text(answer.state.accepted) + answer.state.value;
    for (const auto& [key, state] : answer.states)
        all += key + consensus_explorer::text(state.promised) + ":" +
               consensus_explorer::text(state.accepted) + state.value;
    return all;
}

World::World(Shape shape_, Bug bug_) : shape(std::move(shape_)), bug(bug_) {
    const int machines = shape.members + shape.spares;
    Epoch first;
    first.number = shape.founding ? 0 : 1;
    for (int at = 0; at < machines; ++at) {
        acceptors.emplace_back(address(at), "1");
        lives.push_back(1);
        if (at < shape.members) first.members.push_back(member(at));
    }
    for (int at = 0; at < shape.members; ++at) acceptors[at].apply({{}, EpochState{first, true, {}, {}}});
    images = acceptors;
    opened[first.number] = first;
    if (shape.founding) {
        change(0), change(1);
        return;
    }
    add(Task::write, "7A"), add(Task::write, "7B");
    if (shape.changes > 0) change(0);
}

void World::change(int which) {
    Task task;
    task.kind = Task::replace, task.epoch = newest();
    task.to.number = task.epoch.number + 1;
    const int machines = static_cast<int>(acceptors.size());
    std::vector<int> chosen;
    for (int at = 0; at < machines && static_cast<int>(chosen.size()) < shape.members; ++at) {
        const int machine = (at + which + (shape.founding ? 0 : 1)) % machines;
        chosen.push_back(machine);
    }
    std::sort(chosen.begin(), chosen.end());
    for (const int machine : chosen) task.to.members.push_back(member(machine));
    sets[text(task.to)] = task.to;
    tasks.push_back(std::move(task));
    begin(static_cast<int>(tasks.size()) - 1);
}

void World::add(Task::Kind kind, const std::string& body) {
    Task task;
    task.kind = kind, task.body = body, task.epoch = newest(), task.after = !ended.empty();
    tasks.push_back(std::move(task));
    begin(static_cast<int>(tasks.size()) - 1);
}

void World::begin(int at) {
    auto& task = tasks[at];
    const auto writer = static_cast<std::uint32_t>(at + 1);
    const auto above = task.proposal ? task.proposal->highestRound() : 0;
    ++task.attempt;
    task.repliesSeen.clear();
    task.reconfiguration.reset();
    if (task.kind == Task::replace) {
        const auto value = text(task.to);
        task.proposal = Proposal(
            successorKey(task.epoch), task.epoch, writer, above,
            [value](const std::string& held) { return held.empty() ? value : held; }, false);
    } else {
        const auto body = task.body;
        task.proposal = Proposal(
            "k", task.epoch, writer, above,
            [body](const std::string& held) {
                return body.empty() || (!held.empty() && held[0] >= body[0]) ? held : body;
            },
            task.attempt == 1);
    }
    send(at);
}

void World::send(int at) {
    const auto& task = tasks[at];
    const auto each = [&](const Epoch& asked, Message message) {
        for (const auto& member : asked.members) {
            message.machine = member.address[0] - 'a';
            messages.push_back(message);
        }
    };
    Message message;
    message.task = at, message.attempt = task.attempt;
    if (!task.reconfiguration) {
        message.step = static_cast<int>(task.proposal->step()), message.request = task.proposal->request();
        each(task.epoch, message);
        return;
    }
    message.ofProposal = false, message.step = static_cast<int>(task.reconfiguration->step());
    for (const auto& request : task.reconfiguration->requests()) {
        const auto proposal = task.reconfiguration->proposals().find(request.key);
        message.proposalStep = proposal == task.reconfiguration->proposals().end()
                                   ? 0
                                   : static_cast<int>(proposal->second.step());
        message.request = request;
        each(task.reconfiguration->targetEpoch(), message);
    }
}

void World::open(const Epoch& epoch) {
    const auto [at, added] = opened.emplace(epoch.number, epoch);
    if (!added && at->second != epoch)
        broken =
            (shape.founding ? "FoundedOnce: " : "OneEpochOpen: ") + text(at->second) + " and " + text(epoch);
}

void World::onStepChanged(int at) {
    auto& task = tasks[at];
    task.repliesSeen.clear();
    if (task.reconfiguration) {
        if (task.reconfiguration->step() == Reconfiguration::Step::done) {
            open(task.reconfiguration->to());
            task.ended = true;
            const auto replaced = std::count_if(tasks.begin(), tasks.end(),
                                                [](const Task& one) { return one.kind == Task::replace; });
            if (shape.founding) {
                if (tasks.size() == 2) add(Task::write, "7A"), add(Task::write, "7B");
            } else if (replaced < shape.changes) {
                change(static_cast<int>(replaced));
            }
        } else if (task.reconfiguration->step() != Reconfiguration::Step::lost) {
            send(at);
        }
        return;
    }
    const auto& proposal = *task.proposal;
    if (proposal.step() == Proposal::Step::lost) return;
    if (proposal.step() != Proposal::Step::done) return send(at);
    if (task.kind == Task::replace) {
        const auto decided = sets.at(proposal.value());
        task.reconfiguration = Reconfiguration(task.epoch, decided, static_cast<std::uint32_t>(at + 1));
        if (bug == Bug::opensUnsealed || bug == Bug::opensEmpty) {
            // What a careless host would do: one answer is enough, or nothing is carried over.
            auto epoch = task.epoch;
            if (bug == Bug::opensUnsealed) epoch.members.resize(1);
            if (bug == Bug::opensEmpty)
                for (auto& acceptor : acceptors)
                    if (decided.find(addressOf(acceptor), acceptor.disk()))
                        acceptor.apply({{}, EpochState{decided, true, {}, {}}});
            task.reconfiguration = Reconfiguration(epoch, decided, static_cast<std::uint32_t>(at + 1));
            if (bug == Bug::opensEmpty) {
                for (auto& acceptor : acceptors)
                    if (!task.epoch.find(addressOf(acceptor), acceptor.disk()))
                        acceptor.apply({{{"k", RegisterState{}}}, {}});
                open(decided), task.ended = true;
                return;
            }
        }
        send(at);
        return;
    }
    task.ended = true;
    // Lasting: bodies of one number are one body, whoever ended with it, and a later one builds on it.
    if (!ended.empty() && !proposal.value().empty() && ended.back() != proposal.value())
        broken = "Lasting: " + ended.back() + " then " + proposal.value();
    if (proposal.value().empty() && task.after) broken = "Lasting: nothing after " + ended.back();
    if (!proposal.value().empty()) ended.push_back(proposal.value());
    const auto reads =
        std::count_if(tasks.begin(), tasks.end(), [](const Task& one) { return one.kind == Task::read; });
    if (!ended.empty() && reads < 2) add(Task::read, "");
}

std::string World::addressOf(const Acceptor& acceptor) const {
    for (std::size_t at = 0; at < acceptors.size(); ++at)
        if (&acceptors[at] == &acceptor) return address(static_cast<int>(at));
    return "";
}

bool World::stalled(int at) const {
    const auto& task = tasks[at];
    if (task.ended || task.attempt >= 20) return false;
    const bool lost = task.reconfiguration ? task.reconfiguration->step() == Reconfiguration::Step::lost
                                           : task.proposal->step() == Proposal::Step::lost;
    return lost || std::none_of(messages.begin(), messages.end(), [&](const Message& message) {
               return message.task == at && message.attempt == task.attempt;
           });
}

void World::restart(int at) {
    auto& task = tasks[at];
    if (task.kind == Task::replace) {
        if (task.epoch.number != newest().number) return void(task.ended = true);  // another was quicker
        // A decided successor is told by whoever has sealed for it: it is not decided again, but
        // ended.
        for (const auto& acceptor : acceptors)
            if (acceptor.epochState().successor && acceptor.epochState().epoch.number == task.epoch.number) {
                ++task.attempt, task.repliesSeen.clear();
                task.reconfiguration = Reconfiguration(task.epoch, *acceptor.epochState().successor,
                                                       static_cast<std::uint32_t>(at + 1));
                return send(at);
            }
    } else {
        task.epoch = newest();
    }
    begin(at);
}

World::Choices World::choices() const {
    Choices all;
    all.ways = shape.doubles > 0 ? 3 : 2;
    all.messages = messages.size() * all.ways;
    all.losses = shape.losses > 0 ? acceptors.size() : 0;
    all.images = shape.images > 0 ? acceptors.size() : 0;
    for (int at = 0; at < static_cast<int>(tasks.size()); ++at) all.stalled += stalled(at);
    return all;
}

void World::choose(std::size_t choice) {
    const auto all = choices();
    if (choice < all.messages) {
        const auto at = choice / all.ways;
        const auto way = choice % all.ways;
        const auto message = messages[at];
        if (way != 2) messages.erase(messages.begin() + static_cast<std::ptrdiff_t>(at));
        if (way == 2) --shape.doubles;
        if (way != 1) deliver(message);
        return check();
    }
    choice -= all.messages;
    if (choice < all.losses) {
        --shape.losses;
        return loseDisk(static_cast<int>(choice));
    }
    choice -= all.losses;
    if (choice < all.images) {
        --shape.images;
        const auto machine = static_cast<int>(choice);
        // Nobody is asked whether it is the disk that they know: it answers as before. Else it is a new
        // one.
        if (bug == Bug::rollsBack) acceptors[machine] = images[machine];
        else loseDisk(machine);
        return;
    }
    choice -= all.images;
    for (int at = 0; at < static_cast<int>(tasks.size()); ++at)
        if (stalled(at) && choice-- == 0) return restart(at);
}

void World::loseDisk(int machine) {
    const auto before = acceptors[machine];
    const bool keeps = bug == Bug::lostDiskKeepsName || (bug == Bug::foundsAgain && shape.founding);
    if (!keeps) ++lives[machine];
    acceptors[machine] = Acceptor(address(machine), std::to_string(lives[machine]));
    if (keeps && before.epochState().epoch.number <= (shape.founding ? 0U : 1U))
        acceptors[machine].apply({{}, images[machine].epochState()});
}

void World::deliver(const Message& message) {
    if (message.reply) {
        auto& task = tasks[message.task];
        if (message.attempt != task.attempt || message.ofProposal == task.reconfiguration.has_value()) return;
        task.repliesSeen += message.text() + ";";
        const auto& asked = task.reconfiguration ? task.reconfiguration->targetEpoch() : task.epoch;
        std::optional<std::uint32_t> position;
        for (std::uint32_t at = 0; at < asked.members.size(); ++at)
            if (asked.members[at].address == address(message.machine)) position = at;
        if (!position) return;
        const bool moves =
            task.reconfiguration
                ? task.reconfiguration->handleReply(
                      *position, static_cast<Reconfiguration::Step>(message.step), message.request.key,
                      static_cast<Proposal::Step>(message.proposalStep), message.answer)
                : task.proposal->handleReply(*position, static_cast<Proposal::Step>(message.step),
                                             message.answer);
        if (moves) onStepChanged(message.task);
        return;
    }
    auto& acceptor = acceptors[message.machine];
    auto request = message.request;
    if (bug == Bug::countsBothEpochs && request.kind <= Request::Kind::accept)
        request.epoch = acceptor.epochState().epoch.number;
    std::optional<Update> update;
    Reply reply;
    if (bug == Bug::spareCounts && !reply.rejected && message.machine == 0 &&
        request.kind <= Request::Kind::accept && message.ofProposal &&
        acceptors.size() > static_cast<std::size_t>(shape.members)) {
        // The spare's acceptor answers beside the member's own, as one of the members.
        Acceptor spare("a", "1");
        spare.apply({acceptors.back().states(), acceptors[0].epochState()});
        reply = spare.evaluate(request, update);
        if (update) acceptors.back().apply({update->states, {}});
        if (!reply.rejected && message.task % 2 == 1) return answer(message, reply);
    }
    if (bug == Bug::newDiskSeals && request.kind == Request::Kind::seal &&
        acceptor.epochState().epoch.number == request.epoch + 1) {
        reply.accepted = true, reply.states = acceptor.states();
    } else if (bug == Bug::sealForgets && acceptor.epochState().successor) {
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
        if (bug != Bug::tellsBeforeDisk || message.machine != 0) acceptor.apply(*update);
        if (images[message.machine].states().empty()) images[message.machine] = acceptor;
    }
    answer(message, reply);
    if (!reply.rejected && request.kind <= Request::Kind::accept) {
        // NoForgetfulVote: what one disk has told, it never goes back on.
        auto& highest = promisesTold[address(message.machine) + acceptor.disk() + request.key];
        if (reply.state.promised < highest)
            broken = "NoForgetfulVote: " + address(message.machine) + " told " + text(highest) + ", then " +
                     text(reply.state.promised);
        highest = std::max(highest, reply.state.promised);
    }
    if (request.kind == Request::Kind::accept && reply.accepted) {
        const auto [body, added] = bodies.emplace(request.key + text(request.proposalNumber), request.value);
        if (!added && body->second != request.value)
            broken =
                "OneBody: " + text(request.proposalNumber) + " is " + body->second + " and " + request.value;
    }
    if (acceptor.epochState().open) open(acceptor.epochState().epoch);
}

void World::answer(Message message, const Reply& reply) {
    message.reply = true, message.answer = reply;
    message.request.value.clear(), message.request.successor.reset();
    messages.push_back(std::move(message));
}

void World::check() {
    for (const auto& [number, epoch] : opened) {
        if (number == newest().number || number == 0) continue;
        std::size_t unsealed = 0;
        for (const auto& acceptor : acceptors) {
            const auto& epochState = acceptor.epochState();
            const bool sealed = epochState.successor && bug != Bug::sealForgets;
            unsealed += epochState.epoch.number == number && !sealed && acceptor.isMember(epoch);
        }
        if (unsealed >= epoch.majority()) broken = "NoOldEpochWrites: " + text(epoch) + " still takes";
    }
}

std::string World::key() const {
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
        all += "#" + std::to_string(task.attempt) + (task.ended ? "e" : "") + text(task.epoch);
        if (task.proposal)
            all += std::to_string(static_cast<int>(task.proposal->step())) + task.proposal->value() +
                   std::to_string(task.proposal->highestRound()) + text(task.proposal->proposalNumber());
        if (task.reconfiguration) all += "s" + std::to_string(static_cast<int>(task.reconfiguration->step()));
        all += "~" + task.repliesSeen;
    }
    return all + "w" + std::to_string(shape.losses) + std::to_string(shape.images) +
           std::to_string(shape.doubles) + std::to_string(opened.size()) +
           (ended.empty() ? "" : ended.back());
}

}  // namespace consensus_explorer
