/// The fetch of one item by its version: at most one request is under way, however often newer versions are
/// announced meanwhile.
///
/// Without that, a change that comes faster than the item is transferred adds another copy of it to the
/// sender's queue each time, and the copy that arrives is older and older.
///
/// Pure: time is an argument, in nanoseconds of one monotonic clock. Not thread-safe.
#pragma once

#include <algorithm>
#include <cstdint>

#include "state.hpp"

namespace lichenlanding::subscription {

class PendingFetch {
  public:
    /// Records that some other process has this version.
    void onAnnounced(std::uint32_t version) { announced_ = std::max(announced_, version); }

    /// Whether to request the item now, while `held` is the version at hand. A request that was not answered
    /// is repeated, at growing intervals.
    bool isDue(std::uint32_t held, Nanos now) const {
        return announced_ > held && (!pending_ || now - requestedAt_ > timeout_);
    }

    /// Called when a request is sent.
    void onRequested(Nanos now) {
        timeout_ = pending_ ? std::min(2 * timeout_, kMaxTimeout) : kInitialTimeout;
        pending_ = true;
        requestedAt_ = now;
    }

    /// Whether to look for a sender, because a request is due and nobody has announced the version lately.
    /// True once in an interval.
    bool takeOverdue(std::uint32_t held, Nanos now) {
        if (!isDue(held, now) || now - requestedAt_ <= kMaxTimeout || now - lookedAt_ <= kMaxTimeout)
            return false;
        lookedAt_ = now;
        return true;
    }

    /// Called when the item arrives, in whichever version.
    void onArrived() { pending_ = false; }

    std::uint32_t announced() const { return announced_; }

  private:
    static constexpr Nanos kInitialTimeout = 400'000'000;
    static constexpr Nanos kMaxTimeout = 1'600'000'000;

    std::uint32_t announced_ = 0;  // the highest version
    bool pending_ = false;
    Nanos requestedAt_ = 0;
    Nanos lookedAt_ = 0;
    Nanos timeout_ = kInitialTimeout;
};

}  // namespace lichenlanding::subscription
