/// Resource use of the processes of a run, as counted by the kernel: CPU time, memory, connections, bytes.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "state.hpp"

namespace lichenlanding::scale_test {

/// One end of a TCP connection.
struct Socket {
    std::string localAddress, remoteAddress;        ///< "127.0.0.1:4711"
    std::uint64_t bytesIn = 0, bytesOut = 0;        ///< payload received; payload sent and acknowledged
    std::uint64_t segmentsIn = 0, segmentsOut = 0;  ///< TCP segments with payload
};

/// Established IPv4 connections of this machine by socket inode. Empty if the kernel does not report them.
std::map<std::uint64_t, Socket> tcpConnections();

struct ProcessUsage {
    Nanos cpu = 0;
    std::uint64_t memory = 0, peakMemory = 0;  ///< resident bytes
    std::vector<std::uint64_t> sockets;        ///< inodes
};

/// Resource use of a process of the same user. All zero if the process has ended.
ProcessUsage processUsage(pid_t id);

std::uint64_t residentMemory(pid_t id);  ///< bytes

/// Memory of the machine in bytes.
struct SystemMemory {
    std::uint64_t total = 0, available = 0;
};
SystemMemory systemMemory();

/// Traffic of one process between two readings, with peers of one role.
struct Flow {
    int open = 0;  ///< connections at the second reading
    std::uint64_t bytesIn = 0, bytesOut = 0, segmentsIn = 0, segmentsOut = 0;
};

/// A reading of all processes of a run at one moment.
struct UsageReading {
    Nanos at = 0;
    std::map<std::string, ProcessUsage> usage;  ///< by process
    std::map<std::uint64_t, Socket> sockets;
    std::map<std::uint64_t, std::string> owners;  ///< process by socket inode

    static UsageReading capture(const std::map<std::string, pid_t>& processes);
    /// Traffic of `process` since `before`, by the role of the peer ("" if the peer is no process of the
    /// run). Excludes connections that closed in between.
    std::map<std::string, Flow> flows(const UsageReading& before, const std::string& process,
                                      const std::map<std::string, std::string>& roles) const;
};

}  // namespace lichenlanding::scale_test
