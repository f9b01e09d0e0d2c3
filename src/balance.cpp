// The decisions of one sidecar: where each hit goes, and how it votes on the build on trial.
//
// How it is called: the host makes a Balance (interface: balance.hpp), sets the clock with at(), then tells
// of each thing that happens by one call; the answers go out through the Door, in the same call. Types that
// both share are in state.hpp, the bytes of peer messages in gossip.hpp. The order here: figures, the five
// rules, the chain a hit passes, the chain back, pods, and last the trial: counting, pooling, the test, the
// votes. The mechanism is that of docs/design.md; "exception" marks where the code departs from its ordinary
// path.
#include "balance.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>
#include <random>
#include <tuple>
#include <unordered_map>
#include <utility>

#include "gossip.hpp"
#include "limits/fleet.hpp"
#include "verdict/rank.hpp"

namespace lichenlanding {
namespace {

constexpr Nanos ms = 1'000'000, second = 1000 * ms;
constexpr Nanos tickEvery = 250 * ms;     // how often votes and timers are looked at
constexpr Nanos poolEvery = 2 * second;   // new counts go to the voters
constexpr Nanos judgeAtMost = 500 * ms;   // voters draw no more often than this
constexpr Nanos skipAtMost = 2 * second;  // after a pod's start nothing counts, nor while it is cold
constexpr Nanos undecidedFor = 1500 * ms;
constexpr int voterCount = 3;
constexpr int draws = 200;
constexpr double onBar = 0.4, aheadBar = 0.55, backBar = 0.38, sure = 0.95, certain = 0.99;
constexpr double leastOutcomes = 20;
constexpr std::uint32_t calmHalveAt = 60;  // in one bin, of the record of the time before a build
constexpr double besidePart = 0.5;  // of the new build's recent outcomes, that the earlier ones still have
constexpr double halveAt = 800;  // outcomes of a path group and side that a voter keeps before it halves them
// Exceptions' bars: shares by which the new build may be late, err or be flagged more often than the earlier.
constexpr double lateMargin = 0.1, errorMargin = 0.006, flagMargin = 0.004;
constexpr Nanos slowSpell = 2 * poolEvery, longSpell = 5 * poolEvery;  // by no other cause; by whatever cause
constexpr double demandRise = 1.4;  // first tries against the time before: a burst
constexpr int demandSeconds = 3;    // over which they are counted
constexpr double podsAmiss = 0.1;   // lost, or slower than the rest: the fleet is not what it was
constexpr double slowBar = 0.4, wreckedBar = 0.25, calmShare = 0.2;  // of all, against before the build

constexpr double openPart = 0.4;    // of the target latency: what open hits come to at the pace of deliveries
constexpr int paceTicks = 5;        // over which that pace fades
constexpr double openPerPod = 2.5;  // that all sidecars may have, whatever the pace
constexpr double fewOutcomes = 8;   // own ones of late by which a share must pass a bar
constexpr int furtherForwards = 2;
constexpr Nanos quietPart = 2;      // of the shortest target latency: a pod that owes answers so long is mute
constexpr double coldPart = 0.7;    // of the multiple at which a cold pod falls over
constexpr double slowest = 2;       // what a failure counts as, in target latencies; no answer counts more
constexpr double viewWeighs = 4;    // own outcomes at a pod that weigh as much as the voters' word on it
constexpr double slowPart = 1.3;    // of the mean slowness; pods up to it get their full part
constexpr double leastSlow = 0.05;  // of the target latency: what is quicker is quick enough
constexpr double noteParts = 64;    // in which slowness is told
constexpr Nanos reportLife = second;  // of a pod's own word on what it holds
constexpr int probesPerHit = 2;
constexpr double blindPart = 8;  // own open hits at less than one in so many pods tell nothing
constexpr std::size_t scoutedAtMost = 4;
constexpr double leastPart = 0.15;  // a pod worth less of a sound one's part is left out
constexpr int lastBin = latencyBins - 1;

using verdict::Bins, verdict::inTwo, verdict::rankTest;

}  // namespace

struct Balance::Parts {
    enum class Next { pass, keep, end };

    // What travels along the chain: the hit, the pod chosen for it, and on the way back the forward's end.
    struct Passage {
        Hit& hit;
        Pod* pod = nullptr;
        Forward* forward = nullptr;
        Outcome outcome = Outcome::delivered;
        Nanos took = 0;
        bool closed = false;
    };

    // What a voter last took from a sender, so that lost, repeated and late messages do no harm.
    struct Sender {
        std::uint32_t epoch = 0, before = 0;
        std::vector<std::uint32_t> seq;
        std::pair<std::uint32_t, std::uint32_t> pods;  // epoch and seq of the last word on pods
        std::vector<Tallies> last;
    };

    struct Side {
        Bins bins = Bins(latencyBins, 0);
        double errored = 0, flagged = 0;
        double recent = 0;  // outcomes of late, halved at each pooling

        double all() const { return std::accumulate(bins.begin(), bins.end(), 0.0); }
        void add(const Side& other, double part) {
            for (int bin = 0; bin < latencyBins; ++bin) bins[bin] += other.bins[bin] * part;
            errored += other.errored * part, flagged += other.flagged * part;
            recent += other.recent;
        }
    };

    struct Heard {
        Verdict verdict = Verdict::none;
        std::uint32_t epoch = 0, seq = 0;
    };

    // The newest build and what is known of it.
    struct Trial {
        int build = -1;
        std::vector<Tallies> own;  // counted here, since the build was first seen
        Nanos counted = -1;        // when its first outcome was counted here or came from a sender
        std::vector<int> voters;
        std::vector<Sender> senders;            // by peer; used by voters
        std::vector<std::array<Side, 3>> sums;  // by path group: new, earlier, before
        std::vector<Side> lately;               // by path group: all builds, halved at each pooling
        std::vector<Heard> verdicts;            // by peer
        Verdict verdict = Verdict::none;        // as voter
        Nanos slowSince = -1, heldSince = -1;   // all pods slower than before, by no known cause
        double demandBefore = 0;
        bool slowAnyway = false;  // and that is not the build's doing
        Nanos judged = std::numeric_limits<Nanos>::min() / 4, urged = judged;
    };

