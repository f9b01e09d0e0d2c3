#include "control_plane/reconfiguration_driver.hpp"

#include <algorithm>

#include "membership/codec.hpp"
#include "transport/log.hpp"

namespace lichenlanding::control_plane {
namespace {

using namespace transport;
using consensus::Reconfiguration;

// Interval of planning while no change is pending. Planning is the most expensive part of a check.
constexpr Nanos kPlanInterval = 150 * kMillisecond;
// Founding waits this long for enough machines to survive all losses in the settings; then fewer will do.
constexpr Nanos kFoundingWait = 2000 * kMillisecond;
constexpr Nanos kDeferral = 400 * kMillisecond;  // to the preferred proposer
constexpr std::uint64_t kJitterMilliseconds = 200;
constexpr Nanos kChangeTimeout = 1500 * kMillisecond;
constexpr Nanos kResendInterval = 150 * kMillisecond;
constexpr Nanos kStepDownRetryDelay = 50 * kMillisecond;

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
        !contact_.hasContact() || epochs_.reconfiguration() || dueSince_ > 0 || acceptedSince_ > 0;
    if (running_ || (!pending && now() - checkedAt_ < kPlanInterval)) return;
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
    const auto& openEpoch = epochs_.openEpoch();
    const auto& acceptor = storage_.acceptor();
    const bool outOfContact = epochs_.isFounded() && !contact_.hasContact();
    if (!contact_.isReachable() || !acceptor.isMember(openEpoch) || outOfContact) co_return;
    if (acceptor.state(consensus::successorKey(openEpoch)).accepted.round > 0) {
        co_await resumeAccepted(jitter);
        co_return;
    }
    acceptedSince_ = 0;
    co_await proposeIfDue();
}

// Completes a change that is decided but not known to be open; its proposer may have failed.
Task<> ReconfigurationDriver::resumeDecided(Nanos jitter) {
    if (now() - epochs_.reconfigurationSince() < kDeferral / 2 + jitter) co_return;
    const auto [from, to] = *epochs_.reconfiguration();
    // A seal is irreversible, so it must wait until a majority of the new members is present.
    if (!storage_.acceptor().epochState().successor && !contact_.isMajorityPresent(to)) co_return;
    running_ = true;
    const bool done = co_await execute(from, to);
    if (!done) epochs_.restartSuccessorDelay();
    running_ = false;
}

// Completes the proposal of a next epoch that this disk has accepted. It may have been decided, and would
// otherwise take effect at an arbitrary later time.
Task<> ReconfigurationDriver::resumeAccepted(Nanos jitter) {
    if (acceptedSince_ == 0) acceptedSince_ = now();
    if (now() - acceptedSince_ < kDeferral + jitter) co_return;
    acceptedSince_ = 0;
    const auto& accepted = storage_.acceptor().state(consensus::successorKey(epochs_.openEpoch()));
    auto members = membership::decodeEpoch(Json::parse(accepted.value)).members;
    co_await proposeEpoch(std::move(members));
}

Task<> ReconfigurationDriver::proposeIfDue() {
    auto target = planner_.planned(false);
    const bool founded = epochs_.isFounded();
    if (target.empty() || (founded && target == epochs_.openEpoch().members)) {
        dueSince_ = 0;
        co_return;
    }
    if (dueSince_ == 0) dueSince_ = now();
    if (!founded && now() - startedAt_ < kFoundingWait && !planner_.unmetTolerance(target).empty()) co_return;
    const auto preferred = planner_.preferredProposer();
    if (!preferred.empty() && preferred != address_ && now() - dueSince_ < kDeferral) co_return;
    dueSince_ = 0;
    co_await proposeEpoch(std::move(target));
}

Task<bool> ReconfigurationDriver::proposeEpoch(std::vector<consensus::Member> members) {
    running_ = true;
    const auto from = epochs_.openEpoch();
    const consensus::Epoch proposed{from.number + 1, std::move(members)};
    Json names = Json::array();
    for (const auto& member : proposed.members) names.push_back(member.address);
    log("epoch_proposed", {{"epoch", proposed.number}, {"members", names}});
    const auto value = membership::encode(proposed).dump();
    const consensus::Change keepExisting = [value](const std::string& current) {
        return current.empty() ? value : current;
    };
    const auto key = consensus::successorKey(from);
    const auto decided = co_await proposer_.update(key, keepExisting, kChangeTimeout, false);
    bool done = false;
    if (decided && epochs_.openEpoch().number == from.number) {
        const auto to = membership::decodeEpoch(Json::parse(*decided));
        epochs_.noteDecided(from, to);
        if (contact_.isMajorityPresent(to)) done = co_await execute(from, to);
    }
    running_ = false;
    co_return done;
}

Task<bool> ReconfigurationDriver::execute(consensus::Epoch from, consensus::Epoch to) {
    Reconfiguration reconfiguration(from, to, proposerNumber(address_), learner_.asStates());
    const auto exchange = std::make_shared<ReconfigurationExchange>(io_, std::move(reconfiguration));
    const auto id = broker_.begin(exchange);
    using Step = Reconfiguration::Step;
    const auto currentStep = [&exchange] { return exchange->reconfiguration.step(); };
    const Nanos deadline = now() + kChangeTimeout;
    Nanos nextSendAt = 0;
    while (now() < deadline && epochs_.openEpoch().number < to.number && currentStep() != Step::done &&
           currentStep() != Step::lost) {
        if (now() >= nextSendAt) {
            broker_.send(id);
            nextSendAt = now() + kResendInterval;
        }
        if (co_await exchange->progress.wait(std::min(deadline, nextSendAt))) nextSendAt = 0;
    }
    broker_.end(id);
    const bool done = currentStep() == Step::done;
    if (done && epochs_.openEpoch().number < to.number) epochs_.adopt(to);
    if (epochs_.openEpoch().number == to.number)
        peers_.broadcast(PeerConnection::encode(encode(epochs_.notice())));
    co_return done;
}

bool ReconfigurationDriver::containsSelf(const std::vector<consensus::Member>& members) const {
    return std::any_of(members.begin(), members.end(),
                       [&](const auto& member) { return member.address == address_; });
}

Task<> ReconfigurationDriver::stepDown() {
    contact_.announceLeaving();
    if (!contact_.hasContact() || !storage_.acceptor().isMember(epochs_.openEpoch())) co_return;
    // Retries, because a spare may not have written the newest value yet.
    const Nanos deadline = now() + kChangeTimeout;
    while (now() < deadline && containsSelf(epochs_.openEpoch().members) && !planner_.spares().empty()) {
        auto target = planner_.planned(true);
        if (!running_ && !containsSelf(target)) co_await proposeEpoch(std::move(target));
        else co_await sleep(kStepDownRetryDelay);
    }
    if (containsSelf(epochs_.openEpoch().members))
        log("membership_kept", {{"step", "leave"}, {"members", epochs_.openEpoch().members.size()}});
}

void ReconfigurationDriver::reportUnmetTolerance() {
    std::string unmet;
    if (epochs_.isFounded())
        for (const auto& loss : planner_.unmetTolerance(epochs_.openEpoch().members))
            unmet += (unmet.empty() ? "" : ", ") + loss;
    if (unmet == unmetTolerance_) return;
    unmetTolerance_ = unmet;
    log(unmet.empty() ? "fault_tolerance_met" : "fault_tolerance_unmet",
        {{"epoch", epochs_.openEpoch().number},
         {"loss_of", unmet},
         {"members", epochs_.openEpoch().members.size()}});
}

}  // namespace lichenlanding::control_plane
