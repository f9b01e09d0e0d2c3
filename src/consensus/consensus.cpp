#include "consensus/consensus.hpp"

#include <algorithm>
#include <utility>

namespace lichenlanding::consensus {

std::optional<std::uint32_t> Epoch::find(const std::string& address, const std::string& disk) const {
    for (std::uint32_t at = 0; at < members.size(); ++at)
        if (members[at].address == address && (number == 0 || members[at].disk == disk)) return at;
    return std::nullopt;
}

std::string successorKey(const Epoch& of) { return "epoch/" + std::to_string(of.number + 1); }

const RegisterState& Acceptor::cell(const std::string& key) const {
    static const RegisterState none;
    const auto at = cells_.find(key);
    return at == cells_.end() ? none : at->second;
}

bool Acceptor::member(const Epoch& epoch) const { return epoch.find(address_, disk_).has_value(); }

void Acceptor::put(const Update& update) {
    for (const auto& [key, cell] : update.cells) cells_[key] = cell;
    if (!update.standing) return;
    standing_ = *update.standing;
    // What earlier epochs decided of their successors is done with.
    if (standing_.open)
        std::erase_if(cells_, [&](const auto& one) {
            return one.first.starts_with("epoch/") && one.first != successorKey(standing_.epoch);
        });
}

Reply Acceptor::evaluate(const Request& request, std::optional<Update>& update) const {
    update.reset();
    Reply reply;
    const auto& now = standing_.epoch;
    reply.epoch = now.number, reply.sealed = standing_.next.has_value();
    if (request.kind == Request::Kind::install) {
        const auto& to = *request.to;
        reply.taken = to.number >= now.number;
        const bool opens = request.open && !standing_.open;
        if (to.number > now.number || (to.number == now.number && opens))
            update =
                Update{{},
                       EpochState{to, request.open, to.number == now.number ? standing_.next : std::nullopt,
                                  request.open ? std::nullopt : request.from}};
        return reply;
    }
    if (request.kind == Request::Kind::seal) {
        // One that holds the successor already takes nothing of the old epoch any more: sealed as well. But
        // only a member of the old: a new disk in the place of a lost one would answer for what it never
        // held.
        const bool holds = now.number == request.epoch + 1 && request.from && member(*request.from);
        const bool seals = now.number == request.epoch && member(now);
        if (!holds && !seals) return reply.refused = true, reply;
        if (seals && !standing_.next) {
            update = Update{{}, standing_};
            update->standing->next = request.to;
        }
        reply.taken = true, reply.cells = cells_;
        for (auto& [key, cell] : reply.cells)
            if (const auto at = request.holds.find(key);
                at != request.holds.end() && at->second == cell.accepted)
                cell.value.clear();
        return reply;
    }
    if (now.number != request.epoch || standing_.next || !member(now)) return reply.refused = true, reply;
    reply.cell = cell(request.key);
    if (request.kind == Request::Kind::look) {
        reply.taken = true;
    } else if (request.kind == Request::Kind::prepare) {
        reply.taken = request.proposalNumber > reply.cell.promised;
        if (reply.taken) reply.cell.promised = request.proposalNumber;
    } else {
        reply.taken = request.proposalNumber >= reply.cell.promised;
        if (reply.taken) reply.cell = {request.proposalNumber, request.proposalNumber, request.value};
    }
    if (reply.taken && reply.cell != cell(request.key)) update = Update{{{request.key, reply.cell}}, {}};
    // What the asker sent or holds is not sent back.
    const bool its = request.kind == Request::Kind::accept || request.held == reply.cell.accepted;
    if (its && request.held.round > 0) reply.valueOmitted = true, reply.cell.value.clear();
    if (request.kind == Request::Kind::accept) reply.cell.value.clear();
    return reply;
}

Proposal::Proposal(std::string key, const Epoch& epoch, std::uint32_t writer, std::uint64_t above,
                   Change change, bool lookFirst, RegisterState held, RegisterState base)
    : key_(std::move(key)),
      epoch_(epoch.number),
      majority_(epoch.majority()),
      writer_(writer),
      above_(std::max({above, base.promised.round, base.accepted.round})),
      change_(std::move(change)),
      step_(lookFirst ? Step::look : Step::prepare),
      ballot_{above_ + 1, writer},
      held_(std::move(held)),
      base_(std::move(base)),
      best_(base_) {}

Request Proposal::request() const {
    Request request;
    request.epoch = epoch_, request.key = key_;
    if (step_ == Step::look) {
        request.held = held_.accepted;
    } else if (step_ == Step::prepare) {
        request.kind = Request::Kind::prepare, request.proposalNumber = ballot_,
        request.held = held_.accepted;
    } else {
        request.kind = Request::Kind::accept, request.proposalNumber = ballot_, request.value = value_;
    }
    return request;
}

void Proposal::move(Step step) {
    step_ = step;
    heard_.clear(), taken_.clear();
    if (step == Step::prepare) ballot_ = {above_ + 1, writer_}, best_ = base_;
}

bool Proposal::on(std::uint32_t member, Step answered, const Reply& told) {
    if (answered != step_ || step_ == Step::done || step_ == Step::lost) return false;
    if (told.refused) {  // neither for nor against; where it goes on elsewhere, this run has no more to win
        refused_.insert(member);
        // One that still stands in the epoch before, sealed, has not been told of this one yet: as one that
        // is down.
        if (told.epoch < epoch_ || (told.epoch == epoch_ && !told.sealed)) return false;
        move(Step::lost);
        return true;
    }
    auto reply = told;
    if (reply.valueOmitted) reply.cell.value = held_.value;
    if (!heard_.insert(member).second) return false;
    above_ = std::max({above_, reply.cell.promised.round, reply.cell.accepted.round});
    if (step_ == Step::look) {
        agree_ = agree_ && (!agreed_ || agreed_->accepted == reply.cell.accepted);
        agreed_ = reply.cell;
        if (reply.cell.accepted > held_.accepted) held_ = reply.cell;  // need not be told again
        if (agree_ && heard_.size() < majority_) return false;
        if (agree_ && change_(reply.cell.value) == reply.cell.value) {
            value_ = reply.cell.value, ballot_ = reply.cell.accepted;
            move(Step::done);
        } else {
            move(Step::prepare);
        }
        return true;
    }
    if (!reply.taken) {
        move(Step::lost);
        return true;
    }
    taken_.insert(member);
    if (step_ == Step::prepare && reply.cell.accepted > best_.accepted) best_ = reply.cell;
    if (taken_.size() < majority_) return false;
    if (step_ == Step::prepare) {
        value_ = change_(best_.value);
        move(Step::accept);
    } else {
        move(Step::done);
    }
    return true;
}

Reconfiguration::Reconfiguration(Epoch from, Epoch to, std::uint32_t writer, RegisterStates held)
    : from_(std::move(from)), to_(std::move(to)), writer_(writer), held_(std::move(held)) {}

std::vector<Request> Reconfiguration::requests() const {
    std::vector<Request> all;
    Request request;
    if (step_ == Step::seal) {
        request.kind = Request::Kind::seal, request.epoch = from_.number, request.from = from_,
        request.to = to_;
        for (const auto& [key, cell] : held_) request.holds[key] = cell.accepted;
        all.push_back(request);
    } else if (step_ == Step::transfer || step_ == Step::open) {
        request.kind = Request::Kind::install, request.epoch = to_.number, request.to = to_;
        request.open = step_ == Step::open;
        if (!request.open) request.from = from_;
        all.push_back(request);
        if (step_ == Step::transfer)
            for (const auto& [_, run] : runs_)
                if (run.step() != Proposal::Step::done) all.push_back(run.request());
    }
    return all;
}

void Reconfiguration::transfer() {
    step_ = Step::transfer;
    taken_.clear();
    const Change asItIs = [](const std::string& value) { return value; };
    for (const auto& [key, cell] : best_) {
        // Also where nothing was taken but something promised: a body that one disk took in an old epoch must
        // lie below every ballot of the new one, or it would come back with that disk.
        if (key.starts_with("epoch/")) continue;
        runs_.emplace(key, Proposal(key, to_, writer_, cell.promised.round, asItIs, false, cell, cell));
    }
    if (runs_.empty()) step_ = Step::open;
}

bool Reconfiguration::on(std::uint32_t member, Step answered, const std::string& key, Proposal::Step inRun,
                         const Reply& reply) {
    if (answered != step_) return false;
    if (step_ == Step::seal) {
        if (!reply.taken) {
            if (reply.epoch <= from_.number + 1) return false;
            step_ = Step::lost;  // long past
            return true;
        }
        if (!taken_.insert(member).second) return false;
        for (const auto& [name, cell] : reply.cells) {
            auto& best = best_[name];
            best.promised = std::max(best.promised, cell.promised);
            if (cell.accepted <= best.accepted) continue;
            const auto held = held_.find(name);
            const bool valueOmitted = held != held_.end() && held->second.accepted == cell.accepted;
            best.accepted = cell.accepted, best.value = valueOmitted ? held->second.value : cell.value;
        }
        if (taken_.size() < from_.majority()) return false;
        transfer();
        return true;
    }
    if (step_ == Step::transfer) {
        const auto at = runs_.find(key);
        if (at == runs_.end() || !at->second.on(member, inRun, reply)) return false;
        if (at->second.step() == Proposal::Step::lost) {
            step_ = Step::lost;
            return true;
        }
        for (const auto& [_, run] : runs_)
            if (run.step() != Proposal::Step::done) return true;
        step_ = Step::open, taken_.clear();
        return true;
    }
    if (step_ != Step::open || !reply.taken) return false;
    if (!taken_.insert(member).second || taken_.size() < to_.majority()) return false;
    step_ = Step::done;
    return true;
}

}  // namespace lichenlanding::consensus
