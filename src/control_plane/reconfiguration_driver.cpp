#include "control_plane/reconfiguration_driver.hpp"

#include <algorithm>

#include "membership/codec.hpp"
#include "transport/log.hpp"

namespace lichenlanding::control_plane {
namespace {

using namespace transport;
using consensus::Reconfiguration;

// Between two looks at the members while nothing is pending: it costs most of a check in calm times.
constexpr Nanos kPlanEvery = 150 * kMillisecond;
// For enough machines to survive all that the settings name, before fewer of them found the register.
constexpr Nanos kFoundingPatience = 2000 * kMillisecond;
constexpr Nanos kDeferFor = 400 * kMillisecond;  // to the one whose turn it is to change the members
constexpr std::uint64_t kJitterMilliseconds = 200;
constexpr Nanos kChangeWithin = 1500 * kMillisecond;
constexpr Nanos kAskAgainEvery = 150 * kMillisecond;
constexpr Nanos kStepDownPause = 50 * kMillisecond;

}  // namespace

class ReconfigurationDriver::ReconfigurationExchange final : public Exchange {
  public:
    ReconfigurationExchange(asio::io_context& io, Reconfiguration reconfiguration_)
        : Exchange(io), reconfiguration(std::move(reconfiguration_)) {}
    const consensus::Epoch& targetEpoch() const override { return reconfiguration.targetEpoch(); }
    std::vector<StagedRequest> requests() const override {
        std::vector<StagedRequest> staged;
        const auto& proposals = reconfiguration.proposals();
        for (auto& request : reconfiguration.requests()) {
            const auto proposal = proposals.find(request.key);
            RequestStage stage;
            stage.step = static_cast<int>(reconfiguration.step());
            stage.key = request.key;
            if (proposal != proposals.end()) stage.proposalStep = static_cast<int>(proposal->second.step());
            staged.push_back({stage, std::move(request)});
        }
        return staged;
    }
    bool handleReply(std::uint32_t member, const RequestStage& stage,
                     const consensus::Reply& reply) override {
        if (!stage.key) return false;
        return reconfiguration.handleReply(member, static_cast<Reconfiguration::Step>(stage.step), *stage.key,
                                           static_cast<consensus::Proposal::Step>(stage.proposalStep), reply);
    }

