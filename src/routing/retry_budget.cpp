#include "routing/retry_budget.hpp"

#include <algorithm>

namespace lichenlanding::routing {
namespace {

constexpr Nanos kSecond = 1'000'000'000;
constexpr double kFleetPart = 0.85;  // of the fleet's budget that proxies spend, each its own share of it
constexpr double kHedgePart = 0.5;   // of a proxy's share, which hedged requests may take
constexpr Nanos kSettleFor = 2 * kSecond;  // after a start, until the others that start as well are known

}  // namespace

RetryBudget::Counts& RetryBudget::Window::at(Nanos now) {
    const Nanos second = now / kSecond;
    if (newest_ == 0 || second - newest_ > static_cast<Nanos>(kSeconds)) {
        seconds_ = {};
        newest_ = second;
    }
    while (newest_ < second) seconds_[static_cast<std::size_t>(++newest_) % kSeconds] = {};
    return seconds_[static_cast<std::size_t>(newest_) % kSeconds];
}

// Of the oldest second, which the window covers in part, the retries count and the requests don't.
RetryBudget::Counts RetryBudget::Window::sum(Nanos now, Nanos window) {
    at(now);
    Counts sum;
    const auto count = std::min<Nanos>(window / kSecond, kSeconds - 1);
    for (Nanos back = 0; back <= count && back <= newest_; ++back) {
        const auto& counts = seconds_[static_cast<std::size_t>(newest_ - back) % kSeconds];
        if (back < count) sum.requests += counts.requests;
        sum.retries += counts.retries;
    }
    return sum;
}

void RetryBudget::setProxyCount(std::size_t proxies, Nanos now) {
    proxies_ = std::max<std::size_t>(proxies, 1);
    while (recentCounts_.size() > 1 && now - recentCounts_[1].first > window_) recentCounts_.pop_front();
    recentCounts_.emplace_back(now, proxies_);
}

// Among how many proxies the slack is shared. After a loss of many, or at a start, the others are on their
// way back and will count on their part of the same window: the most that were known within it.
std::size_t RetryBudget::sharedBy(Nanos now) const {
    std::size_t most = 1;
    for (std::size_t at = 0; at < recentCounts_.size(); ++at)
        if (at + 1 == recentCounts_.size() || now - recentCounts_[at + 1].first <= window_)
            most = std::max(most, recentCounts_[at].second);
    return most;
}

void RetryBudget::countRequest(const std::string& service, Nanos now) {
    windows_[service].at(now).requests += 1;
}

void RetryBudget::countRetry(const std::string& service, Nanos now) {
    windows_[service].at(now).retries += 1;
}

bool RetryBudget::allows(const std::string& service, bool hedged, Nanos now) {
    const auto counts = windows_[service].sum(now, window_);
    // At a start nobody knows yet among how many the slack is shared.
    const bool settled = !recentCounts_.empty() && now - recentCounts_.front().first >= kSettleFor;
    const double slack = settled ? slack_ / static_cast<double>(sharedBy(now)) : 0;
    const double allowed = (ratio_ * counts.requests + slack) * kFleetPart;
    return counts.retries + 1 <= allowed * (hedged ? kHedgePart : 1);
}

}  // namespace lichenlanding::routing
