// What one sidecar may spend by itself, so that the sidecars of a tier together stay within what the pods
// take.
//
// A sidecar of a fleet sees few hits: what it learns alone comes late, and what it does alone is paid
// hundreds of times over. Two bounds follow (docs/design/fleet.md):
//
//   - probes: a pod is probed about `probesPerPod` times a second by all sidecars together, so one sidecar
//     may send `probesPerPod * pods / sidecars` a second, through a bucket that smooths bursts;
//   - pods met: each sidecar prefers a small subset of the pods, drawn by rendezvous hashing of its index and
//     the pod's id, large enough that every pod is in the subsets of about `sidecarsPerPod` sidecars. A pod
//     stays in a sidecar's subset while it is listed; only pods that come or go move the others.
//
// Pure: no clock, no I/O; times come in as arguments (monotonic nanoseconds), ids as numbers that every
// sidecar sees alike. Throws std::invalid_argument for figures out of range, nothing else.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "state.hpp"

namespace lichenlanding::limits {

constexpr double probesPerPod = 1.0;   // a second, by all sidecars of a tier together
constexpr double sidecarsPerPod = 24;  // whose subsets hold a pod, about
constexpr std::size_t leastSubset =
    6;  // pods a sidecar prefers at least, so that a few lost ones leave choice

// Tokens that come at a steady rate up to a burst. The first take finds the bucket full.
class Bucket {
  public:
    // perSecond >= 0, burst >= 1.
    Bucket(double perSecond, double burst);

    // One token, if one is there at `now` (monotonic nanoseconds; a time before the last one counts as it).
    bool take(Nanos now);
    void rate(double perSecond);  // from now on; what is in the bucket stays
    double perSecond() const { return perSecond_; }

  private:
    void fill(Nanos now);

    double perSecond_, burst_, tokens_;
    Nanos at_ = -1;
};

// Probes a second for one of `sidecars` sidecars before `pods` pods. 0 where there are no pods.
double probeRate(std::size_t pods, int sidecars);

// How many pods one of `sidecars` sidecars prefers among `pods`: all of them in a small tier.
std::size_t subsetSize(std::size_t pods, int sidecars);

// Rendezvous weight of a pod for a sidecar: the same on every machine, spread evenly over 64 bits.
std::uint64_t weight(std::uint32_t sidecar, std::uint32_t pod);

// The `size` pods of highest weight for `sidecar`, in the order of `pods`; all of them if there are no more.
// `pods` may be in any order; the choice depends on their ids alone.
std::vector<Pod*> subset(const std::vector<Pod*>& pods, std::uint32_t sidecar, std::size_t size);

}  // namespace lichenlanding::limits
