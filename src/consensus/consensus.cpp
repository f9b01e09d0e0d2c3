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

bool isSuccessorKey(const std::string& key) { return key.starts_with(kSuccessorPrefix); }

std::string successorKey(const Epoch& of) { return kSuccessorPrefix + std::to_string(of.number + 1); }

const RegisterState& Acceptor::state(const std::string& key) const {
    static const RegisterState none;
    const auto at = states_.find(key);
    return at == states_.end() ? none : at->second;
}

bool Acceptor::isMember(const Epoch& epoch) const { return epoch.find(address_, disk_).has_value(); }

void Acceptor::apply(const Update& update) {
    for (const auto& [key, cell] : update.states) states_[key] = cell;
    if (!update.epochState) return;
    epochState_ = *update.epochState;
    // What earlier epochs decided of their successors is done with.
    if (epochState_.open)
        std::erase_if(states_, [&](const auto& one) {
            return isSuccessorKey(one.first) && one.first != successorKey(epochState_.epoch);
        });
}

Reply Acceptor::evaluate(const Request& request, std::optional<Update>& update) const {
    update.reset();
    Reply reply;
    const auto& now = epochState_.epoch;
    reply.epoch = now.number, reply.sealed = epochState_.next.has_value();
    if (request.kind == Request::Kind::install) {
        const auto& to = *request.to;
        reply.accepted = to.number >= now.number;
        const bool opens = request.open && !epochState_.open;
        if (to.number > now.number || (to.number == now.number && opens))
            update =
                Update{{},
                       EpochState{to, request.open, to.number == now.number ? epochState_.next : std::nullopt,
                                  request.open ? std::nullopt : request.from}};
        return reply;
    }
    if (request.kind == Request::Kind::seal) {
        // One that holds the successor already takes nothing of the old epoch any more: sealed as well. But
        // only a member of the old: a new disk in the place of a lost one would answer for what it never
        // held.
        const bool holds = now.number == request.epoch + 1 && request.from && isMember(*request.from);
        const bool seals = now.number == request.epoch && isMember(now);
        if (!holds && !seals) return reply.rejected = true, reply;
        if (seals && !epochState_.next) {
            update = Update{{}, epochState_};
            update->epochState->next = request.to;
        }
        reply.accepted = true, reply.states = states_;
        for (auto& [key, cell] : reply.states)
            if (const auto at = request.holds.find(key);
                at != request.holds.end() && at->second == cell.accepted)
                cell.value.clear();
        return reply;
    }
    if (now.number != request.epoch || epochState_.next || !isMember(now))
        return reply.rejected = true, reply;
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
    // What the asker sent or holds is not sent back.
    const bool its = request.kind == Request::Kind::accept || request.held == reply.state.accepted;
    if (its && request.held.round > 0) reply.valueOmitted = true, reply.state.value.clear();
    if (request.kind == Request::Kind::accept) reply.state.value.clear();
    return reply;
}

Proposal::Proposal(std::string key, const Epoch& epoch, std::uint32_t writer, std::uint64_t above,
                   Change change, bool lookFirst, RegisterState held, RegisterState base)
    : key_(std::move(key)),
      epoch_(epoch.number),
      majority_(epoch.majority()),
      proposer_(writer),
      highestRound_(std::max({above, base.promised.round, base.accepted.round})),
      update_(std::move(change)),
      step_(lookFirst ? Step::read : Step::prepare),
      proposalNumber_{highestRound_ + 1, writer},
      known_(std::move(held)),
      inherited_(std::move(base)),
      highest_(inherited_) {}

Request Proposal::request() const {
    Request request;
    request.epoch = epoch_, request.key = key_;
    if (step_ == Step::read) {
        request.held = known_.accepted;
    } else if (step_ == Step::prepare) {
        request.kind = Request::Kind::prepare, request.proposalNumber = proposalNumber_,
        request.held = known_.accepted;
    } else {
        request.kind = Request::Kind::accept, request.proposalNumber = proposalNumber_,
        request.value = value_;
    }
    return request;
}

void Proposal::enterStep(Step step) {
    step_ = step;
    answeredBy_.clear(), acceptedBy_.clear();
    if (step == Step::prepare) proposalNumber_ = {highestRound_ + 1, proposer_}, highest_ = inherited_;
}