    Reconfiguration reconfiguration;
};

ReconfigurationDriver::ReconfigurationDriver(asio::io_context& io, RequestBroker& broker, Proposer& proposer,
                                             PeerDirectory& peers, ReplicaStorage& storage,
                                             EpochTracker& epochs, QuorumContactMonitor& contact,
                                             Learner& learner, MembershipPlanner& planner,
                                             std::string address)
    : io_(io),
      broker_(broker),
      proposer_(proposer),
      peers_(peers),
      storage_(storage),
      epochs_(epochs),
      contact_(contact),
      learner_(learner),
      planner_(planner),
      address_(std::move(address)),
      startedAt_(now()) {}

void ReconfigurationDriver::check() {
    const bool pending =
        !contact_.hasContact() || epochs_.reconfiguration() || wantedSince_ > 0 || acceptedSince_ > 0;
    if (running_ || (!pending && now() - checkedAt_ < kPlanEvery)) return;
    checkedAt_ = now();
    spawn(io_, "members", step());
}

Nanos ReconfigurationDriver::drawJitter() const {
    std::mt19937 random(static_cast<unsigned>(now()) ^ proposerNumber(address_));
    return static_cast<Nanos>(random() % kJitterMilliseconds) * kMillisecond;
}

Task<> ReconfigurationDriver::step() {
    if (running_ || !storage_.isOpen() || !storage_.isConfirmed()) co_return;
    const auto jitter = drawJitter();
    if (epochs_.reconfiguration()) {
        co_await resumeDecided(jitter);
        co_return;
    }
    const auto& open = epochs_.open();
    const auto& acceptor = storage_.acceptor();
    const bool outOfContact = epochs_.isFounded() && !contact_.hasContact();
    if (!contact_.isReachable() || !acceptor.isMember(open) || outOfContact) co_return;
    if (acceptor.state(consensus::successorKey(open)).accepted.round > 0) {
        co_await resumeAccepted(jitter);
        co_return;
    }
    acceptedSince_ = 0;
    co_await proposeIfDue();
}

// Decided, and not known to be open: whoever began it may be gone.
Task<> ReconfigurationDriver::resumeDecided(Nanos jitter) {
    if (now() - epochs_.reconfigurationSince() < kDeferFor / 2 + jitter) co_return;
    const auto [from, to] = *epochs_.reconfiguration();
    // A seal can't be taken back: not before those who are to go on are there.
    if (!storage_.acceptor().epochState().successor && !contact_.isMajorityHeard(to)) co_return;
    running_ = true;
    const bool done = co_await carryOut(from, to);
    if (!done) epochs_.restartSuccessorDelay();
    running_ = false;
}

// This disk has accepted a next epoch and nobody completed it: it may be decided, and must not take effect by
// surprise later.
Task<> ReconfigurationDriver::resumeAccepted(Nanos jitter) {
    if (acceptedSince_ == 0) acceptedSince_ = now();
    if (now() - acceptedSince_ < kDeferFor + jitter) co_return;
    acceptedSince_ = 0;
    const auto& accepted = storage_.acceptor().state(consensus::successorKey(epochs_.open()));
    auto members = membership::decodeEpoch(Json::parse(accepted.value)).members;
    co_await proposeEpoch(std::move(members));
}

Task<> ReconfigurationDriver::proposeIfDue() {
    auto target = planner_.planned(false);
    const bool founded = epochs_.isFounded();
    if (target.empty() || (founded && target == epochs_.open().members)) {
        wantedSince_ = 0;
        co_return;
    }
    if (wantedSince_ == 0) wantedSince_ = now();
    if (!founded && now() - startedAt_ < kFoundingPatience && !planner_.unmetTolerance(target).empty())
        co_return;
    const auto turn = planner_.proposerInTurn();
    if (!turn.empty() && turn != address_ && now() - wantedSince_ < kDeferFor) co_return;
    wantedSince_ = 0;
    co_await proposeEpoch(std::move(target));
}

Task<bool> ReconfigurationDriver::proposeEpoch(std::vector<consensus::Member> members) {
    running_ = true;
    const auto from = epochs_.open();
    const consensus::Epoch proposed{from.number + 1, std::move(members)};
    Json names = Json::array();
    for (const auto& member : proposed.members) names.push_back(member.address);
    log("epoch_proposed", {{"epoch", proposed.number}, {"members", names}});
    const auto value = membership::encode(proposed).dump();
    const consensus::Change firstStays = [value](const std::string& held) {
        return held.empty() ? value : held;
    };
    const auto key = consensus::successorKey(from);
    const auto decided = co_await proposer_.update(key, firstStays, kChangeWithin, false);
    bool done = false;
    if (decided && epochs_.open().number == from.number) {
        const auto to = membership::decodeEpoch(Json::parse(*decided));
        epochs_.noteDecided(from, to);
        if (contact_.isMajorityHeard(to)) done = co_await carryOut(from, to);
    }
    running_ = false;
    co_return done;
}

Task<bool> ReconfigurationDriver::carryOut(consensus::Epoch from, consensus::Epoch to) {
    Reconfiguration reconfiguration(from, to, proposerNumber(address_), learner_.asStates());
    const auto exchange = std::make_shared<ReconfigurationExchange>(io_, std::move(reconfiguration));
    const auto id = broker_.begin(exchange);
    using Step = Reconfiguration::Step;
    const auto currentStep = [&exchange] { return exchange->reconfiguration.step(); };
    const Nanos end = now() + kChangeWithin;
    Nanos next = 0;
    while (now() < end && epochs_.open().number < to.number && currentStep() != Step::done &&
           currentStep() != Step::lost) {
        if (now() >= next) {
            broker_.send(id);
            next = now() + kAskAgainEvery;
        }
        if (co_await exchange->progress.wait(std::min(end, next))) next = 0;
    }
    broker_.end(id);
    const bool done = currentStep() == Step::done;
    if (done && epochs_.open().number < to.number) epochs_.adopt(to);
    if (epochs_.open().number == to.number)
        peers_.broadcast(PeerConnection::encode(encode(epochs_.notice())));
    co_return done;
}

bool ReconfigurationDriver::isOwnMember(const std::vector<consensus::Member>& members) const {
    return std::any_of(members.begin(), members.end(),
                       [&](const auto& member) { return member.address == address_; });
}

Task<> ReconfigurationDriver::stepDown() {
    contact_.announceLeaving();
    if (!contact_.hasContact() || !storage_.acceptor().isMember(epochs_.open())) co_return;
    // A spare may have the newest value still to write.
    const Nanos end = now() + kChangeWithin;
    while (now() < end && isOwnMember(epochs_.open().members) && !planner_.spares().empty()) {
        auto target = planner_.planned(true);
        if (!running_ && !isOwnMember(target)) co_await proposeEpoch(std::move(target));
        else co_await sleep(kStepDownPause);
    }
    if (isOwnMember(epochs_.open().members))
        log("membership_kept", {{"step", "leave"}, {"members", epochs_.open().members.size()}});
}

void ReconfigurationDriver::reportUnmetTolerance() {
    std::string unmet;
    if (epochs_.isFounded())
        for (const auto& loss : planner_.unmetTolerance(epochs_.open().members))
            unmet += (unmet.empty() ? "" : ", ") + loss;
    if (unmet == unmetTolerance_) return;
    unmetTolerance_ = unmet;
    log(unmet.empty() ? "fault_tolerance_met" : "fault_tolerance_unmet",
        {{"epoch", epochs_.open().number}, {"loss_of", unmet}, {"members", epochs_.open().members.size()}});
}

}  // namespace lichenlanding::control_plane