    struct News {
        int build = -1, stage = 0;
        Standing standing = Standing::released;
        double cap = 1;
        Nanos since = 0;
    };

    struct Cast {
        Verdict verdict = Verdict::none;
        int build = -1, stage = -1;
        Nanos when = 0, next = 0;                // last cast; no vote goes out before
        std::tuple<Verdict, int, int> queued{};  // verdict, build and stage that the place below is for
        Nanos turn = 0;                          // when this sidecar's place in the fleet's queue comes
        int refused = 0;                         // in a row
    };

    // figures
    Door& door;
    std::mt19937 chance;
    int me, balancers, forwardsAtMost, closedStages, lastStage;
    bool mayTell, probesTell, askForList, perGroup, oneWay, clocked, attestationNeeded;
    double free, firstCap, coldFrom, coldExcess, votesPerSecond;
    Nanos coldTime, silentAfter, settleFor, queueFor, skipFirst, countAfter, renewAfter, answerWait, rateGap,
        advice;
    Nanos window, born = -1;
    std::vector<std::array<Nanos, lastBin>> edges;  // of the latency bins, by path group
    std::vector<int> everyone;

    // state
    Nanos now = 0, nextPool = 0, nextTick = -1;
    std::uint32_t epoch, seq = 0;
    std::unordered_map<int, std::unique_ptr<Build>> builds;  // looked up, never walked through
    std::vector<Build*> present;                             // builds on trial now
    std::vector<Pod*> scouted;  // whose reports came lately, where probes alone bring them
    std::vector<Pod*> pods;     // as listed, without those gone
    std::vector<Pod*> near;     // of those, the few this sidecar prefers (limits/fleet.hpp)
    limits::Bucket probes{0, 2};
    std::unordered_map<std::string, int> answeredBy;  // one-way keys: the build that answered
    Use met;                                          // own outcomes of late over all pods
    double typicalWork = 0, done = 0, doneRate = 0;  // work delivered: this second, and a second per warm pod
    int secondsSeen = 0, ticks = 0, lostPods = 0;
    double pace = 0;  // deliveries in time, each as its part of the target latency, fading
    Nanos nextSecond = 0;
    std::array<double, 2> recent{};  // own outcomes lately: in time, late or turned away
    double arrived = 0, demand = 0;  // first tries: this second, and a second of late
    News told;
    Trial trial;
    std::vector<Tallies> calm;  // the last place: outcomes since start, halved from time to time
    Cast cast;

    Parts(const Settings& told, std::uint64_t seed, Door& door_) : door(door_) {
        std::seed_seq mix{static_cast<std::uint32_t>(seed), static_cast<std::uint32_t>(seed >> 32)};
        chance.seed(mix);
        epoch = static_cast<std::uint32_t>(chance()) | 1u;
        me = told.index;
        balancers = std::max(told.balancers, 1);
        for (int peer = 0; peer < balancers; ++peer) everyone.push_back(peer);
        forwardsAtMost = std::min(told.maxForwards, 1 + furtherForwards);
        closedStages = told.closedStages;
        lastStage = static_cast<int>(told.caps.size()) - 1;
        mayTell = told.mayTell, probesTell = told.probesTell, askForList = told.askForList;
        perGroup = told.perGroup, oneWay = told.oneWay;
        clocked = told.control == Control::clocked;
        attestationNeeded = told.attestationNeeded;
        free = told.freeForwards;
        window = told.exposureWindow;
        firstCap = told.caps.empty() ? 0 : told.caps.front();
        coldFrom = told.coldFrom, coldTime = told.coldTime;
        coldExcess = std::max(1.0, told.fallMultiple * coldPart);
        skipFirst = std::min(skipAtMost, coldTime), countAfter = std::max(skipFirst, coldTime * 3 / 4);
        votesPerSecond = told.votesPerSecond, answerWait = told.answerWait;
        rateGap = static_cast<Nanos>(1.0 * balancers * second / votesPerSecond);
        // Halfway through a vote's life, or later where all renewals would take more calls than there are.
        renewAfter = std::max(told.voteLife / 2, std::min(rateGap, told.voteLife - 2 * answerWait));
        advice = told.adviseRetry ? told.maxRetryAfter : 0;
        silentAfter = second;
        calm.resize(told.groups.size());
        settleFor = coldTime + poolEvery;
        queueFor = static_cast<Nanos>(std::max(told.onVotes - votesPerSecond, 0.0) / votesPerSecond * second);
        for (const auto& group : told.groups) {
            silentAfter = std::min(silentAfter, group.target / quietPart);
            double edge = static_cast<double>(group.target);  // then in steps of a square root of two
            auto& made = edges.emplace_back();
            for (int bin = lastBin; bin-- > 0; edge /= std::sqrt(2.0)) made[bin] = static_cast<Nanos>(edge);
        }
    }

    // ---- The five rules. send() is the one place that every forward passes, and it asks lawful(). ----

    bool onTrial(const Build& build) const {
        return build.number > told.build ||
               (build.number == told.build && told.standing != Standing::released);
    }

    bool vouchedFor(const Build& build) const {
        return !attestationNeeded || build.attestation == Attestation::valid;
    }

    // A build that the news does not name yet counts as in the first stage, and so does one that no valid
    // metadata vouch for, whatever stage it was brought to.
    double cap(const Build& build) const {
        if (build.number != told.build) return firstCap;
        return vouchedFor(build) ? told.cap : std::min(told.cap, firstCap);
    }

