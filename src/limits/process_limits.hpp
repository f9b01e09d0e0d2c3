/// How the memory and the descriptors of a machine are divided within a gateway process. Their sum stays
/// below the machine's limits at any number and size of requests.
///
/// Pure: no I/O, no clock. Thread-safe.
#pragma once

#include <cstddef>

namespace lichenlanding::limits {

/// The limits of the machine for one process.
struct MachineLimits {
    std::size_t memoryBytes;
    std::size_t descriptors;

    /// From the settings `memory_mb` and `max_fds`; 0: not given, which counts as a small machine.
    static MachineLimits fromSettings(int memoryMegabytes, int maxDescriptors);
};

/// Of a proxy: what requests and responses in progress may buffer together, beyond what each connection has.
std::size_t proxyBufferBytes(const MachineLimits& machine);
/// Of a proxy: client connections that are open at the same time. `headerBytes`: the greatest header that a
/// client may send.
std::size_t maxClientConnections(const MachineLimits& machine, std::size_t headerBytes);

/// The greatest header that a proxy accepts, whatever the configuration allows.
constexpr std::size_t kMaxClientHeaderBytes = 256 << 10;
/// The part of a body that each request may buffer without a share of proxyBufferBytes().
constexpr std::size_t kUnsharedBodyBytes = 16 << 10;
/// The part of the memory of a message's parsed fields that needs no such share, beside max_header_bytes.
constexpr std::size_t kUnsharedFieldBytes = 16 << 10;
/// What a request in progress takes in addition to its header and its body.
constexpr std::size_t kRequestOverheadBytes = 24 << 10;

/// Of a control node.
struct ControlPlaneLimits {
    std::size_t bodyBytes;       ///< of one admin request
    std::size_t receivedBytes;   ///< of all admin requests in progress
    std::size_t respondedBytes;  ///< of all responses that their clients have not taken yet
    std::size_t storeBytes;      ///< of the address range that the store is mapped to
};
ControlPlaneLimits controlPlaneLimits(const MachineLimits& machine);

/// Of a configuration as it is stored and sent on, compressed. Every control node holds several copies while
/// it changes.
constexpr std::size_t kMaxStoredConfigurationBytes = 4 << 20;
/// Of the record of all rollouts, which is read and written whole.
constexpr std::size_t kMaxStoredRolloutsBytes = 1 << 20;
/// Of a request other than a new configuration.
constexpr std::size_t kMaxOrderBytes = 64 << 10;

}  // namespace lichenlanding::limits
