// Which mirror is used next, when a refresh is due, and how often requests are retried. Pure: time and random
// seeds come in.
#pragma once

#include <optional>
#include <random>
#include <string>
#include <vector>

#include "state.hpp"

namespace lichenlanding::metadata {

/// The state of all mirrors. A refresh keeps to one mirror as long as it works, since two may hold sets of
/// different age. Every document is requested from one mirror at a time, and from each mirror once. Fetches
/// are idempotent; still, retries are bounded by a budget for each refresh, so that an outage is not
/// multiplied.
class Mirrors {
  public:
    Mirrors(std::vector<std::string> names, std::uint32_t seed);

    /// Of the mirrors not tried yet for this document: the one in use, else the one whose backoff ended
    /// first. Never one that drains. If all others still back off, the one whose backoff ends first is used
    /// for a document's first attempt: a backoff must not become an outage.
    std::optional<std::size_t> choose(Nanos now, const std::vector<bool>& tried) const;

    /// What it gave was accepted.
    void recordSuccess(std::size_t mirror);
    /// It backs off, each time in a row twice as long, spread at random.
    void recordFailure(std::size_t mirror, Nanos now);
    /// By its own "Retry-After".
    void backOffUntil(std::size_t mirror, Nanos until);
    void setDraining(std::size_t mirror, bool draining);

    std::size_t size() const { return mirrors_.size(); }
    const std::string& name(std::size_t mirror) const { return mirrors_[mirror].name; }
    bool draining(std::size_t mirror) const { return mirrors_[mirror].draining; }

  private:
    struct Mirror {
        std::string name;
        Nanos backoffUntil = 0;
        int failures = 0;  // in a row
        bool draining = false;
    };
    std::vector<Mirror> mirrors_;
    std::vector<std::size_t> order_;  // random, so that sidecars spread over the mirrors
    std::optional<std::size_t> current_;
    std::mt19937 random_;
};

/// Of one document at one mirror.
struct FetchTimeouts {
    Nanos connect = 2'000'000'000;
    Nanos response = 30'000'000'000;  ///< complete, whatever its size
};

/// When the next refresh is due.
class RefreshSchedule {
  public:
    struct Intervals {
        Nanos regular = 60'000'000'000;    ///< while refreshes succeed; spread by a tenth either way
        Nanos minBackoff = 1'000'000'000;  ///< after a failure; twice as long each time in a row
        Nanos maxBackoff = 60'000'000'000;
    };

    RefreshSchedule(const Intervals& intervals, std::uint32_t seed) : intervals_(intervals), random_(seed) {}

    /// The earlier of the regular interval and a third to a half of the time until the metadata expire.
    Nanos afterSuccess(Nanos validFor);
    /// At random between half of the backoff and all of it; at most half of the time until the metadata
    /// expire.
    Nanos afterFailure(Nanos validFor);
    int failures() const { return failures_; }  ///< in a row

  private:
    Nanos spread(Nanos from, Nanos to);

    Intervals intervals_;
    std::mt19937 random_;
    int failures_ = 0;
};

/// How often documents may be requested again in one refresh.
class RetryBudget {
  public:
    explicit RetryBudget(std::size_t mirrors) : remaining_(static_cast<int>(4 + 2 * mirrors)) {}
    bool take() { return remaining_ > 0 && remaining_-- > 0; }

  private:
    int remaining_;
};

}  // namespace lichenlanding::metadata