    double& allowance(Build& build, const PathGroup& group) const {
        return build.allowance[perGroup ? static_cast<std::size_t>(group.index) : 0];
    }

    // No effect twice: what may have run goes again only where its path group drops or stands repeats.
    bool effectOnce(const Hit& hit, const Pod& pod) const {
        for (const auto& earlier : hit.forwards) {
            if (earlier.out) return false;  // never two at once
            if (!earlier.mayHaveRun || hit.group->effect == Effect::repeatable) continue;
            if (hit.group->effect == Effect::mutating || now >= earlier.sent + hit.group->window)
                return false;
            if (hit.group->reach == Reach::zone && pod.zone != earlier.zone) return false;
            if (hit.group->reach == Reach::cell && pod.cell != earlier.cell) return false;
        }
        return true;
    }

    static bool drainKept(const Pod& pod) { return pod.availability == Availability::up; }
    bool cold(const Pod& pod) const { return now - pod.started < coldTime; }

    // A bounce promises that trying again is harmless.
    bool mayBounce(const Hit& hit) const {
        if (hit.group->effect == Effect::repeatable) return true;
        if (hit.group->effect == Effect::tagged && hit.group->reach == Reach::all) return true;
        return std::none_of(hit.forwards.begin(), hit.forwards.end(),
                            [](auto& sent) { return sent.mayHaveRun; });
    }

    // The least that a pod of this age can do, as a share of a warm one.
    double warmth(const Pod& pod) const {
        if (!cold(pod)) return 1;
        return coldFrom + (1 - coldFrom) * std::max<Nanos>(now - pod.started, 0) / coldTime;
    }

    double weight(const Hit& hit) const {
        return hit.work > 0 ? static_cast<double>(hit.work) : typicalWork > 0 ? typicalWork : 1.0;
    }

    // A cold pod may get its part of what this sidecar has lately had delivered by a warm pod, times less
    // than the multiple that the rule allows, and no burst: what each keeps to of its own, all keep to of the
    // whole. Work sent would grow with the jam. A quiet sidecar's part is less than a hit: each starts up to
    // one in debt, by chance, so that hundreds of them add up to their part.
    double coldRoom(Pod& pod) {
        const auto since = std::max(pod.coldMark, pod.started);
        pod.coldSpent += doneRate * warmth(pod) * coldExcess * std::max<Nanos>(now - since, 0) / second;
        pod.coldMark = now;
        return pod.coldSpent = std::min(pod.coldSpent, 0.0);
    }

    // Exposure: each hit taken adds the cap to an allowance no deeper than the free number, each forward
    // takes one, so that over any span forwards stay under the free number plus the cap's share of the hits
    // taken.
    bool exposureKept(const Hit& hit, const Pod& pod) const {
        if (!onTrial(*pod.build)) return true;
        const auto share = cap(*pod.build);
        const auto stage = pod.build->number == told.build ? told.stage : 0;
        if (share <= 0 || (stage < closedStages && hit.group->effect != Effect::repeatable)) return false;
        return allowance(*pod.build, *hit.group) >= 1;
    }

    bool lawful(const Hit& hit, Pod& pod) {
        if (hit.ended || now >= hit.deadline) return false;  // every hit one answer, and nothing after it
        if (!drainKept(pod) || !effectOnce(hit, pod) || !exposureKept(hit, pod)) return false;
        if (oneWay && !hit.key.empty() && told.standing != Standing::goingBack &&
            told.standing != Standing::withdrawn)
            if (const auto found = answeredBy.find(hit.key); found != answeredBy.end())
                if (pod.build->number < found->second) return false;
        return !cold(pod) || coldRoom(pod) >= 0;
    }

    // ---- The chain out: take, admit, choose, send. ----

    void run(Passage passage, std::initializer_list<Next (Parts::*)(Passage&)> chain) {
        for (auto stage : chain)
            if ((this->*stage)(passage) != Next::pass) return;
    }

    Next take(Passage& passage) {
        if (!passage.hit.repeated) ++arrived;
        for (auto* build : present) {
            auto& allowed = allowance(*build, *passage.hit.group);
            allowed = std::min(free, allowed + cap(*build));
        }
        if (passage.hit.work > 0)
            typicalWork += (static_cast<double>(passage.hit.work) - typicalWork) / (typicalWork > 0 ? 64 : 1);
        return Next::pass;
    }

    // What the pace of answers in time clears within a part of the target latency.
    double paceRoom() const { return pace / static_cast<double>(paceTicks * tickEvery); }

    // A quiet sidecar's pace is a figure of chance: it binds only once hits come late.
    bool inTime() const { return recent[1] * 8 <= recent[0] + fewOutcomes; }

    int openNow() const {
        int open = 0;
        for (auto* pod : pods) open += pod->out;
        return open;
    }

    // Guards against a jam that feeds itself (a burst, dead pods, a slow build, clients that come again): no
    // more hits are open than the pace of answers in time can clear within a part of the target latency. Hits
    // that hang at pods left out are no sign of a jam and do not count. Harm: a pace that falls for another
    // cause bounces hits for up to a second.
    Next admit(Passage& passage) {
        double open = 0, usable = 0;
        for (auto* pod : pods)
            if (pod->availability == Availability::up && wanted(*pod)) open += pod->out, ++usable;
        // No pace is known yet, or hits come in time, or the sidecars' floors add up to some hits a pod. A
        // part of a hit is let in by chance, so that hundreds of sidecars' parts add up too.
        const double floor = ticks < paceTicks ? 2 + 2 * usable : inTime() ? 2 + usable / 2 : 0;
        const double least = std::max(floor, openPerPod * usable / balancers);
        if (open + 1 <= std::max(paceRoom(), least) + static_cast<double>(chance() % 1000) / 1000)
            return Next::pass;
        // To rank now against the time before a build, a hit kept out is as good as late: else the limit
        // would hide that a build slows all pods.
        const auto group = static_cast<std::size_t>(passage.hit.group->index);
        if (trial.build >= 0) ++trial.own[group][1].unranked;
        ++calm[group].back().bins[lastBin];
        return giveUp(passage.hit, true);
    }

