// State and constants of the policy. Times: monotonic nanoseconds; shares: 0 to 1. Single-threaded, no I/O.
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
constexpr Nanos kTickInterval = 250 * kMs;           // between periodic checks of votes and timers
constexpr Nanos kPoolingInterval = 2 * kSecond;      // between sends of counts to the voters
constexpr Nanos kMinEvaluationInterval = 500 * kMs;  // between evaluations by a voter
constexpr Nanos kMaxIgnoredAge = 2 * kSecond;        // of pods, whose outcomes are ignored
constexpr int kVoterCount = 3, kRankTestDraws = 200, kLastBin = kLatencyBins - 1;
constexpr double kAdvanceThreshold = 0.4, kAheadThreshold = 0.55, kRollBackThreshold = 0.38;  // of rank tests
constexpr double kConfidence = 0.95, kHighConfidence = 0.99;
constexpr std::uint32_t kHalveBaselineAt = 60;  // outcomes in one bin of the baseline
constexpr double kMinConcurrentShare = 0.5;     // earlier builds' recent outcomes, relative to the new one's
constexpr double kMinOutcomes = 20, kHalveSumsAt = 800;  // per path group and side
// How much larger the share of late, failed or flagged outcomes of the new build may be.
constexpr double kLateMargin = 0.1, kErrorMargin = 0.006, kFlagMargin = 0.004;
constexpr Nanos kSlowTimeout = 2 * kPoolingInterval, kLongSlowTimeout = 5 * kPoolingInterval;
constexpr double kBurstFactor = 1.4;        // of the demand before the build: a known cause of slowness
constexpr int kDemandSeconds = 3;           // averaging window of the demand
constexpr double kUnhealthyPodShare = 0.1;  // pods lost or slow: a known cause of slowness
constexpr double kSlowThreshold = 0.4, kMostlyLateThreshold = 0.25, kBusyBaselineShare = 0.2;

constexpr double kInFlightShare = 0.4;  // of the latency target: the limit in flight is what is served in it
constexpr int kGoodputTicks = 5;        // decay time of the goodput
constexpr double kMinInFlightPerPod = 2.5;  // lower limit, over all sidecars
constexpr double kOutcomeSlack = 8;         // tolerated late outcomes, so that a few do not count as overload
constexpr Nanos kSilenceDivisor = 2;        // silence time-out: the shortest latency target divided by it
constexpr double kSlowStartHeadroom = 0.7;  // of the load multiple that overloads a warming pod
constexpr double kMaxSlowness = 2;          // per outcome, in latency targets; the value for a failure
constexpr double kPooledViewWeight = 4;     // of the voters' view of a pod, in own outcomes
constexpr double kSlowFactor = 1.3;         // times the mean, above which a pod gets a smaller share
constexpr double kMinSlowness = 0.05;       // in latency targets; lower values are treated alike
constexpr double kSlownessScale = 64;       // fixed-point scale of slowness in messages
constexpr Nanos kLoadReportTtl = kSecond, kUndecidedTimeout = 1500 * kMs;
constexpr int kMaxRetries = 2, kProbesPerRequest = 2;
constexpr double kSparseLoadFactor = 8;  // pods per own request in flight, above which own load is noise
constexpr std::size_t kMaxProbedPods = 4;
constexpr double kMinFitness = 0.15;  // below it a pod is ejected

using verdict::Bins, verdict::twoBins, verdict::rankTest;

struct PolicyState {
    enum class Step { proceed, pending, finished };

    // Passed along the routing steps: the request and its pod; after the attempt also its outcome.
    struct RoutingContext {
        Request& request;
        Pod* pod = nullptr;
        Attempt* attempt = nullptr;
        Outcome outcome = Outcome::succeeded;
        Nanos latency = 0;
        bool clientDone = false;
    };

    // What a voter last received from a peer.
    struct SenderState {
        std::uint32_t epoch = 0, previousEpoch = 0, podsEpoch = 0, podsSeq = 0;
        std::vector<std::uint32_t> seq;  // by path group, as lastCounts
        std::vector<GroupCounts> lastCounts;
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

