// State and tuning constants of the policy. Times: monotonic nanoseconds; shares: 0 to 1. One thread, no I/O.
#pragma once  // NOLINTBEGIN(readability-isolate-declaration): lines are capped

#include <cmath>
#include <numeric>
#include <unordered_map>
#include <utility>

#include "limits/fleet.hpp"
#include "policy/gossip.hpp"
#include "policy/policy_engine.hpp"
#include "verdict/rank.hpp"

namespace lichenlanding::policy {

constexpr Nanos kMs = 1'000'000, kSecond = 1000 * kMs;
constexpr Nanos kTickInterval = 250 * kMs;       // between checks of votes and timers
constexpr Nanos kPoolingInterval = 2 * kSecond;  // between sends of counts to the voters
constexpr Nanos kMinJudgeInterval = 500 * kMs;   // between rank tests of a voter
constexpr Nanos kMaxSkip = 2 * kSecond;          // after a pod's start its outcomes are ignored
constexpr int kVoterCount = 3, kRankTestDraws = 200, kLastBin = kLatencyBins - 1;
constexpr double kOnThreshold = 0.4, kAheadThreshold = 0.55, kBackThreshold = 0.38;
constexpr double kConfidence = 0.95, kHighConfidence = 0.99;
constexpr std::uint32_t kHalveBaselineAt = 60;  // outcomes in one bin of the baseline
constexpr double kMinConcurrentShare = 0.5;     // of the new build's recent outcomes, at the earlier builds
constexpr double kMinOutcomes = 20, kHalveSumsAt = 800;  // of a path group and side, at a voter
// By how much larger a share of the new build's outcomes may be late, errors or flagged.
constexpr double kLateMargin = 0.1, kErrorMargin = 0.006, kFlagMargin = 0.004;
constexpr Nanos kSlowSpell = 2 * kPoolingInterval, kLongSpell = 5 * kPoolingInterval;
constexpr double kBurstFactor = 1.4;        // of the demand before the build
constexpr int kDemandSeconds = 3;           // over which demand is averaged
constexpr double kUnhealthyPodShare = 0.1;  // of pods lost or slow: a known cause of slowness
constexpr double kSlowThreshold = 0.4, kWreckedThreshold = 0.25, kBusyBaselineShare = 0.2;

constexpr double kInFlightShare = 0.4;      // of the latency target, for the concurrency limit
constexpr int kPaceTicks = 5;               // over which the pace of successes decays
constexpr double kMinInFlightPerPod = 2.5;  // of all sidecars together, whatever the pace
constexpr double kFewOutcomes = 8;          // slack, so that a few late outcomes do not count as overload
constexpr Nanos kSilenceDivisor = 2;        // of the shortest latency target: the silence time-out
constexpr double kSlowStartHeadroom = 0.7;  // of the multiple at which a warming pod is overloaded
constexpr double kMaxSlowness = 2;          // of one outcome, in latency targets; a failure counts as this
constexpr double kPooledViewWeight = 4;     // of the voters' view of a pod, in own outcomes
constexpr double kSlowFactor = 1.3;         // of the mean slowness, up to which a pod gets its full share
constexpr double kMinSlowness = 0.05;       // in latency targets: faster makes no difference
constexpr double kSlownessScale = 64;       // fixed-point scale of slowness in messages
constexpr Nanos kLoadReportTtl = kSecond, kUndecidedTimeout = 1500 * kMs;
constexpr int kMaxRetries = 2, kProbesPerRequest = 2;
constexpr double kSparseLoadFactor = 8;  // pods per own request in flight, from which own load says little
constexpr std::size_t kMaxProbedPods = 4;
constexpr double kMinFitness = 0.15;  // below it a pod is ejected

using verdict::Bins, verdict::inTwo, verdict::rankTest;

struct PolicyState {
    enum class Step { proceed, pending, finished };

    // What the routing steps hand on: the request, its pod, and on the way back the end of the attempt.
    struct RoutingContext {
        Request& request;
        Pod* pod = nullptr;
        Attempt* attempt = nullptr;
        Outcome outcome = Outcome::succeeded;
        Nanos latency = 0;
        bool clientDone = false;
    };

    // What a voter last merged from a peer.
    struct Sender {
        std::uint32_t epoch = 0, previousEpoch = 0, podsEpoch = 0, podsSeq = 0;
        std::vector<std::uint32_t> seq;  // by path group, as lastTallies
        std::vector<Tallies> lastTallies;
    };

    struct OutcomeSums {
        Bins bins = Bins(kLatencyBins, 0);
        double errored = 0, flagged = 0;
        double recent = 0;  // halved at each pooling

        double total() const { return std::accumulate(bins.begin(), bins.end(), 0.0); }
        void add(const OutcomeSums& other, double weight) {
            for (int bin = 0; bin < kLatencyBins; ++bin) bins[bin] += other.bins[bin] * weight;
            errored += other.errored * weight;
            flagged += other.flagged * weight;
            recent += other.recent;
        }
    };

    struct PeerVerdict {
        Verdict verdict = Verdict::none;
        std::uint32_t epoch = 0, seq = 0;
    };

    // The newest build and the evidence on it.
    struct Trial {
        int build = -1;
        std::vector<Tallies> ownCounts;  // by path group, since the build was first seen
        Nanos firstCountedAt = -1;       // its first outcome, counted here or by a sender
        std::vector<int> voters;
        std::vector<Sender> senders;                   // by peer; used by voters
        std::vector<std::array<OutcomeSums, 3>> sums;  // by path group: new, earlier, before
        std::vector<OutcomeSums> recentSums;           // by path group: all builds, halved at each pooling
        std::vector<PeerVerdict> verdicts;             // by peer
        Verdict verdict = Verdict::none;               // as voter
        Nanos slowSince = -1, slowSpellStart = -1;     // all pods slower than before: unexplained, at all
        double demandBaseline = 0;
        bool slownessExcused = false;  // the slowness is not caused by this build
        Nanos judgedAt = std::numeric_limits<Nanos>::min() / 4, countsUrgedAt = judgedAt;
    };