    // A pod that owes answers and has given none for a while (stalled, cut off, lost) is left out until it
    // speaks, one that turned a hit away rests for a moment, and one that fails or is very slow is left out
    // until that is forgotten.
    bool wanted(const Pod& pod) const {
        return now >= pod.fullUntil && (pod.out == 0 || now - pod.heard <= silentAfter) &&
               fit(pod) >= leastPart;
    }

    // What a pod may be given of a sound, warm one's hits. Guards against pods that fail, stall or are slow
    // where own outcomes are too few to tell: those of all sidecars are pooled at the voters, as the build's
    // are, and own ones outweigh their word, since a pod may be bad for some sidecars alone. Harm: a pod that
    // is well again gets less for two poolings.
    double word(const Pod& pod) const { return now - pod.viewedAt < 2 * poolEvery ? pod.viewed : 1; }
    double fit(const Pod& pod) const {
        const double usual = std::max(met.tries > 0 ? met.slowness / met.tries : 1, leastSlow);
        const double slow =
            (pod.lately.slowness / usual + word(pod) * viewWeighs) / (pod.lately.tries + viewWeighs);
        return slow > slowPart ? std::pow(slowPart / slow, 2) : 1;
    }
    double part(const Pod& pod) const { return warmth(pod) * fit(pod); }

    // By own load; a tie, as most of a quiet sidecar's are, goes by the pods' reports while they are fresh.
    bool lighter(const Pod& one, const Pod& other) const {
        const double a = one.out / part(one), b = other.out / part(other);
        if (a != b || now - std::min(one.heldAt, other.heldAt) > reportLife) return a < b;
        return (one.holds + 1) / part(one) < (other.holds + 1) / part(other);
    }

    Next choose(Passage& passage) {
        auto& hit = passage.hit;
        const bool further = !hit.forwards.empty();
        // Preference falls in steps: a healthy pod, then any; further forwards first go to an earlier build.
        std::vector<Pod*> best;
        int bestRank = 8;
        for (auto* pod : pods) {
            int rank = wanted(*pod) ? 0 : 1;
            if (further && pod == hit.forwards.back().pod) rank += 2;
            if (further && onTrial(*pod->build)) rank += 4;
            if (rank > bestRank || !lawful(hit, *pod)) continue;
            if (rank < bestRank) best.clear();
            bestRank = rank;
            best.push_back(pod);
        }
        // Away from the build on trial, unless no pod of an earlier build is left at all.
        if (bestRank >= 4)
            for (auto* pod : pods)
                if (pod->availability == Availability::up && !onTrial(*pod->build)) best.clear();
        if (best.empty()) return giveUp(hit);
        // Within the pods this sidecar prefers, while two of them are among the best: fewer connections.
        std::vector<Pod*> preferred;
        for (auto* pod : best)
            if (std::find(near.begin(), near.end(), pod) != near.end()) preferred.push_back(pod);
        if (preferred.size() > 1) best = preferred;
        // Two choices, each drawn by what the pod can do; a quiet sidecar's own load is mostly none and
        // decides nothing.
        const auto draw = [&] {
            auto* pod = best[chance() % best.size()];
            for (int turn = 0; turn < 8 && chance() % 1000 >= 1000 * part(*pod); ++turn)
                pod = best[chance() % best.size()];
            return pod;
        };
        // Where reports come to probes alone and own load is none at most pods, the two are drawn from the
        // pods probed for the hits before.
        std::erase_if(scouted, [&](auto* pod) { return now - pod->heldAt > reportLife; });
        std::vector<Pod*> known;
        for (auto* pod : scouted)
            if (std::find(best.begin(), best.end(), pod) != best.end()) known.push_back(pod);
        const bool blind = probesTell && openNow() * blindPart < static_cast<double>(pods.size());
        if (blind && known.size() > 1) best = known;
        passage.pod = draw();
        if (auto* other = draw(); lighter(*other, *passage.pod)) passage.pod = other;
        std::erase(scouted, passage.pod);
        if (blind)  // within what the fleet's pods take, at the pods this sidecar prefers
            for (int probe = 0; probe < probesPerHit && probes.take(now); ++probe)
                door.probe(*near[chance() % near.size()]);
        return Next::pass;
    }

    Next send(Passage& passage) {
        auto& hit = passage.hit;
        auto& pod = *passage.pod;
        if (!lawful(hit, pod)) return giveUp(hit);
        if (cold(pod)) pod.coldSpent -= weight(hit);
        if (onTrial(*pod.build)) allowance(*pod.build, *hit.group) -= 1;
        if (pod.out++ == 0) pod.heard = now;
        hit.forwards.push_back({&hit, &pod, pod.build, pod.zone, pod.cell, now, true, true, false});
        door.forward(hit.forwards.back(), hit.deadline - now);
        return Next::keep;
    }

    // One final answer, at once: a bounce where it may be promised, else an error.
    Next giveUp(Hit& hit, bool full = false) {
        hit.ended = true;
        if (now < hit.deadline && mayBounce(hit)) door.bounce(hit, full || overloaded() ? advice : 0);
        else door.error(hit);
        return Next::end;
    }

    // ---- The chain back: settle, learn, answer. ----

    Next settle(Passage& passage) {
        auto& forward = *passage.forward;
        forward.out = false;
        --forward.pod->out;
        forward.pod->heard = now;
        forward.mayHaveRun = passage.outcome != Outcome::saturated && passage.outcome != Outcome::unreached &&
                             passage.outcome != Outcome::superseded;
        if (passage.closed) passage.hit.ended = true;
        return Next::pass;
    }

