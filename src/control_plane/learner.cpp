#include "control_plane/learner.hpp"

#include <algorithm>

#include "control_plane/register_keys.hpp"

namespace lichenlanding::control_plane {
namespace {

using namespace transport;

// How long an accepted value is left to its proposer, which reports when it is in force. An earlier read
// would only interfere with the proposal.
constexpr Nanos kProposerGracePeriod = 200 * kMillisecond;

}  // namespace

Learner::Learner(ReplicaStorage& storage, Nanos lagHorizon,
                 std::function<void(const std::string& key)> onLearned)
    : storage_(storage), lagHorizon_(lagHorizon), onLearned_(std::move(onLearned)) {}

const KnownValue& Learner::known(const std::string& key) const {
    static const KnownValue kNone;
    const auto it = known_.find(key);
    return it == known_.end() ? kNone : it->second;
}

Nanos Learner::lagOf(const std::string& key, const consensus::ProposalNumber& accepted) const {
    const auto it = lags_.find(key);
    return it == lags_.end() ? 0 : it->second.of(accepted, now());
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
    lags_.try_emplace(key, lagHorizon_).first->second.noteInForce(proposalNumber, now());
    if (const auto it = acceptedAt_.find(key);
        it != acceptedAt_.end() && storage_.acceptor().state(key).accepted <= proposalNumber)
        acceptedAt_.erase(it);
    retain(key);
    if (isNewValue) onLearned_(key);
}

void Learner::noteInForce(const std::string& key, const consensus::ProposalNumber& proposalNumber) {
    inForce_[key] = std::max(inForce_[key], proposalNumber);
    const auto& state = storage_.acceptor().state(key);
    if (proposalNumber.round > 0 && state.accepted == proposalNumber)
        learn(key, proposalNumber, std::string(state.value));
}

void Learner::noteAcceptedByPeer(const std::string& key, const consensus::ProposalNumber& proposalNumber) {
    auto& acceptance = acceptedByPeers_[key];
    if (proposalNumber <= acceptance.proposalNumber) return;
    // `since` is when this replica first fell behind.
    if (acceptance.proposalNumber <= known(key).proposalNumber) acceptance.since = now();
    acceptance.proposalNumber = proposalNumber;
}

void Learner::noteSynced(const consensus::RegisterStates& states) {
    for (const auto& [key, state] : states) {
        if (state.accepted <= known(key).proposalNumber) continue;
        if (const auto it = inForce_.find(key); it != inForce_.end() && it->second == state.accepted)
            learn(key, state.accepted, state.value);
        else acceptedAt_[key] = now();
    }
}

void Learner::noteRead(const std::string& key) {
    const auto it = acceptedAt_.find(key);
    if (it != acceptedAt_.end() && now() - it->second > kProposerGracePeriod) acceptedAt_.erase(it);
}

bool Learner::isBehind(const std::string& key) const {
    if (storage_.acceptor().epochState().successor) return false;  // sealed: a read cannot succeed
    const auto& proposalNumber = known(key).proposalNumber;
    const auto inForce = inForce_.find(key);
    if (inForce != inForce_.end() && inForce->second > proposalNumber) return true;
    const auto accepted = acceptedAt_.find(key);
    if (accepted != acceptedAt_.end() && now() - accepted->second > kProposerGracePeriod) return true;
    const auto acceptance = acceptedByPeers_.find(key);
    return acceptance != acceptedByPeers_.end() && acceptance->second.proposalNumber > proposalNumber &&
           now() - acceptance->second.since > kProposerGracePeriod;
}

void Learner::retain(const std::string& key) {
    const auto& known = this->known(key);
    const auto& acceptor = storage_.acceptor();
    if (!storage_.isOpen() || !storage_.isConfirmed() || known.proposalNumber.round == 0 ||
        acceptor.state(key).accepted >= known.proposalNumber)
        return;
    if (storage_.isQueueFull()) return;  // the disk is stalled
    if (!acceptor.isVotingMember()) {
        if (statesToRetain(key)) storage_.submitRetained(key, std::nullopt);
        return;
    }
    consensus::Request accept;
    accept.kind = consensus::Request::Kind::accept;
    accept.epoch = acceptor.epochState().epoch.number;
    accept.key = key;
    accept.proposalNumber = known.proposalNumber;
    accept.value = known.value;
    storage_.submitRetained(key, std::move(accept));
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