    struct Rollout {
        int build = -1, stage = 0;
        RolloutState state = RolloutState::released;
        double cap = 1;
        Nanos since = 0;
    };

    struct Ballot {
        Verdict verdict = Verdict::none;
        int build = -1, stage = -1;
        bool operator==(const Ballot&) const = default;
    };

    struct OwnVote {
        Ballot cast, queued;  // queued: what queueTurn, this sidecar's turn in the fleet's queue, is for
        Nanos castAt = 0, notBefore = 0, queueTurn = 0;
        int rejections = 0;  // in a row
    };

    // Constant after construction.
    PolicyHost& host;
    const Settings settings;
    std::mt19937 random;
    int self, sidecars, maxAttempts, lastStage;
    double firstStageCap, slowStartExcess;
    Nanos silenceTimeout, settleTime, queueTime, skipFirst, countAfter, renewAfter, voteInterval, retryAdvice;
    std::vector<std::array<Nanos, kLastBin>> binEdges;  // by path group
    std::vector<int> allPeers;

    Nanos now = 0, nextPooling = 0, nextTick = -1, bootTime = -1;
    std::uint32_t epoch, seq = 0;
    std::unordered_map<int, std::unique_ptr<Build>> builds;  // never iterated: its order is not stable
    std::vector<Build*> trialBuilds;
    std::vector<Pod*> probedPods;     // with fresh load reports, where only probes bring them
    std::vector<Pod*> pods;           // listed and not removed, by id
    std::vector<Pod*> preferredPods;  // this sidecar's subset (limits/fleet.hpp)
    limits::TokenBucket probeBudget{0, 2};
    std::unordered_map<std::string, int> buildOfKey;               // monotonic keys: the build that answered
    PodStats overallStats;                                         // recent own outcomes of all pods
    double typicalCost = 0, deliveredCost = 0, deliveredRate = 0;  // delivered: this second; per warm pod
    int measuredSeconds = 0, ticks = 0, lostPods = 0;
    double pace = 0;  // successes within target, in target latencies, decaying
    Nanos nextSecond = 0;
    std::array<double, 2> recentOutcomes{};  // own ones: in time; late or rejected
    double arrivals = 0, demandRate = 0;     // first tries: this second; per second
    Rollout rollout;
    Trial trial;
    std::vector<Tallies> baseline;  // in the last tally: outcomes before a build, halved now and then
    OwnVote ownVote;

    PolicyState(Settings settings_, std::uint64_t seed, PolicyHost& host_)
        : host(host_), settings(std::move(settings_)) {
        std::seed_seq mix{static_cast<std::uint32_t>(seed), static_cast<std::uint32_t>(seed >> 32)};
        random.seed(mix);
        epoch = static_cast<std::uint32_t>(random()) | 1U;
        self = settings.index;
        sidecars = std::max(settings.sidecarCount, 1);
        for (int peer = 0; peer < sidecars; ++peer) allPeers.push_back(peer);
        maxAttempts = std::min(settings.maxAttempts, 1 + kMaxRetries);
        lastStage = static_cast<int>(settings.caps.size()) - 1;
        firstStageCap = settings.caps.empty() ? 0 : settings.caps.front();
        slowStartExcess = std::max(1.0, settings.overloadMultiple * kSlowStartHeadroom);
        skipFirst = std::min(kMaxSkip, settings.slowStartTime);
        countAfter = std::max(skipFirst, settings.slowStartTime * 3 / 4);
        voteInterval = static_cast<Nanos>(1.0 * sidecars * kSecond / settings.votesPerSecond);
        const auto ttl = settings.voteTtl;
        renewAfter = std::max(ttl / 2, std::min(voteInterval, ttl - 2 * settings.voteTimeout));
        retryAdvice = settings.sendRetryAfter ? settings.maxRetryAfter : 0;
        silenceTimeout = kSecond;
        baseline.resize(settings.groups.size());
        settleTime = settings.slowStartTime + kPoolingInterval;
        const auto queuedVotes = std::max(settings.onVotesNeeded - settings.votesPerSecond, 0.0);
        queueTime = static_cast<Nanos>(queuedVotes / settings.votesPerSecond * kSecond);
        for (const auto& group : settings.groups) {
            silenceTimeout = std::min(silenceTimeout, group.target / kSilenceDivisor);
            auto edge = static_cast<double>(group.target);  // then in steps of a square root of two
            auto& edges = binEdges.emplace_back();
            for (int bin = kLastBin; bin-- > 0; edge /= std::sqrt(2.0)) edges[bin] = static_cast<Nanos>(edge);
        }
    }

    Build* buildFor(int number) {
        auto& build = builds[number];
        if (!build) {
            build = std::make_unique<Build>();
            build->number = number;
            // A restart may have followed on the use of the free attempts.
            const bool fresh = bootTime >= 0 && now - bootTime >= settings.exposureWindow;
            build->allowance.assign(settings.perGroup ? binEdges.size() : 1,
                                    fresh ? settings.freeAttempts : 0.0);
        }
        return build.get();
    }

    // The voters' view of a pod, 1 if it is old. Guards against bad pods where own outcomes are too few to
    // tell. Harm: a recovered pod gets less for two poolings.
    double peerSlowness(const Pod& pod) const {
        return now - pod.pooledSlownessAt < 2 * kPoolingInterval ? pod.pooledSlowness : 1;
    }
};  // NOLINTEND(readability-isolate-declaration)

}  // namespace lichenlanding::policy
