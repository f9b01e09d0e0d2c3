#include "limits/fleet.hpp"

#include <algorithm>
#include <cmath>
#include <stdexcept>

#include "policy/types.hpp"

namespace lichenlanding::limits {
namespace {

constexpr double kNanosPerSecond = 1e9;
constexpr Nanos kMinWait = 50'000'000;  // before the first retry of a watch
constexpr int kMaxRounds = 8;

// The finalizer of splitmix64: consecutive inputs give uncorrelated outputs.
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
        throw std::invalid_argument("token bucket: rate must be at least 0 and burst at least 1");
}

void TokenBucket::fill(Nanos now) {
    if (filledAt_ >= 0 && now > filledAt_)
        tokens_ =
            std::min(burst_, tokens_ + perSecond_ * static_cast<double>(now - filledAt_) / kNanosPerSecond);
    filledAt_ = std::max(filledAt_, now);
}

bool TokenBucket::take(Nanos now) {
    fill(now);
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
}

void TokenBucket::setRate(double perSecond) {
    if (!(perSecond >= 0)) throw std::invalid_argument("token bucket: rate must be at least 0");
    perSecond_ = perSecond;
}

double probeRate(std::size_t pods, int sidecars) {
    if (sidecars < 1) throw std::invalid_argument("probe rate: number of sidecars must be positive");
    return kProbesPerPod * static_cast<double>(pods) / sidecars;
}

std::size_t subsetSize(std::size_t pods, int sidecars) {
    if (sidecars < 1) throw std::invalid_argument("subset size: number of sidecars must be positive");
    const auto wanted =
        static_cast<std::size_t>(std::ceil(kSidecarsPerPod * static_cast<double>(pods) / sidecars));
    return std::min(pods, std::max(wanted, kMinSubsetSize));
}

Nanos queueDelay(std::uint64_t topic, std::uint32_t sidecar, int sidecars, double perSecond) {
    if (sidecars < 1 || !(perSecond > 0))
        throw std::invalid_argument("queue delay: number of sidecars and rate must be positive");
    const auto key = [topic](std::uint32_t index) { return std::pair(mix(mix(topic) ^ index), index); };
    const auto ownKey = key(sidecar);
    int before = 0;
    for (int other = 0; other < sidecars; ++other) before += key(static_cast<std::uint32_t>(other)) < ownKey;
    return static_cast<Nanos>(std::max(before + 1 - perSecond, 0.0) / perSecond * kNanosPerSecond);
}

ReconnectBackoff::ReconnectBackoff(Nanos maxWait, std::uint32_t seed)
    : maxWait_(maxWait), wait_(kMinWait), random_(seed) {}

ReconnectBackoff::ReconnectBackoff(Nanos maxWait, std::uint32_t seed, const Settings& settings)
    : ReconnectBackoff(maxWait, seed) {
    if (settings.sidecarCount <= settings.votesPerSecond) return;
    fleetRound_ = static_cast<Nanos>(settings.sidecarCount / settings.votesPerSecond * kNanosPerSecond);
    spread_ = firstSpread_ = std::min(fleetRound_, settings.drainGrace / 2);
}

Nanos ReconnectBackoff::randomPart(Nanos span) { return static_cast<Nanos>(random_() % 1000) * span / 1000; }

Nanos ReconnectBackoff::initialDelay() { return randomPart(firstSpread_); }

Nanos ReconnectBackoff::nextDelay(Nanos retryAfter) {
    const auto delay = retryAfter + wait_ / 2 + randomPart(wait_) + randomPart(spread_);
    wait_ = std::min(2 * wait_, maxWait_);
    spread_ = std::clamp(2 * spread_, fleetRound_, kMaxRounds * fleetRound_);
    return delay;
}

void ReconnectBackoff::reset() { wait_ = kMinWait, spread_ = firstSpread_; }

std::vector<Pod*> subset(const std::vector<Pod*>& pods, std::uint32_t sidecar, std::size_t size) {
    auto chosen = lowest(pods, size, [sidecar](const Pod* pod) {  // those of highest weight
        const auto weight = mix((static_cast<std::uint64_t>(sidecar) << 32 | pod->id) ^ mix(sidecar));
        return std::pair(~weight, ~pod->id);
    });
    std::sort(chosen.begin(), chosen.end(), [](auto* one, auto* other) { return one->id < other->id; });
    return chosen;
}

}  // namespace lichenlanding::limits