    Next learn(Passage& passage) {
        auto& forward = *passage.forward;
        auto& pod = *forward.pod;
        const auto outcome = passage.outcome;
        if (outcome == Outcome::superseded || outcome == Outcome::recalled) return Next::pass;
        // A full pod answers at once and so looks idle by own load: it would draw all hits. It rests for a
        // moment.
        if (outcome == Outcome::saturated) pod.fullUntil = now + silentAfter;
        count(forward, outcome, passage.took);
        const bool well = outcome == Outcome::delivered;
        const double ratio =
            static_cast<double>(passage.took) / static_cast<double>(passage.hit.group->target);
        const Use use{1, well ? std::min(ratio, slowest) : slowest};
        met += use;
        if (!cold(pod)) pod.lately += use, pod.unsent += use;  // a cold one is slow by right
        if (well) {
            done += weight(passage.hit);
            const auto target = passage.hit.group->target;
            if (passage.took <= target) pace += static_cast<double>(target) * openPart;
        }
        const bool late = outcome == Outcome::saturated || outcome == Outcome::overdue ||
                          (well && passage.took > passage.hit.group->target);
        if (fit(pod) >= leastPart && (well || late))
            if (++recent[late ? 1 : 0] + recent[late ? 0 : 1] >= 64)
                for (auto& some : recent) some /= 2;
        if (well && oneWay && !passage.hit.key.empty() && onTrial(*forward.build))
            answeredBy[passage.hit.key] = forward.build->number;
        return Next::pass;
    }

    Next answer(Passage& passage) {
        auto& hit = passage.hit;
        if (hit.ended) return Next::end;
        const bool more =
            static_cast<int>(hit.forwards.size()) < forwardsAtMost && !overloaded() && now < hit.deadline;
        if (!more) return giveUp(hit);
        run({hit}, {&Parts::choose, &Parts::send});
        return Next::keep;
    }

    // The sidecar sees overload when a third of its own outcomes lately came late or were turned away.
    bool overloaded() const { return recent[1] * 2 > recent[0] + fewOutcomes; }

    // ---- Pods: the list, and which are left out for a while. ----

    Build* buildOf(int number) {
        auto& build = builds[number];
        if (!build) {
            build = std::make_unique<Build>();
            build->number = number;
            // A quiet sidecar may use the free number at once; one that starts may have used it before it
            // stopped.
            const bool fresh = born >= 0 && now - born >= window;
            build->allowance.assign(perGroup ? edges.size() : 1, fresh ? free : 0.0);
        }
        return build.get();
    }

    void listed(bool whole, std::span<const Listing> lines) {
        std::vector<Pod*> before;
        if (whole) {
            before.swap(pods);
            for (auto* pod : before) pod->availability = Availability::gone;
        }
        int highest = told.build;
        for (const auto& line : lines) {
            auto& pod = *line.pod;
            // Another process, or an id that came back with another build: nothing known of it, and cold.
            if (line.started != pod.started || (pod.build && pod.build->number != line.build)) {
                pod.lately = pod.unsent = pod.pooled = {};
                pod.viewed = 1;
                pod.coldSpent = -std::max(typicalWork, 1.0) * static_cast<double>(chance() % 1000 + 1) / 1000;
                pod.coldMark = now;
            }
            const bool lost =
                line.availability == Availability::gone && (pod.lost || pod.availability == Availability::up);
            lostPods += lost - pod.lost;
            pod.lost = lost;
            pod.build = buildOf(line.build);
            pod.zone = line.zone, pod.cell = line.cell;
            pod.started = line.started, pod.availability = line.availability;
            highest = std::max(highest, line.build);
            std::erase(pods, &pod);
            if (line.availability != Availability::gone) pods.push_back(&pod);
        }
        std::sort(pods.begin(), pods.end(), [](auto* one, auto* other) { return one->id < other->id; });
        near =
            limits::subset(pods, static_cast<std::uint32_t>(me), limits::subsetSize(pods.size(), balancers));
        probes.rate(limits::probeRate(pods.size(), balancers));
        present.clear();
        for (auto* pod : pods)
            if (onTrial(*pod->build) &&
                std::find(present.begin(), present.end(), pod->build) == present.end())
                present.push_back(pod->build);
        newest(highest);
    }

    // ---- The trial: counting, pooling, the test, the votes. ----

    void newest(int build) {
        if (build <= trial.build) return;
        trial = Trial{};
        trial.build = build;
        trial.demandBefore = demand;
        const auto n = static_cast<std::size_t>(balancers);
        trial.own = calm;
        calm.assign(edges.size(), {});
        trial.lately.resize(edges.size()), trial.sums.resize(edges.size());
        trial.senders.resize(n), trial.verdicts.resize(n);
        for (auto& sender : trial.senders) sender.seq.resize(edges.size()), sender.last.resize(edges.size());
        // Three voters, hashed from the build number: the same at every sidecar.
        std::vector<std::pair<std::uint64_t, int>> order;
        for (int peer = 0; peer < balancers; ++peer) {
            std::uint64_t hash =
                (static_cast<std::uint64_t>(build) << 20) + static_cast<std::uint64_t>(peer) + 1;
            for (int turn = 0; turn < 2; ++turn) hash = (hash ^ (hash >> 31)) * 0x9e3779b97f4a7c15ull;
            order.emplace_back(hash ^ (hash >> 32), peer);
        }
        std::sort(order.begin(), order.end());
        for (int at = 0; at < std::min(voterCount, balancers); ++at) trial.voters.push_back(order[at].second);
    }

    bool isVoter() const {  // where there are no messages, each judges what it counts itself
        return !mayTell || std::find(trial.voters.begin(), trial.voters.end(), me) != trial.voters.end();
    }

