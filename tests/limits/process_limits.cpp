#include "limits/process_limits.hpp"

#include <doctest/doctest.h>

#include <initializer_list>

using namespace lichenlanding::limits;

namespace {

constexpr std::size_t kMegabyte = 1 << 20;
constexpr std::size_t kProgramBytes = 10 * kMegabyte;  // without any request

}  // namespace

TEST_CASE("proxy limits: connections and buffers together stay within the memory") {
    for (const int megabytes : {64, 160, 260, 1024}) {
        for (const std::size_t headerBytes : {std::size_t{0}, std::size_t{16} << 10, kMaxClientHeaderBytes}) {
            const auto machine = MachineLimits::fromSettings(megabytes, 1 << 20);
            const auto connections = maxClientConnections(machine, headerBytes);
            // A header as received, parsed and sent on; the first blocks of a request, a response and an
            // upload.
            const auto perConnection = 3 * headerBytes + 3 * kUnsharedBodyBytes;
            const auto most = proxyBufferBytes(machine) + connections * perConnection + kProgramBytes;
            CHECK(most < machine.memoryBytes);
            CHECK(connections >= 16);
        }
    }
}

TEST_CASE("maxClientConnections: clients leave as many descriptors for connections to pods") {
    for (const int descriptors : {100, 500, 4100}) {
        const auto connections = maxClientConnections(MachineLimits::fromSettings(4096, descriptors), 0);
        CHECK(2 * connections < static_cast<std::size_t>(descriptors));
    }
}

TEST_CASE("controlPlaneLimits: all parts together stay within the memory") {
    const auto machine = MachineLimits::fromSettings(256, 4096);
    const auto limits = controlPlaneLimits(machine);
    CHECK(limits.bodyBytes <= limits.receivedBytes);
    CHECK(limits.receivedBytes + limits.respondedBytes + limits.storeBytes <= machine.memoryBytes / 2);
}

TEST_CASE("MachineLimits: a machine without limits in its settings counts as a small one") {
    const auto machine = MachineLimits::fromSettings(0, 0);
    CHECK(machine.memoryBytes == 256 * kMegabyte);
    CHECK(machine.descriptors == 4096);
}
