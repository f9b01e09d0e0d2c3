#include "control_plane/proposer.hpp"

#include <algorithm>

#include "hashing/rendezvous.hpp"

namespace lichenlanding::control_plane {
namespace {

using namespace transport;
using consensus::Proposal;

constexpr Nanos kAttemptWithin = 450 * kMillisecond;  // one proposal; then another one
constexpr int kRereads = 3;                           // of a read that meets a proposal under way
constexpr Nanos kFirstPause = 30 * kMillisecond;      // between two proposals, at most so long
constexpr Nanos kLongestPause = 250 * kMillisecond;
constexpr Nanos kLeastPause = 2 * kMillisecond;
constexpr Nanos kUnreachablePause = 10 * kMillisecond;  // who asks again and again is slowed down by no more
constexpr int kMaxUnreachable = 10;  // just after an epoch has opened its members have not answered yet

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

// One proposal from its first request to its end.
struct Proposer::Attempt {
    std::uint64_t id = 0;
    std::shared_ptr<ProposalExchange> exchange;
    Nanos until = 0;
    bool readOnly = false;      // ends where it would have to complete another's proposal
    bool foundPending = false;  // and has ended for that
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

Task<std::optional<std::string>> Proposer::update(std::string key, consensus::Change change, Nanos within,
                                                  bool readFirst) {
    return propose(std::move(key), std::move(change), within, readFirst, 0);
}

Task<std::optional<std::string>> Proposer::read(std::string key, Nanos within) {
    return propose(std::move(key), kUnchanged, within, true, kRereads);
}

Task<std::optional<std::string>> Proposer::propose(std::string key, consensus::Change change, Nanos within,
                                                   bool readFirst, int rereads) {
    const Nanos end = now() + within;
    std::mt19937 random(static_cast<unsigned>(now()) ^ proposerNumber(address_));
    Nanos pause = kFirstPause;
    consensus::RegisterState highestSeen;  // by the attempts before: need not be told again
    for (int unreachable = 0; now() < end;) {
        if (!contact_.isReachable()) {
            co_await sleep(kUnreachablePause);
            if (!contact_.hasContact() || ++unreachable > kMaxUnreachable) co_return std::nullopt;
            continue;
        }
        const auto epoch = epochs_.open();
        auto& highestRound = highestRounds_[key];
        if (const auto known = learner_.asState(key); known.accepted >= highestSeen.accepted)
            highestSeen = known;
        Proposal proposal(key, epoch, proposerNumber(address_), highestRound, change, readFirst, highestSeen);
        Attempt attempt;
        attempt.exchange = std::make_shared<ProposalExchange>(io_, std::move(proposal), epoch);
        attempt.id = broker_.begin(attempt.exchange);
        const Nanos began = now();
        attempt.until = std::min(end, began + kAttemptWithin);
        attempt.readOnly = readFirst && rereads > 0;
        co_await runAttempt(attempt);
        broker_.end(attempt.id);
        const auto& ended = attempt.exchange->proposal;
        highestRound = std::max(highestRound, ended.highestRound());
        highestSeen = ended.highestSeen();
        if (ended.step() == Proposal::Step::done) {
            noteInForce(key, ended);
            co_return ended.value();
        }
        if (attempt.foundPending) {
            --rereads;
        } else {
            readFirst = false;
            highestRound = std::max(highestRound, ended.proposalNumber().round);
        }
        // As long as the way takes, at random, and longer each time: else those that meet once meet for ever.
        const Nanos most = std::clamp(2 * (now() - began), pause, kLongestPause);
        const auto extra = static_cast<Nanos>(random() % static_cast<std::uint64_t>(most));
        co_await sleep(kLeastPause + extra);
        pause = std::min(2 * pause, kLongestPause);
    }
    co_return std::nullopt;
}

Task<> Proposer::runAttempt(Attempt& attempt) {
    const auto& proposal = attempt.exchange->proposal;
    const auto epoch = attempt.exchange->targetEpoch().number;
    for (bool sent = false; now() < attempt.until && epochs_.open().number == epoch;) {
        const auto step = proposal.step();
        if (step == Proposal::Step::done || step == Proposal::Step::lost) break;
        attempt.foundPending = attempt.readOnly && step == Proposal::Step::prepare;
        if (attempt.foundPending) break;
        if (!sent) broker_.send(attempt.id);
        sent = true;
        if (co_await attempt.exchange->progress.wait(attempt.until)) sent = proposal.step() == step;
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