    // Only first forwards count: further ones carry what was slow once, and go to the earlier build alone.
    void count(const Forward& forward, Outcome outcome, Nanos took) {
        if (&forward != &forward.hit->forwards.front() || forward.build->number > trial.build) return;
        if (outcome == Outcome::saturated || outcome == Outcome::unreached) return;
        const auto age = forward.sent - forward.pod->started;
        if (age < skipFirst) return;
        const bool isNew = forward.build->number == trial.build;
        const auto group = static_cast<std::size_t>(forward.hit->group->index);
        auto& tally = trial.own[group][isNew ? 0 : 1];
        if (age < countAfter) {
            // A quiet voter may meet the new build late: the first that does tells, and starts its timer.
            if (!isNew || tally.unranked++ > 0 || trial.counted >= 0) return;
            trial.counted = now;
            return poolCounts();
        }
        if (isNew && trial.counted < 0) trial.counted = now;
        int bin = lastBin;
        if (outcome == Outcome::delivered)
            bin = static_cast<int>(std::upper_bound(edges[group].begin(), edges[group].end(), took) -
                                   edges[group].begin());
        ++tally.bins[static_cast<std::size_t>(bin)];
        if (outcome == Outcome::errored) ++tally.errored, urge(isNew);
        auto& past = calm[group].back().bins;
        if (++past[static_cast<std::size_t>(bin)] >= calmHalveAt)
            for (auto& some : past) some /= 2;
    }

    // Every two seconds the counts go to the voters. Each message carries the sums since the build was seen,
    // of which a voter adds what is new to it: a lost, repeated or late message then changes nothing in the
    // end.
    void poolCounts() {
        auto message = head(Message::Kind::counts);
        tell(encodeCounts(message, trial.own), trial.voters);
        message.groups = trial.own;
        if (isVoter()) absorb(me, message);
    }

    // Exception: an error or a flagged answer of the new build does not wait for the pooling. Guards against
    // a build that turns bad late, with the next one about to be offered, and any that fails much at once.
    // Harm: a good build's few errors cost a message each, two a second at most.
    void urge(bool isNew) {
        if (isNew && now - trial.urged >= judgeAtMost) trial.urged = now, poolCounts();
    }

    Message head(Message::Kind kind) {
        return {kind, epoch, ++seq, static_cast<std::uint32_t>(trial.build), 0, 0, {}, {}};
    }

    void tell(const std::vector<std::string>& messages, const std::vector<int>& to) {
        for (int peer : to)
            for (const auto& bytes : messages)
                if (mayTell && peer != me) door.tell(peer, bytes);
    }

    void pool() {
        if (trial.build < 0) return;
        poolPods();
        if (told.standing == Standing::withdrawn) return;
        poolCounts();
        if (isVoter()) {
            judge();
            tellVerdict();
            for (std::size_t group = 0; group < edges.size(); ++group) {
                for (auto& bin : trial.lately[group].bins) bin /= 2;
                for (auto& side : trial.sums[group]) side.recent /= 2;
            }
        }
    }

    // What was seen of each pod goes the same way; voters tell all which are slower than the rest.
    void poolPods() {
        std::vector<PodNote> seen, view;
        Use all;
        met.halve();
        for (auto& some : recent) some /= 2;
        for (auto* pod : pods) {
            pod->lately.halve();
            if (pod->unsent.tries > 0)
                seen.push_back({pod->id, static_cast<std::uint32_t>(pod->unsent.tries),
                                static_cast<std::uint32_t>(pod->unsent.slowness * noteParts)});
            if (isVoter()) pod->pooled += pod->unsent;
            pod->unsent = {};
            all += pod->pooled;
        }
        tell(encodePods(head(Message::Kind::pods), seen, seq), trial.voters);
        if (!isVoter() || all.tries <= 0) return;
        const double mean = all.slowness / all.tries;
        for (auto* pod : pods) {
            const auto [tries, slowness] = pod->pooled;
            // Few outcomes say little: a pod counts as slow only beyond what chance would show.
            const double against = slowness / std::max(mean, leastSlow) / (tries + std::sqrt(tries) + 1);
            if (against > slowPart)
                view.push_back({pod->id, 1, static_cast<std::uint32_t>(against * noteParts)});
            pod->viewed = std::max(against, 1.0), pod->viewedAt = now;
            pod->pooled.halve();
        }
        tell(encodePods(head(Message::Kind::view), view, seq), everyone);
    }

    void absorbPods(int peer, const Message& message) {
        auto& last = trial.senders[static_cast<std::size_t>(peer)].pods;
        if (last.first == message.epoch && message.seq <= last.second) return;  // repeated, or overtaken
        last = {message.epoch, message.seq};
        for (const auto& note : message.pods) {
            const auto found = std::lower_bound(pods.begin(), pods.end(), note.id,
                                                [](auto* pod, auto id) { return pod->id < id; });
            if (found == pods.end() || (*found)->id != note.id) continue;
            const Use use{1.0 * note.tries, std::min(note.slowness / noteParts, slowest * note.tries)};
            if (message.kind == Message::Kind::pods && isVoter()) (*found)->pooled += use;
            if (message.kind == Message::Kind::view)
                (*found)->viewed = note.slowness / noteParts, (*found)->viewedAt = now;
        }
    }

