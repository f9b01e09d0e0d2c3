#include "limits/fleet.hpp"

#include <algorithm>
#include <cmath>
#include <stdexcept>

#include "policy/types.hpp"

namespace lichenlanding::limits {
namespace {

constexpr double kNanosPerSecond = 1e9;
constexpr Nanos kFirstWait = 50'000'000;  // before a watch is opened a second time
constexpr int kRoundsAtMost = 8;

// splitmix64's finalizer: consecutive inputs give unrelated outputs.
std::uint64_t mix(std::uint64_t value) {
    value += 0x9e3779b97f4a7c15ULL;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

}  // namespace

TokenBucket::TokenBucket(double perSecond, double burst)
    : perSecond_(perSecond), burst_(burst), tokens_(burst) {
    if (!(perSecond >= 0) || !(burst >= 1))
        throw std::invalid_argument("bucket: rate below 0 or burst below 1");
}

void TokenBucket::fill(Nanos now) {
    if (at_ >= 0 && now > at_)
        tokens_ = std::min(burst_, tokens_ + perSecond_ * static_cast<double>(now - at_) / kNanosPerSecond);
    at_ = std::max(at_, now);
}

bool TokenBucket::take(Nanos now) {
    fill(now);
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
}

void TokenBucket::setRate(double perSecond) {
    if (!(perSecond >= 0)) throw std::invalid_argument("bucket: rate below 0");
    perSecond_ = perSecond;
}

double probeRate(std::size_t pods, int sidecars) {
    if (sidecars < 1) throw std::invalid_argument("probe rate: no sidecar");
    return kProbesPerPod * static_cast<double>(pods) / sidecars;
}

std::size_t subsetSize(std::size_t pods, int sidecars) {
    if (sidecars < 1) throw std::invalid_argument("subset: no sidecar");
    const auto wanted =
        static_cast<std::size_t>(std::ceil(kSidecarsPerPod * static_cast<double>(pods) / sidecars));
    return std::min(pods, std::max(wanted, kMinSubsetSize));
}

Nanos queueDelay(std::uint64_t about, std::uint32_t sidecar, int sidecars, double perSecond) {
    if (sidecars < 1 || !(perSecond > 0)) throw std::invalid_argument("turn: no sidecar, or no rate");
    const auto key = [about](std::uint32_t which) { return std::pair(mix(mix(about) ^ which), which); };
    const auto mine = key(sidecar);
    int before = 0;
    for (int other = 0; other < sidecars; ++other) before += key(static_cast<std::uint32_t>(other)) < mine;
    return static_cast<Nanos>(std::max(before + 1 - perSecond, 0.0) / perSecond * kNanosPerSecond);
}

ReconnectBackoff::ReconnectBackoff(Nanos longestWait, std::uint32_t seed)
    : longestWait_(longestWait), wait_(kFirstWait), chance_(seed) {}

ReconnectBackoff::ReconnectBackoff(Nanos longestWait, std::uint32_t seed, const Settings& told)
    : ReconnectBackoff(longestWait, seed) {
    if (told.sidecarCount <= told.votesPerSecond) return;
    round_ = static_cast<Nanos>(told.sidecarCount / told.votesPerSecond * kNanosPerSecond);
    spread_ = within_ = std::min(round_, told.drainGrace / 2);
}

Nanos ReconnectBackoff::part(Nanos span) { return static_cast<Nanos>(chance_() % 1000) * span / 1000; }

Nanos ReconnectBackoff::initialDelay() { return part(within_); }

Nanos ReconnectBackoff::nextDelay(Nanos retryAfter) {
    const auto waits = retryAfter + wait_ / 2 + part(wait_) + part(spread_);
    wait_ = std::min(2 * wait_, longestWait_);
    spread_ = std::clamp(2 * spread_, round_, kRoundsAtMost * round_);
    return waits;
}

void ReconnectBackoff::reset() { wait_ = kFirstWait, spread_ = within_; }

std::vector<Pod*> subset(const std::vector<Pod*>& pods, std::uint32_t sidecar, std::size_t size) {
    auto chosen = lowest(pods, size, [sidecar](const Pod* pod) {  // of highest weight
        const auto weight = mix((static_cast<std::uint64_t>(sidecar) << 32 | pod->id) ^ mix(sidecar));
        return std::pair(~weight, ~pod->id);
    });
    std::sort(chosen.begin(), chosen.end(), [](auto* one, auto* other) { return one->id < other->id; });
    return chosen;
}

}  // namespace lichenlanding::limits
