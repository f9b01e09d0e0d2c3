// The decisions of one sidecar: where each hit goes, and how it votes on the build on trial.
//
// How it is called: the host makes a Balance (balance.hpp), sets the clock with at(), then tells of each
// thing that happens by one call; the answers go out through the Door, in the same call. The concerns are in
// policy/, each on the one before: state, rules, votes, verdict, pooling, routing. The mechanism is that of
// docs/design.md; "exception" marks where the code departs from its ordinary path.
#include "policy/policy_engine.hpp"

#include "policy/routing.hpp"

namespace lichenlanding {

using namespace policy;

struct Balance::Parts : Routing {
    using Routing::Routing;
};

Balance::Balance(const Settings& settings, std::uint64_t seed, Door& door)
    : parts_(std::make_unique<Parts>(settings, seed, door)) {}
Balance::~Balance() = default;

void Balance::at(Nanos now) { parts_->now = now; }

void Balance::listed(bool whole, std::span<const Listing> lines) { parts_->listed(whole, lines); }

void Balance::listFailed() {
    if (parts_->askForList) parts_->door.listen();
}

void Balance::hit(Hit& hit) {
    parts_->run({hit}, {&Parts::take, &Parts::admit, &Parts::choose, &Parts::send});
}

void Balance::head(Forward& forward) { forward.hit->deadline = std::numeric_limits<Nanos>::max(); }

void Balance::outcome(Forward& forward, Outcome outcome, Nanos took, bool closed) {
    Parts::Passage passage{*forward.hit, forward.pod, &forward, outcome, took, closed};
    parts_->run(passage, {&Parts::settle, &Parts::learn, &Parts::answer});
}

void Balance::report(Pod& pod, double holds) {
    pod.holds = holds, pod.heldAt = parts_->now;
    auto& scouted = parts_->scouted;
    if (!parts_->probesTell || std::find(scouted.begin(), scouted.end(), &pod) != scouted.end()) return;
    if (scouted.size() >= scoutedAtMost) scouted.erase(scouted.begin());
    scouted.push_back(&pod);
}

void Balance::hangup(Hit& hit) { hit.ended = true; }

void Balance::flagged(Pod& pod, Nanos age, const PathGroup& group) {
    auto& trial = parts_->trial;
    if (!pod.build || parts_->now - age < pod.started || pod.build->number > trial.build) return;
    const bool isNew = pod.build->number == trial.build;
    auto& tally = trial.own[static_cast<std::size_t>(group.index)][isNew ? 0 : 1];
    ++tally.flagged, ++tally.bins[lastBin];
    parts_->urge(isNew);
}

void Balance::heard(int peer, const std::string& bytes) {
    auto& parts = *parts_;
    const auto message = decode(bytes);
    if (!message || peer >= parts.balancers || peer == parts.me) return;
    if (static_cast<int>(message->build) != parts.trial.build) return;
    if (message->kind == Message::Kind::pods || message->kind == Message::Kind::view)
        return parts.absorbPods(peer, *message);
    if (message->kind == Message::Kind::counts) {
        if (!parts.isVoter()) return;
        parts.absorb(peer, *message);
        if (parts.now - parts.trial.judged >= judgeAtMost) parts.judge();
        return;
    }
    auto& heard = parts.trial.verdicts[static_cast<std::size_t>(peer)];
    if (heard.epoch == message->epoch && message->seq <= heard.seq) return;
    heard = {static_cast<Verdict>(message->verdict), message->epoch, message->seq};
    parts.castVote();
}

void Balance::news(int build, int stage, Standing standing, bool answer, Outcome answered, double cap,
                   Nanos age) {
    auto& parts = *parts_;
    if (answer) parts.cast.next = parts.now;
    if (answer && answered != Outcome::delivered) {  // it may not count: cast again, spaced out over the rate
        parts.cast.verdict = Verdict::none, parts.cast.build = -1;
        const bool full = answered == Outcome::saturated;
        const auto gap = full ? std::min(second << parts.cast.refused, parts.rateGap) : tickEvery;
        if (full) parts.cast.refused = std::min(parts.cast.refused + 1, 8);
        parts.cast.next += gap / 2 + static_cast<Nanos>(parts.chance() % 1000) * gap / 1000;
        return;
    }
    if (answer) parts.cast.refused = 0;
    if (build < parts.told.build) return;
    if (build == parts.told.build && cap < parts.told.cap) {  // counting restarts under a lower cap
        auto& allowed = parts.buildOf(build)->allowance;
        std::fill(allowed.begin(), allowed.end(), 0.0);
    }
    const bool moved = build != parts.told.build || stage != parts.told.stage;
    parts.told = {build, stage, standing, cap, moved ? parts.now - age : parts.told.since};
    if (standing == Standing::goingBack || standing == Standing::withdrawn) parts.answeredBy.clear();
    parts.listed(false, {});
    parts.castVote();
}

void Balance::attested(int build, Attestation attestation) {
    auto& parts = *parts_;
    parts.buildOf(build)->attestation = attestation;
    parts.castVote();
}

void Balance::woke() {
    auto& parts = *parts_;
    if (parts.nextTick < 0) {  // the first call
        parts.born = parts.now;
        if (parts.askForList) parts.door.listen();
        parts.nextPool = parts.now + static_cast<Nanos>(parts.chance() % 1000) * (poolEvery / 1000);
    }
    if (parts.now >= parts.nextPool) {
        parts.nextPool = parts.now + poolEvery;
        parts.pool();
    }
    parts.measure();
    const bool undecided = parts.trial.verdict == Verdict::none && parts.trial.counted >= 0;
    if (undecided && parts.isVoter() && parts.now - parts.trial.judged >= judgeAtMost) parts.judge();
    parts.castVote();
    parts.renewTick();
}

}  // namespace lichenlanding
