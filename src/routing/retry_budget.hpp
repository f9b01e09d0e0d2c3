/// BUDGET: how many attempts beyond the first of their requests this proxy may send: its part of the fleet's
/// budget, by service, over a window. Pure: steady time in nanoseconds comes in as an argument. One thread,
/// its owner's.
#pragma once

#include <array>
#include <deque>
#include <map>
#include <string>
#include <utility>

#include "state.hpp"

namespace lichenlanding::routing {

class RetryBudget {
  public:
    /// Over `window`, the fleet may send `ratio` retries a request, and `slack` more.
    RetryBudget(double ratio, double slack, Nanos window) : ratio_(ratio), slack_(slack), window_(window) {}

    /// So many proxies (1 or more) are known, this one among them.
    void setProxyCount(std::size_t proxies, Nanos now);
    std::size_t proxyCount() const { return proxies_; }

    void countRequest(const std::string& service, Nanos now);
    void countRetry(const std::string& service, Nanos now);
    /// Whether one more retry is within the budget; `hedged`: it goes beside an attempt that is in flight.
    bool allows(const std::string& service, bool hedged, Nanos now);

  private:
    struct Counts {
        double requests = 0;
        double retries = 0;
    };
    // Counts by second, as far back as a window may reach.
    class Window {
      public:
        Counts& at(Nanos now);
        Counts sum(Nanos now, Nanos window);

      private:
        static constexpr std::size_t kSeconds = 32;
        std::array<Counts, kSeconds> seconds_{};
        Nanos newest_ = 0;  // the second of the newest counts; 0: none
    };

    std::size_t sharedBy(Nanos now) const;

    double ratio_, slack_;
    Nanos window_;
    std::size_t proxies_ = 1;
    std::deque<std::pair<Nanos, std::size_t>> recentCounts_;  // of proxies, and since when; over a window
    std::map<std::string, Window> windows_;                   // by service
};

}  // namespace lichenlanding::routing
