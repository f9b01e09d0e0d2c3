// Messages between sidecars and their binary encoding.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lichenlanding {

constexpr std::size_t kMaxMessageBytes = 256;
constexpr int kLatencyBins = 10;

/// Outcomes of one path group on one side, counted since the build on trial was first seen.
struct SideCounts {
    std::array<std::uint32_t, kLatencyBins>
        bins{};  ///< by latency; the last one: errors, time-outs, flagged responses
    std::uint32_t errored = 0, flagged = 0;  ///< of the outcomes in the last bin
    /// Outcomes in no bin: for the new build those of warming pods, for earlier builds the requests shed.
    std::uint32_t unranked = 0;
};

/// The sides: the build on trial, the earlier builds since it was seen, and all builds before it was seen.
using GroupCounts = std::array<SideCounts, 3>;

/// Statistics of one pod. Sent to the voters: the number of attempts and the sum of their slowness. Sent by
/// voters: the pod's slowness relative to the mean of all pods. Slowness is in units of 1/64.
struct PodReport {
    std::uint32_t id = 0, attempts = 0, slowness = 0;
};

/// A message to peers. Receivers ignore messages of other builds than their own build on trial.
struct Message {
    /// counts: outcomes of the sender, to the voters. verdict: a voter's verdict. pods: statistics of the
    /// sender, to the voters. view: a voter's view of slow pods.
    enum class Kind : std::uint8_t { counts = 1, verdict = 2, pods = 3, view = 4 };
    Kind kind = Kind::counts;
    std::uint32_t epoch = 0;  ///< random at each start of the sender; tells restarts apart
    std::uint32_t seq = 0;    ///< incremented with each message
    std::uint32_t build = 0;
    std::uint32_t verdict = 0;     ///< a Verdict; only in messages of kind `verdict`
    std::uint32_t firstGroup = 0;  ///< the path group of groups[0]; only in messages of kind `counts`
    std::vector<GroupCounts> groups;
    std::vector<PodReport> pods;
};

std::string encode(const Message& message);

/// Splits the path groups over as many messages as they need, each of at most kMaxMessageBytes.
std::vector<std::string> encodeCounts(Message header, const std::vector<GroupCounts>& groups);

/// The same for pod reports; each message takes the next `seq`.
std::vector<std::string> encodePods(Message header, const std::vector<PodReport>& pods, std::uint32_t& seq);

/// Returns nothing if the bytes are malformed, truncated or of an unknown version.
std::optional<Message> decode(const std::string& bytes);

}  // namespace lichenlanding