    void absorb(int peer, const Message& message) {
        auto& sender = trial.senders[static_cast<std::size_t>(peer)];
        if (message.epoch != sender.epoch) {
            if (message.epoch == sender.before) return;  // from before the sender's restart
            sender.before = sender.epoch;
            sender.epoch = message.epoch;
            std::fill(sender.seq.begin(), sender.seq.end(), 0);
            std::fill(sender.last.begin(), sender.last.end(), Tallies{});
        }
        for (std::size_t at = 0; at < message.groups.size(); ++at) {
            const auto group = message.firstGroup + at;
            if (group >= edges.size() || message.seq <= sender.seq[group]) continue;
            sender.seq[group] = message.seq;
            for (std::size_t which = 0; which < message.groups[at].size(); ++which) {
                const auto& came = message.groups[at][which];
                const auto& had = sender.last[group][which];
                auto& side = trial.sums[group][which];
                const auto more = [](std::uint32_t now, std::uint32_t then) {
                    return now > then ? now - then : 0.0;
                };
                for (int bin = 0; bin < latencyBins; ++bin) {
                    const double grew = more(came.bins[bin], had.bins[bin]);
                    side.bins[bin] += grew, side.recent += grew;
                    if (which < 2) trial.lately[group].bins[bin] += grew;
                }
                side.errored += more(came.errored, had.errored);
                side.flagged += more(came.flagged, had.flagged);
                if (which == 1) trial.lately[group].bins[lastBin] += more(came.unranked, had.unranked);
                if (which == 0 && side.all() + came.unranked > 0 && trial.counted < 0) trial.counted = now;
                if (side.all() > halveAt) {
                    for (auto& bin : side.bins) bin /= 2;
                    side.errored /= 2, side.flagged /= 2;
                }
                sender.last[group][which] = came;
            }
        }
    }

    void judge() {
        trial.judged = now;
        if (trial.verdict == Verdict::back) return;  // stands for this build
        if (const auto before = std::exchange(trial.verdict, verdictNow()); trial.verdict != before)
            tellVerdict();
        castVote();
    }

    // One side by side look at a new build and an earlier one, over one path group or over all.
    bool worse(const Side& newer, const Side& earlier, bool beside) {
        const double n = newer.all(), m = earlier.all();
        if (n < leastOutcomes || m < leastOutcomes) return false;
        const auto fails = [&](const Bins& x, const Bins& y, double bar) {
            return rankTest(x, y, bar, draws, chance).upperChance < 1 - certain;
        };
        const auto more = [&](double x, double y, double margin) {
            return fails(inTwo(x, n), inTwo(y, m), 0.5 - margin / 2);
        };
        // Where many err, chance errs more: twice the earlier builds' and the margin.
        return more(newer.errored, earlier.errored, errorMargin + earlier.errored / m) ||
               more(newer.flagged, earlier.flagged, flagMargin) ||
               (beside && (fails(newer.bins, earlier.bins, backBar) ||
                           more(newer.bins[lastBin], earlier.bins[lastBin], lateMargin)));
    }

    using Sides = std::vector<std::pair<const Side*, const Side*>>;

    // Sums over all path groups; the second side is mixed as the first one's hits are, since some stages are
    // closed to some path groups, and the mix of hits changes.
    static std::pair<Side, Side> mixed(const Sides& sides) {
        double most = 0;
        for (const auto& [one, other] : sides)
            if (other->all() > 0) most = std::max(most, one->all() / other->all());
        Side x, y;
        for (const auto& [one, other] : sides) {
            if (one->all() <= 0 || other->all() <= 0) continue;
            x.add(*one, 1);
            y.add(*other, one->all() / other->all() / most);
        }
        return {x, y};
    }

    // Pods that are cold, that fail, or that are gone (a lost data centre) slow the rest whatever the build
    // does, and so does a burst. Clients' retries do not count for one: a slow build draws them.
    bool knownCause() const {
        // A quiet sidecar's demand swings by chance.
        const double usualHits = trial.demandBefore * demandSeconds;
        if (demand * demandSeconds > usualHits * demandRise + 2 * std::sqrt(usualHits)) return true;
        const auto amiss = lostPods + std::count_if(pods.begin(), pods.end(),
                                                    [&](auto* pod) { return word(*pod) > slowPart; });
        return static_cast<double>(amiss) > static_cast<double>(pods.size()) * podsAmiss ||
               std::any_of(pods.begin(), pods.end(), [&](auto* pod) { return cold(*pod); });
    }

    // Exception: a build may slow all pods, old and new, in step with its traffic; new against earlier then
    // shows nothing. So the same test ranks all answers of late against those before the build came. While
    // these are slower, voters abstain and the timer waits; if that lasts for two poolings with no known
    // cause, it is 'back', unless it held in the first stage already, whose traffic is too little. Also
    // guards against going on in a jam. After release it takes a wreck: half of all more than before
    // is late or kept out. Harm: a slow spell of that length in a later stage takes a good build off.
    bool slowerThanBefore(const Side& lately, const Side& before, bool released) {
        const double n = lately.all(), m = before.all();
        if (n < leastOutcomes || m < leastOutcomes || (trial.slowAnyway && !released)) return false;
        if (before.bins[lastBin] > m * calmShare) return false;  // a busy fleet's ranks swing with its load
        const auto chances = released ? rankTest(inTwo(lately.bins[lastBin], n),
                                                 inTwo(before.bins[lastBin], m), wreckedBar, draws, chance)
                                      : rankTest(lately.bins, before.bins, slowBar, draws, chance);
        return chances.upperChance < 1 - certain;
    }

