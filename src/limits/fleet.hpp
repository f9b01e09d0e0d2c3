// What one sidecar may spend by itself, so that the sidecars of a tier together stay within what the pods
// take.
//
// A sidecar of a fleet sees few hits: what it learns alone comes late, and what it does alone is paid
// hundreds of times over. Two bounds follow (docs/design/fleet.md):
//
//   - probes: a pod is probed about `probesPerPod` times a second by all sidecars together, so one sidecar
//     may send `probesPerPod * pods / sidecars` a second, through a bucket that smooths bursts;
//   - pods met: each sidecar prefers a small subset of the pods, drawn by rendezvous hashing of its index and
//     the pod's id, large enough that every pod is in the subsets of about
//     `sidecarsPerPod` sidecars. A pod stays in a sidecar's subset while it is listed; only pods that come or
//     go move the others;
//   - votes: the platform takes `perSecond` calls from all sidecars together. Each sidecar has a place in a
//     queue drawn anew for every stage, and waits for its turn;
//   - openings of the watch on the list: spread over a round of the fleet.
//
// Pure: no clock, no I/O; times come in as arguments (monotonic nanoseconds), ids as numbers that every
// sidecar sees alike. Throws std::invalid_argument for figures out of range, nothing else.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <random>
#include <utility>
#include <vector>

#include "state.hpp"

namespace lichenlanding::limits {

constexpr double kProbesPerPod = 1.0;   // a second, by all sidecars of a tier together
constexpr double kSidecarsPerPod = 24;  // whose subsets hold a pod, about
// Pods a sidecar prefers at least, so that a few lost ones leave choice.
constexpr std::size_t kMinSubsetSize = 6;

// Tokens that come at a steady rate up to a burst. The first take finds the bucket full.
class TokenBucket {
  public:
    // perSecond >= 0, burst >= 1.
    TokenBucket(double perSecond, double burst);

    // One token, if one is there at `now` (monotonic nanoseconds; a time before the last one counts as it).
    bool take(Nanos now);
    void setRate(double perSecond);  // from now on; what is in the bucket stays

  private:
    void fill(Nanos now);

    double perSecond_, burst_, tokens_;
    Nanos at_ = -1;
};

// Probes a second for one of `sidecars` sidecars before `pods` pods. 0 where there are no pods.
double probeRate(std::size_t pods, int sidecars);

// How many pods one of `sidecars` sidecars prefers among `pods`: all of them in a small tier.
std::size_t subsetSize(std::size_t pods, int sidecars);

// How long one of `sidecars` sidecars waits with its call about `about` (a number that all know alike), so
// that no second brings the platform more than the `perSecond` calls it takes from all: the first second's
// calls go at once, the others in the order of a hash, at that rate. 0 in a tier that is no larger than the
// rate.
Nanos queueDelay(std::uint64_t about, std::uint32_t sidecar, int sidecars, double perSecond);

// When a watch that ended is opened again. Openings are calls that all sidecars make in one instant, since
// whatever cuts one off cuts off many; a party that is asked for more than it takes lets each wait and then
// turns it away, having worked for it all the same, and the next round finds it as busy. So openings that
// were refused come back over the time in which `perSecond` calls a second would take the whole fleet, each
// further time over twice as long, up to eight times. The first ones, at a start and after a loss, wait no
// longer than `within`: a sidecar that has not asked is held to what it would have been told. A tier no
// larger than the rate is not spread.
class ReconnectBackoff {
  public:
    // A watch of one sidecar that goes by itself: 50 ms before the second opening, then twice as long each
    // time up to longestWait.
    ReconnectBackoff(Nanos longestWait, std::uint32_t seed);
    // The watch on the list, spread over the fleet: `within` is half of the time that drains leave.
    ReconnectBackoff(Nanos longestWait, std::uint32_t seed, const Settings& told);

    Nanos initialDelay();                   // of an opening that nobody has refused
    Nanos nextDelay(Nanos retryAfter = 0);  // from an end, or a refusal that advises to wait so long
    void reset();                           // the watch has brought something: the next loss is a first one

  private:
    Nanos part(Nanos span);  // by chance

    Nanos longestWait_, wait_, round_ = 0, within_ = 0, spread_ = 0;
    std::mt19937 chance_;
};

// Rendezvous hashing: the `count` items of lowest key (all if there are no more), lowest first. Keys are told
// apart to the last, so the choice does not depend on the order of `items`.
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

// The `size` pods that `sidecar` prefers, by id; the choice depends on the pods' ids alone.
std::vector<Pod*> subset(const std::vector<Pod*>& pods, std::uint32_t sidecar, std::size_t size);

}  // namespace lichenlanding::limits
