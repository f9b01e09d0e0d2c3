#include "register/register.hpp"

#include <algorithm>
#include <utility>

namespace lichenlanding::reg {

const Cell& Copy::cell(const std::string& key) const {
    static const Cell none;
    const auto at = cells_.find(key);
    return at == cells_.end() ? none : at->second;
}

Reply Copy::weigh(const Request& request, std::optional<Cell>& change) const {
    change.reset();
    Reply reply;
    if (blank_) {
        reply.blank = true;
        return reply;
    }
    reply.cell = cell(request.key);
    if (request.kind == Request::Kind::look) {
        reply.taken = true;
    } else if (request.kind == Request::Kind::prepare) {
        reply.taken = request.ballot > reply.cell.promised;
        if (reply.taken) reply.cell.promised = request.ballot;
    } else {
        reply.taken = request.ballot >= reply.cell.promised;
        if (reply.taken) reply.cell = {request.ballot, request.ballot, request.value};
    }
    if (reply.taken && reply.cell != cell(request.key)) change = reply.cell;
    // What the asker sent or holds is not sent back.
    const bool its = request.kind == Request::Kind::accept || request.held == reply.cell.accepted;
    if (its && request.held.round > 0) reply.spared = true, reply.cell.value.clear();
    if (request.kind == Request::Kind::accept) reply.cell.value.clear();
    return reply;
}

Run::Run(std::string key, std::size_t members, std::uint32_t writer, std::uint64_t above, Change change,
         bool lookFirst, Cell held)
    : key_(std::move(key)),
      members_(members),
      writer_(writer),
      above_(above),
      change_(std::move(change)),
      step_(lookFirst ? Step::look : Step::prepare),
      ballot_{above + 1, writer},
      held_(std::move(held)) {}

Request Run::request() const {
    if (step_ == Step::look) return {Request::Kind::look, key_, {}, {}, held_.accepted};
    if (step_ == Step::prepare) return {Request::Kind::prepare, key_, ballot_, {}, held_.accepted};
    return {Request::Kind::accept, key_, ballot_, value_, {}};
}

void Run::move(Step step) {
    step_ = step;
    heard_.clear(), taken_.clear();
    if (step == Step::prepare) ballot_ = {above_ + 1, writer_}, best_ = {};
}

bool Run::on(std::uint32_t member, Step answered, const Reply& told) {
    auto reply = told;
    if (reply.spared) reply.cell.value = held_.value;
    if (answered != step_ || step_ == Step::done || step_ == Step::lost) return false;
    if (reply.blank) return false;  // NoBlank: neither for nor against
    if (!heard_.insert(member).second) return false;
    above_ = std::max({above_, reply.cell.promised.round, reply.cell.accepted.round});
    const auto majority = members_ / 2 + 1;
    if (step_ == Step::look) {
        agree_ = agree_ && (!agreed_ || agreed_->accepted == reply.cell.accepted);
        agreed_ = reply.cell;
        if (agree_ && heard_.size() < majority) return false;
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
    if (taken_.size() < majority) return false;
    if (step_ == Step::prepare) {
        value_ = change_(best_.value);
        move(Step::accept);
    } else {
        move(Step::done);
    }
    return true;
}

}  // namespace lichenlanding::reg