bool Proposal::handleReply(std::uint32_t member, Step answered, const Reply& told) {
    if (answered != step_ || step_ == Step::done || step_ == Step::lost) return false;
    if (told.rejected) {  // neither for nor against; where it goes on elsewhere, this run has no more to win
        rejectedBy_.insert(member);
        // One that still stands in the epoch before, sealed, has not been told of this one yet: as one that
        // is down.
        if (told.epoch < epoch_ || (told.epoch == epoch_ && !told.sealed)) return false;
        enterStep(Step::lost);
        return true;
    }
    auto reply = told;
    if (reply.valueOmitted) reply.state.value = known_.value;
    if (!answeredBy_.insert(member).second) return false;
    highestRound_ = std::max({highestRound_, reply.state.promised.round, reply.state.accepted.round});
    if (step_ == Step::read) {
        unanimous_ = unanimous_ && (!firstAnswer_ || firstAnswer_->accepted == reply.state.accepted);
        firstAnswer_ = reply.state;
        if (reply.state.accepted > known_.accepted) known_ = reply.state;  // need not be told again
        if (unanimous_ && answeredBy_.size() < majority_) return false;
        if (unanimous_ && update_(reply.state.value) == reply.state.value) {
            value_ = reply.state.value, proposalNumber_ = reply.state.accepted;
            enterStep(Step::done);
        } else {
            enterStep(Step::prepare);
        }
        return true;
    }
    if (!reply.accepted) {
        enterStep(Step::lost);
        return true;
    }
    acceptedBy_.insert(member);
    if (step_ == Step::prepare && reply.state.accepted > highest_.accepted) highest_ = reply.state;
    if (acceptedBy_.size() < majority_) return false;
    if (step_ == Step::prepare) {
        value_ = update_(highest_.value);
        enterStep(Step::accept);
    } else {
        enterStep(Step::done);
    }
    return true;
}

Reconfiguration::Reconfiguration(Epoch from, Epoch to, std::uint32_t writer, RegisterStates held)
    : from_(std::move(from)), to_(std::move(to)), proposer_(writer), known_(std::move(held)) {}

std::vector<Request> Reconfiguration::requests() const {
    std::vector<Request> all;
    Request request;
    if (step_ == Step::seal) {
        request.kind = Request::Kind::seal, request.epoch = from_.number, request.from = from_,
        request.to = to_;
        for (const auto& [key, cell] : known_) request.holds[key] = cell.accepted;
        all.push_back(request);
    } else if (step_ == Step::transfer || step_ == Step::open) {
        request.kind = Request::Kind::install, request.epoch = to_.number, request.to = to_;
        request.open = step_ == Step::open;
        if (!request.open) request.from = from_;
        all.push_back(request);
        if (step_ == Step::transfer)
            for (const auto& [_, run] : proposals_)
                if (run.step() != Proposal::Step::done) all.push_back(run.request());
    }
    return all;
}

void Reconfiguration::beginTransfer() {
    step_ = Step::transfer;
    acceptedBy_.clear();
    const Change asItIs = [](const std::string& value) { return value; };
    for (const auto& [key, cell] : highest_) {
        // Also where nothing was taken but something promised: a body that one disk took in an old epoch must
        // lie below every ballot of the new one, or it would come back with that disk.
        if (isSuccessorKey(key)) continue;
        proposals_.emplace(key,
                           Proposal(key, to_, proposer_, cell.promised.round, asItIs, false, cell, cell));
    }
    if (proposals_.empty()) step_ = Step::open;
}

bool Reconfiguration::handleReply(std::uint32_t member, Step answered, const std::string& key,
                                  Proposal::Step inRun, const Reply& reply) {
    if (answered != step_) return false;
    if (step_ == Step::seal) {
        if (!reply.accepted) {
            if (reply.epoch <= from_.number + 1) return false;
            step_ = Step::lost;  // long past
            return true;
        }
        if (!acceptedBy_.insert(member).second) return false;
        for (const auto& [name, cell] : reply.states) {
            auto& best = highest_[name];
            best.promised = std::max(best.promised, cell.promised);
            if (cell.accepted <= best.accepted) continue;
            const auto held = known_.find(name);
            const bool valueOmitted = held != known_.end() && held->second.accepted == cell.accepted;
            best.accepted = cell.accepted, best.value = valueOmitted ? held->second.value : cell.value;
        }
        if (acceptedBy_.size() < from_.majority()) return false;
        beginTransfer();
        return true;
    }
    if (step_ == Step::transfer) {
        const auto at = proposals_.find(key);
        if (at == proposals_.end() || !at->second.handleReply(member, inRun, reply)) return false;
        if (at->second.step() == Proposal::Step::lost) {
            step_ = Step::lost;
            return true;
        }
        for (const auto& [_, run] : proposals_)
            if (run.step() != Proposal::Step::done) return true;
        step_ = Step::open, acceptedBy_.clear();
        return true;
    }
    if (step_ != Step::open || !reply.accepted) return false;
    if (!acceptedBy_.insert(member).second || acceptedBy_.size() < to_.majority()) return false;
    step_ = Step::done;
    return true;
}

}  // namespace lichenlanding::consensus
