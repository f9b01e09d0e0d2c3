#include "consensus/consensus.hpp"

#include <algorithm>
#include <utility>

namespace lichenlanding::consensus {
namespace {

// Prefix of successor keys, as stored on disk.
const std::string kSuccessorPrefix = "epoch/";

}  // namespace

std::optional<std::uint32_t> Epoch::find(const std::string& address, const std::string& disk) const {
    for (std::uint32_t index = 0; index < members.size(); ++index)
        if (members[index].address == address && (number == 0 || members[index].disk == disk)) return index;
    return std::nullopt;
}

std::string successorKey(const Epoch& epoch) { return kSuccessorPrefix + std::to_string(epoch.number + 1); }

bool isSuccessorKey(const std::string& key) { return key.starts_with(kSuccessorPrefix); }

// ---- Acceptor ----

const RegisterState& Acceptor::state(const std::string& key) const {
    static const RegisterState kEmpty;
    const auto found = states_.find(key);
    return found == states_.end() ? kEmpty : found->second;
}

bool Acceptor::isMember(const Epoch& epoch) const { return epoch.find(address_, disk_).has_value(); }

void Acceptor::apply(const Update& update) {
    for (const auto& [key, state] : update.states) states_[key] = state;
    if (!update.epochState) return;
    epochState_ = *update.epochState;
    if (!epochState_.open) return;
    // The successor decisions of earlier epochs are no longer needed.
    std::erase_if(states_, [&](const auto& entry) {
        return isSuccessorKey(entry.first) && entry.first != successorKey(epochState_.epoch);
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
    return evaluateRegisterRequest(request, update);
}

Reply Acceptor::evaluateInstall(const Request& request, std::optional<Update>& update) const {
    auto reply = emptyReply();
    const auto& current = epochState_.epoch;
    const auto& successor = *request.successor;
    reply.accepted = successor.number >= current.number;
    const bool opens = request.open && !epochState_.open;
    if (successor.number < current.number || (successor.number == current.number && !opens)) return reply;
    EpochState installed;
    installed.epoch = successor;
    installed.open = request.open;
    if (successor.number == current.number) installed.successor = epochState_.successor;
    if (!request.open) installed.predecessor = request.predecessor;
    update = Update{{}, std::move(installed)};
    return reply;
}

Reply Acceptor::evaluateSeal(const Request& request, std::optional<Update>& update) const {
    auto reply = emptyReply();
    const auto& current = epochState_.epoch;
    // An acceptor that already has the successor installed rejects requests of the old epoch and so counts as
    // sealed, but only if it was a member of the old epoch: a new disk that replaced a lost one would answer
    // for states that it never had.
    const bool hasSuccessor =
        current.number == request.epoch + 1 && request.predecessor && isMember(*request.predecessor);
    const bool seals = current.number == request.epoch && isMember(current);
    if (!hasSuccessor && !seals) {
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
        const auto known = request.knownNumbers.find(key);
        if (known != request.knownNumbers.end() && known->second == state.accepted) state.value.clear();
    }
    return reply;
}

Reply Acceptor::evaluateRegisterRequest(const Request& request, std::optional<Update>& update) const {
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
    // A value that the proposer sent or already has is omitted from the reply.
    const bool proposerHasValue = accepts || request.knownNumber == reply.state.accepted;
    if (proposerHasValue && request.knownNumber.round > 0) {
        reply.valueOmitted = true;
        reply.state.value.clear();
    }
    if (accepts) reply.state.value.clear();
    return reply;
}

// ---- Proposal ----

Proposal::Proposal(std::string key, const Epoch& epoch, std::uint32_t proposer,
                   std::uint64_t highestKnownRound, Change change, bool readFirst, RegisterState known,
                   RegisterState inherited)
    : key_(std::move(key)),
      epoch_(epoch.number),
      majority_(epoch.majority()),
      proposer_(proposer),
      highestRound_(std::max({highestKnownRound, inherited.promised.round, inherited.accepted.round})),
      change_(std::move(change)),
      step_(readFirst ? Step::read : Step::prepare),
      proposalNumber_{highestRound_ + 1, proposer},
      known_(std::move(known)),
      inherited_(std::move(inherited)),
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
    return step_ == Step::read ? handleReadReply(state) : handlePhaseReply(member, reply, state);
}

// A rejection counts neither for nor against the proposal, unless it shows that this epoch is sealed or
// replaced: then the proposal cannot succeed any more.
bool Proposal::handleRejection(const Reply& reply) {
    // An acceptor that is still in an earlier epoch has not received this one yet; it is treated as down.
    if (reply.epoch < epoch_ || (reply.epoch == epoch_ && !reply.sealed)) return false;
    enterStep(Step::lost);
    return true;
}

bool Proposal::handleReadReply(const RegisterState& state) {
    unanimous_ = unanimous_ && (!lastRead_ || lastRead_->accepted == state.accepted);
    lastRead_ = state;
    if (state.accepted > known_.accepted) known_ = state;  // the prepare need not transfer it again
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

bool Proposal::handlePhaseReply(std::uint32_t member, const Reply& reply, const RegisterState& state) {
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

Reconfiguration::Reconfiguration(Epoch from, Epoch to, std::uint32_t proposer, RegisterStates known)
    : from_(std::move(from)), to_(std::move(to)), proposer_(proposer), known_(std::move(known)) {}

std::vector<Request> Reconfiguration::requests() const {
    std::vector<Request> requests;
    Request request;
    request.successor = to_;
    if (step_ == Step::seal) {
        request.kind = Request::Kind::seal;
        request.epoch = from_.number;
        request.predecessor = from_;
        for (const auto& [key, state] : known_) request.knownNumbers[key] = state.accepted;
        requests.push_back(request);
    } else if (step_ == Step::transfer || step_ == Step::open) {
        request.kind = Request::Kind::install;
        request.epoch = to_.number;
        request.open = step_ == Step::open;
        if (!request.open) request.predecessor = from_;
        requests.push_back(request);
        if (step_ == Step::transfer)
            for (const auto& [_, proposal] : proposals_)
                if (proposal.step() != Proposal::Step::done) requests.push_back(proposal.request());
    }
    return requests;
}

bool Reconfiguration::handleReply(std::uint32_t member, Step answered, const std::string& key,
                                  Proposal::Step proposalStep, const Reply& reply) {
    if (answered != step_) return false;
    if (step_ == Step::seal) return handleSealReply(member, reply);
    if (step_ == Step::transfer) return handleTransferReply(member, key, proposalStep, reply);
    if (step_ != Step::open || !reply.accepted) return false;
    if (!acceptedBy_.insert(member).second || acceptedBy_.size() < to_.majority()) return false;
    step_ = Step::done;
    return true;
}

bool Reconfiguration::handleSealReply(std::uint32_t member, const Reply& reply) {
    if (!reply.accepted) {
        if (reply.epoch <= from_.number + 1) return false;
        step_ = Step::lost;  // a later epoch is already in force
        return true;
    }
    if (!acceptedBy_.insert(member).second) return false;
    mergeSealedStates(reply.states);
    if (acceptedBy_.size() < from_.majority()) return false;
    beginTransfer();
    return true;
}

void Reconfiguration::mergeSealedStates(const RegisterStates& states) {
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
        // Keys with a promise but no accepted value are transferred too: a value that a single disk accepted
        // in an old epoch must stay below every number of the new epoch, or it would reappear when that disk
        // becomes a member again.
        if (isSuccessorKey(key)) continue;
        proposals_.emplace(
            key, Proposal(key, to_, proposer_, state.promised.round, unchanged, false, state, state));
    }
    if (proposals_.empty()) step_ = Step::open;
}

bool Reconfiguration::handleTransferReply(std::uint32_t member, const std::string& key,
                                          Proposal::Step proposalStep, const Reply& reply) {
    const auto found = proposals_.find(key);
    if (found == proposals_.end() || !found->second.handleReply(member, proposalStep, reply)) return false;
    if (found->second.step() == Proposal::Step::lost) {
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
