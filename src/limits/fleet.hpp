// Limits of a single sidecar, so that all sidecars of a fleet together stay within what pods and platform can
// serve.
//
// A sidecar of a large fleet handles few requests: it learns little and late by itself, and whatever it sends
// is multiplied by hundreds of sidecars. The limits are (docs/design/fleet.md):
//
//   - Probes: all sidecars together probe a pod about kProbesPerPod times a second. So one sidecar may send
//     kProbesPerPod * pods / sidecars probes a second, limited by a token bucket.
//   - Subsetting: each sidecar prefers a small subset of the pods, chosen by rendezvous hashing of its own
//     index and the pod's id, so that every pod is in the subsets of about kSidecarsPerPod sidecars. A pod
//     stays in a sidecar's subset while it is listed, except for changes when pods join or leave.
//   - Votes: the platform accepts a limited rate of calls from all sidecars together. Each sidecar has a
//     place in a queue, which is shuffled anew for every stage, and waits for its turn.
//   - Watches of the endpoint list: reconnects are spread over the fleet.
//
// Pure: no clock, no I/O. Times are arguments (nanoseconds of a monotonic clock), ids are numbers that are
// the same at every sidecar. Throws std::invalid_argument for arguments out of range, nothing else.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <random>
#include <utility>
#include <vector>

#include "state.hpp"

namespace lichenlanding::limits {

constexpr double kProbesPerPod = 1.0;   // per second, by all sidecars together
constexpr double kSidecarsPerPod = 24;  // average number of sidecars with a pod in their subset
// Minimum, so that there is a choice left when a few pods are lost.
constexpr std::size_t kMinSubsetSize = 6;

// Token bucket, full at first.
class TokenBucket {
  public:
    // Requires perSecond >= 0 and burst >= 1.
    TokenBucket(double perSecond, double burst);

    // Takes a token if one is available at `now` (monotonic nanoseconds; an earlier time than before counts
    // as the latest one).
    bool take(Nanos now);
    void setRate(double perSecond);  // keeps the tokens in the bucket

  private:
    void fill(Nanos now);

    double perSecond_, burst_, tokens_;
    Nanos filledAt_ = -1;
};

// Probes a second that one of `sidecars` sidecars may send to `pods` pods. 0 without pods.
double probeRate(std::size_t pods, int sidecars);

// How many of `pods` pods one of `sidecars` sidecars prefers: all of them in a small fleet.
std::size_t subsetSize(std::size_t pods, int sidecars);

// How long a sidecar delays its call on `topic` (a number that is the same at all sidecars), so that the
// platform gets at most `perSecond` calls a second from all: the first second's calls are sent at once, the
// others in the order of a hash at that rate. 0 in a fleet that is no larger than the rate.
Nanos queueDelay(std::uint64_t topic, std::uint32_t sidecar, int sidecars, double perSecond);

// Backoff before a watch (a streaming request) is reopened. A failure that ends one watch usually ends those
// of many sidecars, which then all reconnect at the same time. An overloaded server keeps each request
// waiting and rejects it in the end, with the work done in vain, and is as busy in the next round. So
// rejected requests are retried over the time in which the whole fleet can reconnect at
// Settings::votesPerSecond calls a second, and over twice as long each further time, up to eight times. The
// first request after a start or a loss is delayed by at most half of Settings::drainGrace, because a sidecar
// without the list misses pods that drain. A fleet that is no larger than the rate is not spread.
class ReconnectBackoff {
  public:
    // Exponential backoff without regard to the fleet: 50 ms before the first retry, then twice as long each
    // time up to maxWait.
    ReconnectBackoff(Nanos maxWait, std::uint32_t seed);
    // The same, with retries spread over the fleet.
    ReconnectBackoff(Nanos maxWait, std::uint32_t seed, const Settings& settings);

    Nanos initialDelay();                   // delay of a request that was not rejected before
    Nanos nextDelay(Nanos retryAfter = 0);  // after a failure; `retryAfter`: from the rejection
    void reset();                           // the watch has received data: the backoff starts over

  private:
    Nanos randomPart(Nanos span);  // between 0 and `span`

    Nanos maxWait_, wait_, fleetRound_ = 0, firstSpread_ = 0, spread_ = 0;
    std::mt19937 random_;
};

// Rendezvous hashing: the `count` items of lowest key (all if there are fewer), lowest first. Keys must be
// unique, so that the choice does not depend on the order of `items`.
template <typename Item, typename Key>
std::vector<Item> lowest(const std::vector<Item>& items, std::size_t count, Key key) {
    std::vector<std::pair<decltype(key(items.front())), Item>> ranked;
    ranked.reserve(items.size());
    for (const auto& item : items) ranked.emplace_back(key(item), item);
    count = std::min(count, ranked.size());
    const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(ranked.begin(), end, ranked.end(),
                      [](const auto& one, const auto& other) { return one.first < other.first; });
    std::vector<Item> chosen;
    for (auto at = ranked.begin(); at != end; ++at) chosen.push_back(at->second);
    return chosen;
}

// The `size` pods that `sidecar` prefers, sorted by id. The choice depends on the pods' ids only.
std::vector<Pod*> subset(const std::vector<Pod*>& pods, std::uint32_t sidecar, std::size_t size);

}  // namespace lichenlanding::limits