    Verdict verdictNow() {
        const bool released = told.build == trial.build && told.standing == Standing::released;
        // Latency is compared only while both sides flow: ranks of one minute against another's show the
        // load.
        const auto beside = [&](const Side& newer, const Side& earlier) {
            return !released && earlier.recent >= newer.recent * besidePart;
        };
        bool back = false;
        Sides present, past;
        for (std::size_t group = 0; group < edges.size(); ++group) {
            const auto& [newer, earlier, before] = trial.sums[group];
            present.emplace_back(&newer, &earlier);
            past.emplace_back(&trial.lately[group], &before);
            // Exception: a failing path group holds few ranks of the whole, and errors and wrong answers too
            // few for any. The same test on that group's ranks, and on ranks coarsened to two (errored,
            // flagged or in time against not), votes back if hardly a draw passes the bar.
            back = back || worse(newer, earlier, beside(newer, earlier));
        }
        const auto [x, y] = mixed(present);
        if (back || worse(x, y, beside(x, y))) return Verdict::back;
        const bool enough = x.all() >= leastOutcomes && y.all() >= leastOutcomes, flows = beside(x, y);
        const auto ranks = [&](double bar) { return rankTest(x.bins, y.bins, bar, draws, chance); };
        if (enough && flows && ranks(backBar).upperChance < 1 - sure) return Verdict::back;
        const auto surelyOn = [&](double bar) { return enough && ranks(bar).lowerChance > sure; };
        const auto [these, those] = mixed(past);
        if (slowerThanBefore(these, those, released)) {
            if (trial.slowSince < 0) trial.heldSince = now;
            if (trial.slowSince < 0 || knownCause()) trial.slowSince = now;
            // Exception: slow because the earlier build is (it turned bad after its release): a new one that
            // surely ranks ahead is the way out, and one that slows old and new alike does not rank ahead.
            // Harm: one that is ahead while it has little traffic.
            const bool ahead = !released && flows && surelyOn(aheadBar);
            trial.slowAnyway = ahead || now - trial.heldSince >= longSpell;
            if (!trial.slowAnyway && now - trial.slowSince < slowSpell) return Verdict::none;
            if (!trial.slowAnyway && told.stage > 0) return Verdict::back;
            trial.slowAnyway = true;
        } else {
            trial.slowSince = -1;
        }
        if (released) return Verdict::none;
        if (!clocked && surelyOn(onBar)) return Verdict::on;
        if (clocked) {
            const bool young = told.build == trial.build && now - told.since < undecidedFor;
            return young ? Verdict::hold : Verdict::none;
        }
        return trial.counted >= 0 && now - trial.counted >= undecidedFor ? Verdict::on : Verdict::none;
    }

    void tellVerdict() {
        auto message = head(Message::Kind::verdict);
        message.verdict = static_cast<std::uint32_t>(trial.verdict);
        tell({encode(message)}, everyone);
    }

    // What most voters say; of a tie, the later one to be undecided.
    Verdict echo() const {
        std::array<int, 4> count{};
        for (int voter : trial.voters) ++count[static_cast<std::size_t>(trial.verdicts[voter].verdict)];
        const auto needed = static_cast<int>(trial.voters.size()) / 2 + 1;
        if (count[3] >= needed) return Verdict::back;
        if (!clocked && count[1] >= needed) return Verdict::on;
        if (clocked && count[2] >= needed) return Verdict::hold;
        return Verdict::none;
    }

    void castVote() {
        if (told.build != trial.build || told.build < 0) return;  // no stage to vote for yet
        auto verdict = isVoter() ? trial.verdict : echo();
        // Exception: signed metadata that are required and missing hold a build where it is, whatever its
        // outcomes; withdrawn ones send it back. Harm: metadata that cannot be had in time cost a stage's
        // wait.
        if (attestationNeeded && !vouchedFor(*buildOf(told.build))) {
            const bool withdrawn = buildOf(told.build)->attestation == Attestation::withdrawn;
            if (withdrawn) verdict = Verdict::back;
            if (verdict != Verdict::back) verdict = clocked ? Verdict::hold : Verdict::none;
        }
        const bool late = told.standing == Standing::released && verdict == Verdict::back;
        if (told.standing != Standing::trial && !late) verdict = Verdict::none;
        // Exception: no 'on' in the last stage before its own pods have had time to warm and be counted: what
        // shows only with all traffic would be released unseen. Each waits by itself: hundreds could not take
        // back a vote.
        // The vote that decides is the one that must not come before: in a large tier the queue to it is
        // begun so much earlier.
        if (verdict == Verdict::on && told.stage >= lastStage && now - told.since < settleFor - queueFor)
            verdict = Verdict::none;
        const bool anyStage = verdict == Verdict::back || verdict == Verdict::none;
        const bool same = cast.verdict == verdict && (verdict == Verdict::none || cast.build == told.build) &&
                          (anyStage || cast.stage == told.stage);
        if (same && (verdict == Verdict::none || now < cast.when + renewAfter)) return;
        // A vote for what is over needs no taking back.
        if (verdict == Verdict::none &&
            (told.standing != Standing::trial || cast.build != told.build || cast.stage != told.stage)) {
            cast.verdict = verdict;
            return;
        }
        // Each waits for its place in the fleet's queue: all echo in the same instant, and what the platform
        // turns away then comes back among the renewals of what it took. Guards against stages that wait for
        // votes long decided; it ought to spread any call that all make at one word. Harm: where few vote
        // alike, the last of them wait for places that nobody takes.
        if (const std::tuple wish(verdict, told.build, told.stage);
            std::exchange(cast.queued, wish) != wish) {
            const auto about =
                static_cast<std::uint64_t>(told.build) << 32 | static_cast<unsigned>(told.stage);
            cast.turn = now + limits::turn(about, static_cast<std::uint32_t>(me), balancers, votesPerSecond);
            cast.refused = 0;
        }
        if (now < std::max(cast.next, cast.turn)) return;
        cast.verdict = verdict, cast.build = told.build, cast.stage = told.stage;
        cast.when = now, cast.next = now + answerWait;
        door.vote(verdict, told.build, told.stage);
    }

    // Once a second: what a warm pod's worth of capacity has lately delivered to this sidecar.
    void measure() {
        if (now < nextSecond) return;
        nextSecond = now + second;
        demand += (arrived - demand) / std::min(++secondsSeen, demandSeconds);
        double capacity = 0;
        for (auto* pod : pods)
            if (pod->availability == Availability::up) capacity += warmth(*pod);
        if (capacity > 0) doneRate += (done / capacity - doneRate) / std::min(secondsSeen, 10);
        arrived = done = 0;
    }

    void renewTick() {
        if (nextTick > now) return;
        nextTick = now + tickEvery, ++ticks;
        pace *= 1 - 1.0 / paceTicks;
        door.wake(tickEvery);
    }
};

// ---- The calls. ----

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