    // The newest build and the outcomes collected for its evaluation.
    struct Trial {
        int build = -1;
        std::vector<GroupCounts> ownCounts;  // by path group, since the build was first seen
        Nanos firstCountedAt = -1;           // its first outcome here or at a peer; -1: none yet
        std::vector<int> voters;
        std::vector<SenderState> senders;              // by peer; used by voters
        std::vector<std::array<OutcomeSums, 3>> sums;  // by path group and side, as GroupCounts
        std::vector<OutcomeSums> recentSums;           // by path group, of all builds; halved at each pooling
        std::vector<PeerVerdict> verdicts;             // by peer
        Verdict verdict = Verdict::none;               // own verdict as a voter
        Nanos unexplainedSince = -1, slowPeriodStart = -1;  // slowness without a known cause; any slowness
        double demandBaseline = 0;
        bool slownessExcused = false;  // slowness that is not attributed to this build
        Nanos evaluatedAt = std::numeric_limits<Nanos>::min() / 4, urgentCountsSentAt = evaluatedAt;
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
        Ballot cast, queued;  // the last vote sent, and the one that waits until queuedUntil
        Nanos castAt = 0, notBefore = 0, queuedUntil = 0;
        int rejections = 0;  // consecutive
    };

    // Constant after construction.
    PolicyHost& host;
    const Settings settings;
    std::mt19937 random;
    int self, sidecars, maxAttempts, lastStage;
    double firstStageCap, slowStartExcess;
    Nanos silenceTimeout, settleTime, queueTime, ignoredAge, countedAge, renewAfter, voteInterval, retryAfter;
    std::vector<std::array<Nanos, kLastBin>> binEdges;  // by path group
    std::vector<int> allPeers;

    Nanos now = 0, nextPooling = 0, nextTick = -1, bootTime = -1;
    std::uint32_t epoch, seq = 0;
    std::unordered_map<int, std::unique_ptr<Build>> builds;  // never iterated: the order is not deterministic
    std::vector<Build*> trialBuilds;
    std::vector<Pod*> probedPods;     // with fresh load reports, where these come only from probes
    std::vector<Pod*> pods;           // listed and not removed, sorted by id
    std::vector<Pod*> preferredPods;  // this sidecar's subset (limits/fleet.hpp)
    limits::TokenBucket probeBudget{0, 2};
    std::unordered_map<std::string, int> buildOfKey;  // monotonic keys: the build on trial that answered last
    PodStats overallStats;                            // recent own outcomes of all pods
    double typicalCost = 0, deliveredCost = 0, deliveredRate = 0;  // served: this second; per warm pod
    int measuredSeconds = 0, ticks = 0, lostPods = 0;
    double goodput = 0;  // successes within target, each weighted by its target; decays
    Nanos nextSecond = 0;
    std::array<double, 2> recentOutcomes{};  // own outcomes: in time; late or rejected
    double arrivals = 0, demandRate = 0;     // without clients' retries: this second; per second
    Rollout rollout;
    Trial trial;
    std::vector<GroupCounts> baseline;  // only the last side is used: outcomes before a build
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
        ignoredAge = std::min(kMaxIgnoredAge, settings.slowStartTime);
        countedAge = std::max(ignoredAge, settings.slowStartTime * 3 / 4);
        voteInterval = static_cast<Nanos>(1.0 * sidecars * kSecond / settings.votesPerSecond);
        const auto ttl = settings.voteTtl;
        renewAfter = std::max(ttl / 2, std::min(voteInterval, ttl - 2 * settings.voteTimeout));
        retryAfter = settings.sendRetryAfter ? settings.maxRetryAfter : 0;
        silenceTimeout = kSecond;
        baseline.resize(settings.groups.size());
        settleTime = settings.slowStartTime + kPoolingInterval;
        const auto queuedVotes = std::max(settings.advanceVotesNeeded - settings.votesPerSecond, 0.0);
        queueTime = static_cast<Nanos>(queuedVotes / settings.votesPerSecond * kSecond);
        for (const auto& group : settings.groups) {
            silenceTimeout = std::min(silenceTimeout, group.target / kSilenceDivisor);
            auto edge = static_cast<double>(group.target);  // lower edges in steps of a square root of two
            auto& edges = binEdges.emplace_back();
            for (int bin = kLastBin; bin-- > 0; edge /= std::sqrt(2.0)) edges[bin] = static_cast<Nanos>(edge);
        }
    }

    Build* buildFor(int number) {
        auto& build = builds[number];
        if (!build) {
            build = std::make_unique<Build>();
            build->number = number;
            // No free attempts shortly after a start: they may have been used before a restart.
            const bool fresh = bootTime >= 0 && now - bootTime >= settings.exposureWindow;
            build->allowance.assign(settings.perGroup ? binEdges.size() : 1,
                                    fresh ? settings.freeAttempts : 0.0);
        }
        return build.get();
    }

    // The voters' view of a pod's slowness, 1 if outdated. Guards against bad pods with few own outcomes.
    // Harm: a recovered pod gets less traffic for two poolings.
    double peerSlowness(const Pod& pod) const {
        return now - pod.pooledSlownessAt < 2 * kPoolingInterval ? pod.pooledSlowness : 1;
    }
};  // NOLINTEND(readability-isolate-declaration)

}  // namespace lichenlanding::policy
