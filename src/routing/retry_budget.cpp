#include "routing/retry_budget.hpp"

#include <algorithm>

namespace lichenlanding::routing {
namespace {

constexpr Nanos kSecond = 1'000'000'000;
constexpr double kUsableFleetFraction = 0.85;  // of the fleet's budget that the proxies may spend together
constexpr double kHedgeFraction = 0.5;         // of a proxy's share that is open to hedged requests
// After a start, until other proxies that start as well are known.
constexpr Nanos kStartupDelay = 2 * kSecond;

}  // namespace

RetryBudget::Counts& RetryBudget::Window::countsAt(Nanos now) {
    const Nanos second = now / kSecond;
    if (newest_ == 0 || second - newest_ > static_cast<Nanos>(kSeconds)) {
        seconds_ = {};
        newest_ = second;
    }
    while (newest_ < second) seconds_[static_cast<std::size_t>(++newest_) % kSeconds] = {};
    return seconds_[static_cast<std::size_t>(newest_) % kSeconds];
}

// The window covers its oldest second only in part: that second's retries count, its requests don't.
RetryBudget::Counts RetryBudget::Window::sum(Nanos now, Nanos window) {
    countsAt(now);
    Counts sum;
    const auto count = std::min<Nanos>(window / kSecond, kSeconds - 1);
    for (Nanos age = 0; age <= count && age <= newest_; ++age) {
        const auto& counts = seconds_[static_cast<std::size_t>(newest_ - age) % kSeconds];
        if (age < count) sum.requests += counts.requests;
        sum.retries += counts.retries;
    }
    return sum;
}

void RetryBudget::setProxyCount(std::size_t proxies, Nanos now) {
    proxies_ = std::max<std::size_t>(proxies, 1);
    while (recentCounts_.size() > 1 && now - recentCounts_[1].first > window_) recentCounts_.pop_front();
    recentCounts_.emplace_back(now, proxies_);
}

// The number of proxies that share the slack: the highest number known within the window. After the loss of
// many proxies, or at a start, the others may come back and use their share of the same window.
std::size_t RetryBudget::proxiesSharingSlack(Nanos now) const {
    std::size_t highest = 1;
    for (std::size_t index = 0; index < recentCounts_.size(); ++index)
        if (index + 1 == recentCounts_.size() || now - recentCounts_[index + 1].first <= window_)
            highest = std::max(highest, recentCounts_[index].second);
    return highest;
}

void RetryBudget::countRequest(const std::string& service, Nanos now) {
    windows_[service].countsAt(now).requests += 1;
}

void RetryBudget::countRetry(const std::string& service, Nanos now) {
    windows_[service].countsAt(now).retries += 1;
}

bool RetryBudget::allows(const std::string& service, bool hedged, Nanos now) {
    const auto counts = windows_[service].sum(now, window_);
    // Shortly after a start the number of proxies that share the slack is not known yet.
    const bool settled = !recentCounts_.empty() && now - recentCounts_.front().first >= kStartupDelay;
    const double slack = settled ? slack_ / static_cast<double>(proxiesSharingSlack(now)) : 0;
    const double allowed = (ratio_ * counts.requests + slack) * kUsableFleetFraction;
    return counts.retries + 1 <= allowed * (hedged ? kHedgeFraction : 1);
}

}  // namespace lichenlanding::routing
