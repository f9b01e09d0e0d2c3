#include "control_plane/proposer.hpp"

#include <algorithm>

#include "hashing/rendezvous.hpp"

namespace lichenlanding::control_plane {
namespace {

using namespace transport;
using consensus::Proposal;

constexpr Nanos kAttemptTimeout = 450 * kMillisecond;  // of one proposal, before a new one is made
constexpr int kMaxRereads = 3;                         // of a read that finds a pending proposal
constexpr Nanos kInitialBackoff = 30 * kMillisecond;   // upper bound of the first delay between proposals
constexpr Nanos kMaxBackoff = 250 * kMillisecond;
constexpr Nanos kMinBackoff = 2 * kMillisecond;
constexpr Nanos kUnreachableRetryDelay = 10 * kMillisecond;  // also slows down callers that retry at once
constexpr int kMaxUnreachableRetries = 10;  // just after an epoch opens, its members have not answered yet

const consensus::Change kUnchanged = [](const std::string& value) { return value; };

}  // namespace

std::uint32_t proposerNumber(const std::string& address) {
    return static_cast<std::uint32_t>(hashing::hash("member", address));
}

class Proposer::ProposalExchange final : public Exchange {
  public:
    ProposalExchange(asio::io_context& io, Proposal proposal_, consensus::Epoch epoch)
        : Exchange(io), proposal(std::move(proposal_)), epoch_(std::move(epoch)) {}
    const consensus::Epoch& targetEpoch() const override { return epoch_; }
    std::vector<StagedRequest> requests() const override {
        RequestStage stage;
        stage.step = static_cast<int>(proposal.step());
        return {{stage, proposal.request()}};
    }
    bool handleReply(std::uint32_t member, const RequestStage& stage,
                     const consensus::Reply& reply) override {
        return proposal.handleReply(member, static_cast<Proposal::Step>(stage.step), reply);
    }

    Proposal proposal;

  private:
    const consensus::Epoch epoch_;
};

// One proposal, from its first request to its result or timeout.
struct Proposer::Attempt {
    std::uint64_t id = 0;
    std::shared_ptr<ProposalExchange> exchange;
    Nanos deadline = 0;
    bool readOnly = false;      // stops instead of completing another replica's pending proposal
    bool foundPending = false;  // stopped for that reason
};

Proposer::Proposer(asio::io_context& io, RequestBroker& broker, PeerDirectory& peers, EpochTracker& epochs,
                   QuorumContactMonitor& contact, Learner& learner, std::string address)
    : io_(io),
      broker_(broker),
      peers_(peers),
      epochs_(epochs),
      contact_(contact),
      learner_(learner),
      address_(std::move(address)) {}

Task<std::optional<std::string>> Proposer::update(std::string key, consensus::Change change, Nanos timeout,
                                                  bool readFirst) {
    return propose(std::move(key), std::move(change), timeout, readFirst, 0);
}

Task<std::optional<std::string>> Proposer::read(std::string key, Nanos timeout) {
    return propose(std::move(key), kUnchanged, timeout, true, kMaxRereads);
}

Task<std::optional<std::string>> Proposer::propose(std::string key, consensus::Change change, Nanos timeout,
                                                   bool readFirst, int rereadsLeft) {
    const Nanos deadline = now() + timeout;
    std::mt19937 random(static_cast<unsigned>(now()) ^ proposerNumber(address_));
    Nanos backoff = kInitialBackoff;
    consensus::RegisterState highestSeen;  // by earlier attempts, so that acceptors need not send it again
    for (int unreachableRetries = 0; now() < deadline;) {
        if (!contact_.isReachable()) {
            co_await sleep(kUnreachableRetryDelay);
            if (!contact_.hasContact() || ++unreachableRetries > kMaxUnreachableRetries)
                co_return std::nullopt;
            continue;
        }
        const auto epoch = epochs_.openEpoch();
        auto& highestRound = highestRounds_[key];
        if (const auto known = learner_.asState(key); known.accepted >= highestSeen.accepted)
            highestSeen = known;
        Proposal proposal(key, epoch, proposerNumber(address_), highestRound, change, readFirst, highestSeen);
        Attempt attempt;
        attempt.exchange = std::make_shared<ProposalExchange>(io_, std::move(proposal), epoch);
        attempt.id = broker_.begin(attempt.exchange);
        const Nanos startedAt = now();
        attempt.deadline = std::min(deadline, startedAt + kAttemptTimeout);
        attempt.readOnly = readFirst && rereadsLeft > 0;
        co_await runAttempt(attempt);
        broker_.end(attempt.id);
        const auto& proposed = attempt.exchange->proposal;
        highestRound = std::max(highestRound, proposed.highestRound());
        highestSeen = proposed.highestSeen();
        if (proposed.step() == Proposal::Step::done) {
            noteInForce(key, proposed);
            co_return proposed.value();
        }
        if (attempt.foundPending) {
            --rereadsLeft;
        } else {
            readFirst = false;
            highestRound = std::max(highestRound, proposed.proposalNumber().round);
        }
        // Random, in proportion to the duration of the attempt, and growing: proposers that conflict once
        // would otherwise conflict for ever.
        const Nanos maxJitter = std::clamp(2 * (now() - startedAt), backoff, kMaxBackoff);
        const auto jitter = static_cast<Nanos>(random() % static_cast<std::uint64_t>(maxJitter));
        co_await sleep(kMinBackoff + jitter);
        backoff = std::min(2 * backoff, kMaxBackoff);
    }
    co_return std::nullopt;
}

Task<> Proposer::runAttempt(Attempt& attempt) {
    const auto& proposal = attempt.exchange->proposal;
    const auto epoch = attempt.exchange->targetEpoch().number;
    for (bool sent = false; now() < attempt.deadline && epochs_.openEpoch().number == epoch;) {
        const auto step = proposal.step();
        if (step == Proposal::Step::done || step == Proposal::Step::lost) break;
        attempt.foundPending = attempt.readOnly && step == Proposal::Step::prepare;
        if (attempt.foundPending) break;
        if (!sent) broker_.send(attempt.id);
        sent = true;
        if (co_await attempt.exchange->progress.wait(attempt.deadline)) sent = proposal.step() == step;
    }
}

void Proposer::noteInForce(const std::string& key, const Proposal& proposal) {
    if (consensus::isSuccessorKey(key)) return;
    const auto proposalNumber = proposal.proposalNumber();
    if (proposalNumber > learner_.known(key).proposalNumber)
        peers_.broadcast(PeerConnection::encode(encode(LearnMessage{key, proposalNumber})));
    learner_.learn(key, proposalNumber, proposal.value());
}

}  // namespace lichenlanding::control_plane
