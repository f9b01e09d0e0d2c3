#include "metadata/mirrors.hpp"

#include <algorithm>
#include <numeric>

namespace lichenlanding::metadata {
namespace {

constexpr Nanos second = 1'000'000'000;
constexpr Nanos firstRest = second, longestRest = 300 * second;

Nanos between(std::mt19937& chance, Nanos from, Nanos to) {
    if (to <= from) return from;
    return from + static_cast<Nanos>(static_cast<double>(to - from) *
                                     (static_cast<double>(chance()) / 4294967296.0));
}

Nanos doubled(Nanos first, int times, Nanos most) {
    for (int time = 0; time < times && first < most; ++time) first *= 2;
    return std::min(first, most);
}

}  // namespace

Mirrors::Mirrors(std::vector<std::string> names, std::uint32_t seed) : order_(names.size()), chance_(seed) {
    for (auto& name : names) mirrors_.push_back({std::move(name)});
    std::iota(order_.begin(), order_.end(), 0);
    for (std::size_t last = order_.size(); last > 1; --last)
        std::swap(order_[last - 1], order_[chance_() % last]);
}

std::optional<std::size_t> Mirrors::choose(Nanos now, const std::vector<bool>& tried) const {
    const auto may = [&](std::size_t mirror) { return !tried[mirror] && !mirrors_[mirror].draining; };
    if (inUse_ && may(*inUse_) && mirrors_[*inUse_].restsUntil <= now) return inUse_;
    std::optional<std::size_t> best;
    for (const auto mirror : order_)
        if (may(mirror) && (!best || mirrors_[mirror].restsUntil < mirrors_[*best].restsUntil)) best = mirror;
    const bool first = std::none_of(tried.begin(), tried.end(), [](bool one) { return one; });
    if (best && mirrors_[*best].restsUntil > now && !first) return {};
    return best;
}

void Mirrors::answered(std::size_t mirror) {
    mirrors_[mirror].failures = 0, mirrors_[mirror].restsUntil = 0;
    inUse_ = mirror;
}

void Mirrors::failed(std::size_t mirror, Nanos now) {
    auto& one = mirrors_[mirror];
    const auto rest = doubled(firstRest, one.failures, longestRest);
    ++one.failures;
    one.restsUntil = std::max(one.restsUntil, now + between(chance_, rest / 2, rest));
    if (inUse_ == mirror) inUse_.reset();
}

void Mirrors::rests(std::size_t mirror, Nanos until) {
    auto& one = mirrors_[mirror];
    one.restsUntil = std::max(one.restsUntil, until);
    if (inUse_ == mirror) inUse_.reset();
}

void Mirrors::drains(std::size_t mirror, bool draining) {
    mirrors_[mirror].draining = draining;
    if (draining && inUse_ == mirror) inUse_.reset();
}

Nanos Rhythm::spread(Nanos from, Nanos to) { return between(chance_, from, to); }

Nanos Rhythm::afterSuccess(Nanos lasts) {
    failures_ = 0;
    const auto usual = spread(figures_.every - figures_.every / 10, figures_.every + figures_.every / 10);
    const auto ahead = spread(lasts / 3, lasts / 2);
    return std::max(std::min(usual, ahead), figures_.leastWait);
}

Nanos Rhythm::afterFailure(Nanos lasts) {
    const auto wait = doubled(figures_.leastWait, failures_, figures_.mostWait);
    ++failures_;
    const auto ahead = lasts > 0 ? std::max(lasts / 2, figures_.leastWait) : wait;
    return std::min(spread(wait / 2, wait), ahead);
}

}  // namespace lichenlanding::metadata
