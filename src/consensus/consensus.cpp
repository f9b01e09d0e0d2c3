#include "consensus/consensus.hpp"

#include <algorithm>
#include <utility>

namespace lichenlanding::consensus {
namespace {

// Of the keys on disk under which the members of an epoch decide the next.
const std::string kSuccessorPrefix = "epoch/";

}  // namespace

std::optional<std::uint32_t> Epoch::find(const std::string& address, const std::string& disk) const {
    for (std::uint32_t at = 0; at < members.size(); ++at)
        if (members[at].address == address && (number == 0 || members[at].disk == disk)) return at;
    return std::nullopt;
}

std::string successorKey(const Epoch& of) { return kSuccessorPrefix + std::to_string(of.number + 1); }

bool isSuccessorKey(const std::string& key) { return key.starts_with(kSuccessorPrefix); }

// ---- Acceptor ----

const RegisterState& Acceptor::state(const std::string& key) const {
    static const RegisterState kNone;
    const auto at = states_.find(key);
    return at == states_.end() ? kNone : at->second;
}

bool Acceptor::isMember(const Epoch& epoch) const { return epoch.find(address_, disk_).has_value(); }

void Acceptor::apply(const Update& update) {
    for (const auto& [key, state] : update.states) states_[key] = state;
    if (!update.epochState) return;
    epochState_ = *update.epochState;
    if (!epochState_.open) return;
    // What earlier epochs decided of their successors is done with.
    std::erase_if(states_, [&](const auto& one) {
        return isSuccessorKey(one.first) && one.first != successorKey(epochState_.epoch);
    });
}

Reply Acceptor::emptyReply() const {
    Reply reply;
    reply.epoch = epochState_.epoch.number;
    reply.sealed = epochState_.successor.has_value();
    return reply;
}

Reply Acceptor::evaluate(const Request& request, std::optional<Update>& update) const {
    update.reset();
    if (request.kind == Request::Kind::install) return evaluateInstall(request, update);
    if (request.kind == Request::Kind::seal) return evaluateSeal(request, update);
    return evaluateAtKey(request, update);
}

Reply Acceptor::evaluateInstall(const Request& request, std::optional<Update>& update) const {
    auto reply = emptyReply();
    const auto& current = epochState_.epoch;
    const auto& to = *request.successor;
    reply.accepted = to.number >= current.number;
    const bool opens = request.open && !epochState_.open;
    if (to.number < current.number || (to.number == current.number && !opens)) return reply;
    EpochState installed;
    installed.epoch = to;
    installed.open = request.open;
    if (to.number == current.number) installed.successor = epochState_.successor;
    if (!request.open) installed.predecessor = request.predecessor;
    update = Update{{}, std::move(installed)};
    return reply;
}

Reply Acceptor::evaluateSeal(const Request& request, std::optional<Update>& update) const {
    auto reply = emptyReply();
    const auto& current = epochState_.epoch;
    // One that holds the successor already accepts nothing of the old epoch any more: sealed as well. But
    // only a member of the old: a new disk in the place of a lost one would answer for what it never held.
    const bool holdsSuccessor =
        current.number == request.epoch + 1 && request.predecessor && isMember(*request.predecessor);
    const bool seals = current.number == request.epoch && isMember(current);
    if (!holdsSuccessor && !seals) {
        reply.rejected = true;
        return reply;
    }
    if (seals && !epochState_.successor) {
        update = Update{{}, epochState_};
        update->epochState->successor = request.successor;
    }
    reply.accepted = true;
    reply.states = states_;
    for (auto& [key, state] : reply.states) {
        const auto at = request.knownNumbers.find(key);
        if (at != request.knownNumbers.end() && at->second == state.accepted) state.value.clear();
    }
    return reply;
}

Reply Acceptor::evaluateAtKey(const Request& request, std::optional<Update>& update) const {
    auto reply = emptyReply();
    const auto& current = epochState_.epoch;
    if (current.number != request.epoch || epochState_.successor || !isMember(current)) {
        reply.rejected = true;
        return reply;
    }
    const bool accepts = request.kind == Request::Kind::accept;
    reply.state = state(request.key);
    if (request.kind == Request::Kind::read) {
        reply.accepted = true;
    } else if (request.kind == Request::Kind::prepare) {
        reply.accepted = request.proposalNumber > reply.state.promised;
        if (reply.accepted) reply.state.promised = request.proposalNumber;
    } else {
        reply.accepted = request.proposalNumber >= reply.state.promised;
        if (reply.accepted) reply.state = {request.proposalNumber, request.proposalNumber, request.value};
    }
    if (reply.accepted && reply.state != state(request.key))
        update = Update{{{request.key, reply.state}}, {}};
    // What the proposer sent or holds is not sent back.
    const bool isProposersOwn = accepts || request.knownNumber == reply.state.accepted;
    if (isProposersOwn && request.knownNumber.round > 0) {
        reply.valueOmitted = true;
        reply.state.value.clear();
    }
    if (accepts) reply.state.value.clear();
    return reply;
}

// ---- Proposal ----

Proposal::Proposal(std::string key, const Epoch& epoch, std::uint32_t writer, std::uint64_t above,
                   Change change, bool readFirst, RegisterState held, RegisterState base)
    : key_(std::move(key)),
      epoch_(epoch.number),
      majority_(epoch.majority()),
      proposer_(writer),
      highestRound_(std::max({above, base.promised.round, base.accepted.round})),
      change_(std::move(change)),
      step_(readFirst ? Step::read : Step::prepare),
      proposalNumber_{highestRound_ + 1, writer},
      known_(std::move(held)),
      inherited_(std::move(base)),
      highest_(inherited_) {}

Request Proposal::request() const {
    Request request;
    request.epoch = epoch_;
    request.key = key_;
    if (step_ == Step::read) {
        request.knownNumber = known_.accepted;
    } else if (step_ == Step::prepare) {
        request.kind = Request::Kind::prepare;
        request.proposalNumber = proposalNumber_;
        request.knownNumber = known_.accepted;
    } else {
        request.kind = Request::Kind::accept;
        request.proposalNumber = proposalNumber_;
        request.value = value_;
    }
    return request;
}

void Proposal::enterStep(Step step) {
    step_ = step;
    answeredBy_.clear();
    acceptedBy_.clear();
    if (step != Step::prepare) return;
    proposalNumber_ = {highestRound_ + 1, proposer_};
    highest_ = inherited_;
}

bool Proposal::handleReply(std::uint32_t member, Step answered, const Reply& reply) {
    if (answered != step_ || step_ == Step::done || step_ == Step::lost) return false;
    if (reply.rejected) return handleRejection(reply);
    auto state = reply.state;
    if (reply.valueOmitted) state.value = known_.value;
    if (!answeredBy_.insert(member).second) return false;
    highestRound_ = std::max({highestRound_, state.promised.round, state.accepted.round});
    return step_ == Step::read ? handleRead(state) : handleVote(member, reply, state);
}

// Neither for nor against. Where the register goes on in another epoch, this proposal can't succeed any more.
bool Proposal::handleRejection(const Reply& reply) {
    // One that is still in the epoch before, sealed, has not been told of this one yet: as one that is down.
    if (reply.epoch < epoch_ || (reply.epoch == epoch_ && !reply.sealed)) return false;
    enterStep(Step::lost);
    return true;
}

bool Proposal::handleRead(const RegisterState& state) {
    unanimous_ = unanimous_ && (!lastRead_ || lastRead_->accepted == state.accepted);
    lastRead_ = state;
    if (state.accepted > known_.accepted) known_ = state;  // need not be told again
    if (unanimous_ && answeredBy_.size() < majority_) return false;
    if (unanimous_ && change_(state.value) == state.value) {
        value_ = state.value;
        proposalNumber_ = state.accepted;
        enterStep(Step::done);
    } else {
        enterStep(Step::prepare);
    }
    return true;
}

bool Proposal::handleVote(std::uint32_t member, const Reply& reply, const RegisterState& state) {
    if (!reply.accepted) {
        enterStep(Step::lost);
        return true;
    }
    acceptedBy_.insert(member);
    if (step_ == Step::prepare && state.accepted > highest_.accepted) highest_ = state;
    if (acceptedBy_.size() < majority_) return false;
    if (step_ == Step::prepare) {
        value_ = change_(highest_.value);
        enterStep(Step::accept);
    } else {
        enterStep(Step::done);
    }
    return true;
}

// ---- Reconfiguration ----

Reconfiguration::Reconfiguration(Epoch from, Epoch to, std::uint32_t writer, RegisterStates held)
    : from_(std::move(from)), to_(std::move(to)), proposer_(writer), known_(std::move(held)) {}

std::vector<Request> Reconfiguration::requests() const {
    std::vector<Request> all;
    Request request;
    request.successor = to_;
    if (step_ == Step::seal) {
        request.kind = Request::Kind::seal;
        request.epoch = from_.number;
        request.predecessor = from_;
        for (const auto& [key, state] : known_) request.knownNumbers[key] = state.accepted;
        all.push_back(request);
    } else if (step_ == Step::transfer || step_ == Step::open) {
        request.kind = Request::Kind::install;
        request.epoch = to_.number;
        request.open = step_ == Step::open;
        if (!request.open) request.predecessor = from_;
        all.push_back(request);
        if (step_ == Step::transfer)
            for (const auto& [_, proposal] : proposals_)
                if (proposal.step() != Proposal::Step::done) all.push_back(proposal.request());
    }
    return all;
}

bool Reconfiguration::handleReply(std::uint32_t member, Step answered, const std::string& key,
                                  Proposal::Step proposalStep, const Reply& reply) {
    if (answered != step_) return false;
    if (step_ == Step::seal) return handleSealed(member, reply);
    if (step_ == Step::transfer) return handleTransferred(member, key, proposalStep, reply);
    if (step_ != Step::open || !reply.accepted) return false;
    if (!acceptedBy_.insert(member).second || acceptedBy_.size() < to_.majority()) return false;
    step_ = Step::done;
    return true;
}

bool Reconfiguration::handleSealed(std::uint32_t member, const Reply& reply) {
    if (!reply.accepted) {
        if (reply.epoch <= from_.number + 1) return false;
        step_ = Step::lost;  // long past
        return true;
    }
    if (!acceptedBy_.insert(member).second) return false;
    mergeSealed(reply.states);
    if (acceptedBy_.size() < from_.majority()) return false;
    beginTransfer();
    return true;
}

void Reconfiguration::mergeSealed(const RegisterStates& states) {
    for (const auto& [key, state] : states) {
        auto& highest = highest_[key];
        highest.promised = std::max(highest.promised, state.promised);
        if (state.accepted <= highest.accepted) continue;
        const auto known = known_.find(key);
        const bool valueOmitted = known != known_.end() && known->second.accepted == state.accepted;
        highest.accepted = state.accepted;
        highest.value = valueOmitted ? known->second.value : state.value;
    }
}

void Reconfiguration::beginTransfer() {
    step_ = Step::transfer;
    acceptedBy_.clear();
    const Change unchanged = [](const std::string& value) { return value; };
    for (const auto& [key, state] : highest_) {
        // Also where nothing was accepted but something promised: a value that one disk accepted in an old
        // epoch must lie below every number of the new one, or it would come back with that disk.
        if (isSuccessorKey(key)) continue;
        proposals_.emplace(
            key, Proposal(key, to_, proposer_, state.promised.round, unchanged, false, state, state));
    }
    if (proposals_.empty()) step_ = Step::open;
}

bool Reconfiguration::handleTransferred(std::uint32_t member, const std::string& key,
                                        Proposal::Step proposalStep, const Reply& reply) {
    const auto at = proposals_.find(key);
    if (at == proposals_.end() || !at->second.handleReply(member, proposalStep, reply)) return false;
    if (at->second.step() == Proposal::Step::lost) {
        step_ = Step::lost;
        return true;
    }
    for (const auto& [_, proposal] : proposals_)
        if (proposal.step() != Proposal::Step::done) return true;
    step_ = Step::open;
    acceptedBy_.clear();
    return true;
}

}  // namespace lichenlanding::consensus
