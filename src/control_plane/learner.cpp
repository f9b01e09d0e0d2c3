#include "control_plane/learner.hpp"

#include <algorithm>

#include "control_plane/register_keys.hpp"

namespace lichenlanding::control_plane {
namespace {

using namespace transport;

// For so long a value that was accepted is left to its proposer, who tells when it is in force: a read before
// that would only get in its way.
constexpr Nanos kLeaveToProposer = 200 * kMillisecond;

}  // namespace

Learner::Learner(ReplicaStorage& storage, std::function<void(const std::string& key)> onLearned)
    : storage_(storage), onLearned_(std::move(onLearned)) {}

const KnownValue& Learner::known(const std::string& key) const {
    static const KnownValue kNone;
    const auto at = known_.find(key);
    return at == known_.end() ? kNone : at->second;
}

consensus::RegisterState Learner::asState(const std::string& key) const {
    const auto& known = this->known(key);
    return {known.proposalNumber, known.proposalNumber, known.value};
}

consensus::RegisterStates Learner::asStates() const {
    consensus::RegisterStates states;
    for (const auto& key : kKeys)
        if (known(key).proposalNumber.round > 0) states[key] = asState(key);
    return states;
}

void Learner::learn(const std::string& key, const consensus::ProposalNumber& proposalNumber,
                    const std::string& value) {
    auto& known = known_[key];
    if (proposalNumber <= known.proposalNumber) return;
    const bool isNewValue = value != known.value;
    known = {proposalNumber, value};
    if (const auto at = acceptedAt_.find(key);
        at != acceptedAt_.end() && storage_.acceptor().state(key).accepted <= proposalNumber)
        acceptedAt_.erase(at);
    retain(key);
    if (isNewValue) onLearned_(key);
}

void Learner::noteInForce(const std::string& key, const consensus::ProposalNumber& proposalNumber) {
    inForce_[key] = std::max(inForce_[key], proposalNumber);
    const auto& state = storage_.acceptor().state(key);
    if (proposalNumber.round > 0 && state.accepted == proposalNumber)
        learn(key, proposalNumber, std::string(state.value));
}

void Learner::noteHeldByPeer(const std::string& key, const consensus::ProposalNumber& proposalNumber) {
    auto& held = heldByPeers_[key];
    if (proposalNumber <= held.proposalNumber) return;
    // Since when there is something to catch up with.
    if (held.proposalNumber <= known(key).proposalNumber) held.since = now();
    held.proposalNumber = proposalNumber;
}

void Learner::noteSynced(const consensus::RegisterStates& states) {
    for (const auto& [key, state] : states) {
        if (state.accepted <= known(key).proposalNumber) continue;
        if (const auto at = inForce_.find(key); at != inForce_.end() && at->second == state.accepted)
            learn(key, state.accepted, state.value);
        else acceptedAt_[key] = now();
    }
}

void Learner::noteRead(const std::string& key) {
    const auto at = acceptedAt_.find(key);
    if (at != acceptedAt_.end() && now() - at->second > kLeaveToProposer) acceptedAt_.erase(at);
}

bool Learner::isBehind(const std::string& key) const {
    if (storage_.acceptor().epochState().successor) return false;  // sealed: no read could end
    const auto& proposalNumber = known(key).proposalNumber;
    const auto inForce = inForce_.find(key);
    if (inForce != inForce_.end() && inForce->second > proposalNumber) return true;
    const auto accepted = acceptedAt_.find(key);
    if (accepted != acceptedAt_.end() && now() - accepted->second > kLeaveToProposer) return true;
    const auto held = heldByPeers_.find(key);
    return held != heldByPeers_.end() && held->second.proposalNumber > proposalNumber &&
           now() - held->second.since > kLeaveToProposer;
}

void Learner::retain(const std::string& key) {
    const auto& known = this->known(key);
    const auto& acceptor = storage_.acceptor();
    if (!storage_.isOpen() || !storage_.isConfirmed() || known.proposalNumber.round == 0 ||
        acceptor.state(key).accepted >= known.proposalNumber)
        return;
    if (storage_.isQueueFull()) return;  // the disk hangs
    if (!acceptor.isVotingMember()) {
        if (statesToRetain(key)) storage_.submitRetained(key);
        return;
    }
    consensus::Request accept;
    accept.kind = consensus::Request::Kind::accept;
    accept.epoch = acceptor.epochState().epoch.number;
    accept.key = key;
    accept.proposalNumber = known.proposalNumber;
    accept.value = known.value;
    storage_.submit(std::move(accept));
}

std::optional<consensus::RegisterStates> Learner::statesToRetain(const std::string& key) const {
    const auto& acceptor = storage_.acceptor();
    auto state = asState(key);
    if (acceptor.isMember(acceptor.epochState().epoch) || acceptor.state(key).accepted >= state.accepted)
        return std::nullopt;
    state.promised = std::max(state.promised, acceptor.state(key).promised);
    return consensus::RegisterStates{{key, std::move(state)}};
}

}  // namespace lichenlanding::control_plane
