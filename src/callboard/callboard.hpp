// The news that a foyer serves by: the configuration, the rollouts, the list of pods. Prompters push what
// changes; foyers that watch each other compare what they hold by digests over ranges, and the older copy is
// mended from the newer. One room for all of them, so that a foyer cut off from every prompter hears from its
// neighbours what it would have heard from those.
//
// Pure: time comes in as an argument, messages come and go as JSON values, in any order, doubled or lost.
// Nothing goes back: versions and numbers only rise, and a pod only goes from ready to draining to gone.
#pragma once

#include <array>
#include <functional>
#include <nlohmann/json.hpp>

#include "troupe/troupe.hpp"

namespace lichenlanding::callboard {

using Json = nlohmann::json;

// Pods are compared in so many ranges of the hash of their ids.
constexpr std::size_t ranges = 16;

class Callboard {
  public:
    // What is done with what is newer. `configuration` gets the bytes as they travel (squeezed).
    struct Reader {
        std::function<void(const std::string& squeezed)> configuration;
        std::function<void(const std::string& text)> rollouts;
        std::function<void(const troupe::Event&)> pod;
    };
    // A follower (a foyer, heard by a prompter) is told what it lacks and asked for nothing: the register and
    // the platform are the prompters' sources.
    enum class From { prompter, neighbour, follower };
    using Reply = std::function<void(Json)>;  // down the connection that the message came by

    explicit Callboard(Reader reader) : reader_(std::move(reader)) {}

    // What a prompter knows of itself. `number` of the newest order's change.
    void configuration(std::uint32_t version, std::string squeezed);
    void rollouts(std::int64_t number, std::string text);
    // A whole list as the platform gave it at `stamp` (ms of wall clock): the change to be pushed, or null.
    Json list(const std::vector<troupe::Member>& members, std::int64_t stamp);
    void unlisted() { listed_ = false; }  // its list is no longer kept up to date

    // What there is, in short: to be told at the start of a connection and from time to time.
    Json digest() const;
    Json cue() const;    // the numbers alone
    Json order() const;  // the rollouts, whole
    // "digest", "want", "configuration", "rollouts", "pods"; false where the message is none of these.
    bool heard(const Json& message, From from, Nanos now, const Reply& reply);

    std::uint32_t version() const { return version_; }
    bool listed() const { return listed_; }
    const troupe::Troupe& troupe() const { return troupe_; }

  private:
    void compare(const Json& theirs, From from, Nanos now, const Reply& reply);
    void answer(const Json& want, const Reply& reply) const;
    void take(const Json& pods, From from, const Reply& reply);
    const std::array<std::uint64_t, ranges>& sums() const;
    void apply(const troupe::Event& event);

    Reader reader_;
    std::uint32_t version_ = 0;
    std::string squeezed_;
    std::int64_t number_ = -1;
    std::string rollouts_;
    troupe::Troupe troupe_;
    std::int64_t stamp_ = 0;   // ms of wall clock: when the list that the copy follows was asked for
    std::int64_t change_ = 0;  // the stamp of the last change of it: changes name the one before them
    bool listed_ = false;
    std::uint32_t asked_ = 0;  // for this version, last
    Nanos askedAt_ = 0;
    mutable std::array<std::uint64_t, ranges> sums_{};
    mutable bool summed_ = true;
};

}  // namespace lichenlanding::callboard
