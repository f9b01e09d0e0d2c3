// What one sidecar's decisions know: figures and state. Each file of this folder adds one concern to it.
#pragma once

#include <cmath>
#include <numeric>
#include <tuple>
#include <unordered_map>

#include "limits/fleet.hpp"
#include "policy/gossip.hpp"
#include "policy/policy_engine.hpp"
#include "verdict/rank.hpp"

namespace lichenlanding::policy {

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

struct State {
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

    State(const Settings& told, std::uint64_t seed, Door& door_) : door(door_) {
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

    // What a pod may be given of a sound, warm one's hits. Guards against pods that fail, stall or are slow
    // where own outcomes are too few to tell: those of all sidecars are pooled at the voters, as the build's
    // are, and own ones outweigh their word, since a pod may be bad for some sidecars alone. Harm: a pod that
    // is well again gets less for two poolings.
    double word(const Pod& pod) const { return now - pod.viewedAt < 2 * poolEvery ? pod.viewed : 1; }
};

}  // namespace lichenlanding::policy
