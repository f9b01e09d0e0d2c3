#include "limits/process_limits.hpp"

#include <algorithm>

namespace lichenlanding::limits {
namespace {

constexpr std::size_t kMegabyte = 1 << 20;
constexpr int kDefaultMemoryMegabytes = 256;
constexpr int kDefaultDescriptors = 4096;

// The part of the descriptors that is kept for files, peers, probes and the platform: one in kReservedShare.
constexpr std::size_t kReservedShare = 4;
constexpr std::size_t kMinClientConnections = 16;
// A change of the configuration is written beside the one in force, and copied when the members change.
constexpr std::size_t kMinStoreBytes = 6 * kMaxStoredConfigurationBytes;
// Coroutine frames, parser, socket and buffers of a connection, besides its header.
constexpr std::size_t kConnectionBytes = 48 << 10;
constexpr std::size_t kHeaderCopies = 3;  // as received, parsed, and as sent to a pod

}  // namespace

MachineLimits MachineLimits::fromSettings(int memoryMegabytes, int maxDescriptors) {
    const int megabytes = memoryMegabytes > 0 ? memoryMegabytes : kDefaultMemoryMegabytes;
    const int descriptors = maxDescriptors > 0 ? maxDescriptors : kDefaultDescriptors;
    return {static_cast<std::size_t>(megabytes) * kMegabyte, static_cast<std::size_t>(descriptors)};
}

std::size_t proxyBufferBytes(const MachineLimits& machine) { return machine.memoryBytes / 5; }

std::size_t maxClientConnections(const MachineLimits& machine, std::size_t headerBytes) {
    const auto byMemory = machine.memoryBytes / 2 / (kConnectionBytes + kHeaderCopies * headerBytes);
    const auto unreserved = machine.descriptors - machine.descriptors / kReservedShare;
    const auto byDescriptors = unreserved / 2;  // each request may need a connection to a pod as well
    return std::max(std::min(byMemory, byDescriptors), kMinClientConnections);
}

ControlPlaneLimits controlPlaneLimits(const MachineLimits& machine) {
    const auto memory = machine.memoryBytes;
    return {memory / 16, memory / 8, memory / 8, std::max(memory / 4, kMinStoreBytes)};
}

}  // namespace lichenlanding::limits
