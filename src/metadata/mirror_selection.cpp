#include "metadata/mirror_selection.hpp"

#include <algorithm>
#include <numeric>

namespace lichenlanding::metadata {
namespace {

constexpr Nanos kSecond = 1'000'000'000;
constexpr Nanos kMinBackoff = kSecond, kMaxBackoff = 300 * kSecond;

Nanos randomBetween(std::mt19937& random, Nanos from, Nanos to) {
    if (to <= from) return from;
    return from + static_cast<Nanos>(static_cast<double>(to - from) *
                                     (static_cast<double>(random()) / 4294967296.0));
}

Nanos exponential(Nanos initial, int doublings, Nanos maximum) {
    for (int time = 0; time < doublings && initial < maximum; ++time) initial *= 2;
    return std::min(initial, maximum);
}

}  // namespace

Mirrors::Mirrors(std::vector<std::string> names, std::uint32_t seed) : order_(names.size()), random_(seed) {
    for (auto& name : names) mirrors_.push_back({std::move(name)});
    std::iota(order_.begin(), order_.end(), 0);
    for (std::size_t last = order_.size(); last > 1; --last)
        std::swap(order_[last - 1], order_[random_() % last]);
}

std::optional<std::size_t> Mirrors::choose(Nanos now, const std::vector<bool>& tried) const {
    const auto isUsable = [&](std::size_t mirror) { return !tried[mirror] && !mirrors_[mirror].draining; };
    if (current_ && isUsable(*current_) && mirrors_[*current_].backoffUntil <= now) return current_;
    std::optional<std::size_t> best;
    for (const auto mirror : order_)
        if (isUsable(mirror) && (!best || mirrors_[mirror].backoffUntil < mirrors_[*best].backoffUntil))
            best = mirror;
    const bool firstAttempt =
        std::none_of(tried.begin(), tried.end(), [](bool wasTried) { return wasTried; });
    if (best && mirrors_[*best].backoffUntil > now && !firstAttempt) return {};
    return best;
}

void Mirrors::recordSuccess(std::size_t mirror) {
    mirrors_[mirror].failures = 0;
    mirrors_[mirror].backoffUntil = 0;
    current_ = mirror;
}

void Mirrors::recordFailure(std::size_t mirror, Nanos now) {
    auto& state = mirrors_[mirror];
    const auto backoff = exponential(kMinBackoff, state.failures, kMaxBackoff);
    ++state.failures;
    state.backoffUntil = std::max(state.backoffUntil, now + randomBetween(random_, backoff / 2, backoff));
    if (current_ == mirror) current_.reset();
}

void Mirrors::backOffUntil(std::size_t mirror, Nanos until) {
    auto& state = mirrors_[mirror];
    state.backoffUntil = std::max(state.backoffUntil, until);
    if (current_ == mirror) current_.reset();
}

void Mirrors::setDraining(std::size_t mirror, bool draining) {
    mirrors_[mirror].draining = draining;
    if (draining && current_ == mirror) current_.reset();
}

Nanos RefreshSchedule::spread(Nanos from, Nanos to) { return randomBetween(random_, from, to); }

Nanos RefreshSchedule::afterSuccess(Nanos validFor) {
    failures_ = 0;
    const auto regular =
        spread(intervals_.regular - intervals_.regular / 10, intervals_.regular + intervals_.regular / 10);
    const auto beforeExpiry = spread(validFor / 3, validFor / 2);
    return std::max(std::min(regular, beforeExpiry), intervals_.minBackoff);
}

Nanos RefreshSchedule::afterFailure(Nanos validFor) {
    const auto backoff = exponential(intervals_.minBackoff, failures_, intervals_.maxBackoff);
    ++failures_;
    const auto beforeExpiry = validFor > 0 ? std::max(validFor / 2, intervals_.minBackoff) : backoff;
    return std::min(spread(backoff / 2, backoff), beforeExpiry);
}

}  // namespace lichenlanding::metadata
