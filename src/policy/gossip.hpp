// The encoding of messages between sidecars.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lichenlanding {

constexpr std::size_t kMaxMessageBytes = 256;
constexpr int kLatencyBins = 10;

/// Outcomes of one path group at one side, counted since the build on trial was first seen.
struct Tally {
    std::array<std::uint32_t, kLatencyBins> bins{};  ///< the last: errors, time-outs, flagged responses
    std::uint32_t errored = 0, flagged = 0;          ///< of those in the last bin
    /// In no bin: of the new build, outcomes of warming pods; of the earlier ones, requests shed.
    std::uint32_t unranked = 0;
};

/// The sides: the build on trial, the earlier builds since it was seen, and all builds before it was seen.
using Tallies = std::array<Tally, 3>;

/// What was seen of one pod. To the voters: attempts and the sum of their slowness. From them: how its
/// slowness compares to the mean. Slowness is in units of 1/64.
struct PodNote {
    std::uint32_t id = 0, attempts = 0, slowness = 0;
};

struct Message {
    enum class Kind : std::uint8_t { counts = 1, verdict = 2, pods = 3, view = 4 };
    Kind kind = Kind::counts;
    std::uint32_t epoch = 0;  ///< drawn at each start of the sender
    std::uint32_t seq = 0;    ///< rises by one with each message
    std::uint32_t build = 0;
    std::uint32_t verdict = 0;     ///< of kind `verdict`
    std::uint32_t firstGroup = 0;  ///< of kind `counts`: the path group of groups[0]
    std::vector<Tallies> groups;
    std::vector<PodNote> pods;
};

std::string encode(const Message& message);

/// As many messages as the path groups need, each of at most kMaxMessageBytes.
std::vector<std::string> encodeCounts(Message header, const std::vector<Tallies>& groups);

/// The same for notes on pods; each message takes the next `seq`.
std::vector<std::string> encodePods(Message header, const std::vector<PodNote>& pods, std::uint32_t& seq);

/// Nothing if the bytes are malformed, cut short or of an unknown version.
std::optional<Message> decode(const std::string& bytes);

}  // namespace lichenlanding
