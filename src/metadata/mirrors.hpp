// Which mirror is asked next, when a refresh is due, and how often anything is asked again. Pure: time and
// chance come in.
//
// A refresh keeps to one mirror as long as it answers well, since two may hold sets of different age. Every
// document is asked for at one mirror at a time, and at each mirror once. Fetches are repeatable; still,
// asking again is bounded by a budget for each refresh, so that an outage is not multiplied.
#pragma once

#include <optional>
#include <random>
#include <string>
#include <vector>

#include "state.hpp"

namespace lichenlanding::metadata {

class Mirrors {
  public:
    Mirrors(std::vector<std::string> names, std::uint32_t seed);

    // Of the mirrors not tried yet for this document: the one in use, else the one that has rested longest
    // past its rest. Never one that drains. If all others still rest, the one whose rest ends first is asked
    // all the same for a document's first try: resting must not become silence.
    std::optional<std::size_t> choose(Nanos now, const std::vector<bool>& tried) const;

    void answered(std::size_t mirror);            // well, and what it gave was accepted
    void failed(std::size_t mirror, Nanos now);   // rests, each time in a row twice as long, spread by chance
    void rests(std::size_t mirror, Nanos until);  // by its own word ("Retry-After")
    void drains(std::size_t mirror, bool draining);

    std::size_t size() const { return mirrors_.size(); }
    const std::string& name(std::size_t mirror) const { return mirrors_[mirror].name; }
    bool draining(std::size_t mirror) const { return mirrors_[mirror].draining; }

  private:
    struct Mirror {
        std::string name;
        Nanos restsUntil = 0;
        int failures = 0;  // in a row
        bool draining = false;
    };
    std::vector<Mirror> mirrors_;
    std::vector<std::size_t> order_;  // by chance, so that sidecars spread over the mirrors
    std::optional<std::size_t> inUse_;
    std::mt19937 chance_;
};

// How long one mirror is waited for, at one document.
struct Patience {
    Nanos connectWithin = 2'000'000'000;
    Nanos within = 30'000'000'000;  // the whole answer, whatever its size: a slow one ends there
};

// When the next refresh is due.
class Rhythm {
  public:
    struct Figures {
        Nanos every = 60'000'000'000;     // while all is well; spread by a tenth either way
        Nanos leastWait = 1'000'000'000;  // after a failure; twice as long each time in a row
        Nanos mostWait = 60'000'000'000;
    };

    Rhythm(const Figures& figures, std::uint32_t seed) : figures_(figures), chance_(seed) {}

    // The earlier of the usual wait and a third to a half of the time that what is trusted still lasts.
    Nanos afterSuccess(Nanos lasts);
    // Full spread between half of the wait and all of it; never later than half of what still lasts.
    Nanos afterFailure(Nanos lasts);
    int failures() const { return failures_; }  // in a row

  private:
    Nanos spread(Nanos from, Nanos to);

    Figures figures_;
    std::mt19937 chance_;
    int failures_ = 0;
};

// How often documents may be asked for again in one refresh.
class Budget {
  public:
    explicit Budget(std::size_t mirrors) : left_(static_cast<int>(4 + 2 * mirrors)) {}
    bool take() { return left_ > 0 && left_-- > 0; }

  private:
    int left_;
};

}  // namespace lichenlanding::metadata
