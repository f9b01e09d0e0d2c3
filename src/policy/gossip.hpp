// The messages between sidecars, at most 256 bytes each. Encoding only: nothing here decides.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lichenlanding {

constexpr std::size_t maxMessage = 256;
constexpr int latencyBins = 10;

// Outcomes of one path group at one build, counted since the build on trial was first seen.
struct Tally {
    std::array<std::uint32_t, latencyBins>
        bins{};                              // the last one holds errors, time-outs and flagged answers
    std::uint32_t errored = 0, flagged = 0;  // of those in the last bin, outright errors and flagged ones
    std::uint32_t unranked = 0;  // in no bin: of the new build, outcomes of pods still warming; of
    // the earlier ones, hits bounced for want of room
};

// Of the build on trial, of the earlier builds meanwhile, and of all builds before it was first seen.
using Tallies = std::array<Tally, 3>;

// What was seen of one pod: to the voters, outcomes and their slowness; from them, how it compares.
struct PodNote {
    std::uint32_t id = 0, tries = 0, slowness = 0;
};

struct Message {
    enum class Kind : std::uint8_t { counts = 1, verdict = 2, pods = 3, view = 4 };
    Kind kind = Kind::counts;
    std::uint32_t epoch = 0;  // drawn at each start of the sender
    std::uint32_t seq = 0;    // rises by one with each sending
    std::uint32_t build = 0;
    std::uint32_t verdict = 0;
    std::uint32_t firstGroup = 0;
    std::vector<Tallies> groups;
    std::vector<PodNote> pods;
};

std::string encode(const Message& message);

// As many messages as the path groups need, each within the limit.
std::vector<std::string> encodeCounts(Message head, const std::vector<Tallies>& groups);

// The same for what was seen of pods; each message takes the next seq.
std::vector<std::string> encodePods(Message head, const std::vector<PodNote>& pods, std::uint32_t& seq);

// Nothing if the bytes are malformed, cut short or of an unknown version.
std::optional<Message> decode(const std::string& bytes);

}  // namespace lichenlanding
