/// Guarantee BUDGET: limits the retries and hedged requests of this proxy to its part of the fleet's budget,
/// by service, over a sliding window.
///
/// Pure: steady time in nanoseconds is an argument. Not thread-safe.
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
    /// Within `window`, the fleet may send `ratio` retries per request, plus `slack` retries.
    RetryBudget(double ratio, double slack, Nanos window) : ratio_(ratio), slack_(slack), window_(window) {}

    /// Sets the number of known proxies, including this one.
    void setProxyCount(std::size_t proxies, Nanos now);
    std::size_t proxyCount() const { return proxies_; }

    void countRequest(const std::string& service, Nanos now);
    void countRetry(const std::string& service, Nanos now);
    /// Whether the budget allows one more retry; `hedged`: it is sent while another attempt is in flight.
    bool allows(const std::string& service, bool hedged, Nanos now);

  private:
    struct Counts {
        double requests = 0;
        double retries = 0;
    };
    // Counts per second, as far back as a window can reach.
    class Window {
      public:
        Counts& countsAt(Nanos now);
        Counts sum(Nanos now, Nanos window);

      private:
        static constexpr std::size_t kSeconds = 32;
        std::array<Counts, kSeconds> seconds_{};
        Nanos newest_ = 0;  // the second of the newest counts; 0: no counts yet
    };

    std::size_t proxiesSharingSlack(Nanos now) const;

    double ratio_, slack_;
    Nanos window_;
    std::size_t proxies_ = 1;
    // Numbers of proxies, each with its start time, within a window.
    std::deque<std::pair<Nanos, std::size_t>> recentCounts_;
    std::map<std::string, Window> windows_;  // by service
};

}  // namespace lichenlanding::routing
