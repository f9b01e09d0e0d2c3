// Choice of the next mirror, refresh schedule and retry budget. Free of I/O: the caller passes the time and
// the random seeds.
#pragma once

#include <optional>
#include <random>
#include <string>
#include <vector>

#include "state.hpp"

namespace lichenlanding::metadata {

/// The state of all mirrors. A refresh uses one mirror as long as it works, since two mirrors may serve
/// metadata of different age. A document is requested from one mirror at a time, and once from each. Fetches
/// are idempotent, but a budget limits the retries of a refresh so that they do not amplify an outage.
class Mirrors {
  public:
    Mirrors(std::vector<std::string> names, std::uint32_t seed);

    /// The mirror in use if it was not tried yet for this document, else the untried one whose backoff ended
    /// first; never a draining one. If all are in backoff, the first attempt for a document uses the one
    /// whose backoff ends first, so that a backoff does not become an outage. Empty if there is none.
    std::optional<std::size_t> choose(Nanos now, const std::vector<bool>& tried) const;

    /// A document of this mirror was accepted.
    void recordSuccess(std::size_t mirror);
    /// Starts a backoff with jitter; it doubles with each consecutive failure.
    void recordFailure(std::size_t mirror, Nanos now);
    /// The mirror sent "Retry-After".
    void backOffUntil(std::size_t mirror, Nanos until);
    void setDraining(std::size_t mirror, bool draining);

    std::size_t size() const { return mirrors_.size(); }
    const std::string& name(std::size_t mirror) const { return mirrors_[mirror].name; }
    bool draining(std::size_t mirror) const { return mirrors_[mirror].draining; }

  private:
    struct Mirror {
        std::string name;
        Nanos backoffUntil = 0;
        int failures = 0;  // consecutive
        bool draining = false;
    };
    std::vector<Mirror> mirrors_;
    std::vector<std::size_t> order_;  // shuffled, so that sidecars spread over the mirrors
    std::optional<std::size_t> current_;
    std::mt19937 random_;
};

/// Timeouts for one document from one mirror.
struct FetchTimeouts {
    Nanos connect = 2'000'000'000;
    Nanos response = 30'000'000'000;  ///< until the response is complete, whatever its size
};

/// When the next refresh is due.
class RefreshSchedule {
  public:
    struct Intervals {
        Nanos regular = 60'000'000'000;    ///< while refreshes succeed; with a jitter of 10% either way
        Nanos minBackoff = 1'000'000'000;  ///< after a failure; doubles with each consecutive one
        Nanos maxBackoff = 60'000'000'000;
    };

    RefreshSchedule(const Intervals& intervals, std::uint32_t seed) : intervals_(intervals), random_(seed) {}

    /// Time until the next refresh: the regular interval, or a third to a half of the time until the metadata
    /// expire (`validFor`) if that is shorter.
    Nanos afterSuccess(Nanos validFor);
    /// Time until the next refresh: at random between half of the backoff and all of it, but at most half of
    /// the time until the metadata expire.
    Nanos afterFailure(Nanos validFor);
    int failures() const { return failures_; }  ///< consecutive

  private:
    Nanos spread(Nanos from, Nanos to);

    Intervals intervals_;
    std::mt19937 random_;
    int failures_ = 0;
};

/// Limits how often documents are requested again in one refresh.
class RetryBudget {
  public:
    explicit RetryBudget(std::size_t mirrors) : remaining_(static_cast<int>(4 + 2 * mirrors)) {}
    bool take() { return remaining_ > 0 && remaining_-- > 0; }

  private:
    int remaining_;
};

}  // namespace lichenlanding::metadata
