/// What the processes of a run cost, as the kernel counts it: processor time, memory, connections, bytes.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "state.hpp"

namespace lichenlanding::scale_test {

/// One TCP connection's end.
struct Socket {
    std::string from, to;                           ///< "127.0.0.1:4711"
    std::uint64_t in = 0, out = 0;                  ///< bytes of payload received; sent and acknowledged
    std::uint64_t segmentsIn = 0, segmentsOut = 0;  ///< that carried payload
};

/// Established connections of this machine over IPv4 by inode. Empty where the kernel does not tell.
std::map<std::uint64_t, Socket> connections();

struct Cost {
    Nanos cpu = 0;
    std::uint64_t memory = 0, peak = 0;  ///< bytes resident
    std::vector<std::uint64_t> sockets;  ///< inodes
};

/// Of a process of ours. Zeros where it has gone.
Cost cost(pid_t id);

std::uint64_t resident(pid_t id);  ///< bytes

/// Bytes of memory that the machine has, and that are still available.
struct Memory {
    std::uint64_t total = 0, available = 0;
};
Memory memory();

/// Of one process between two readings, by whom it talks with.
struct Flow {
    int open = 0;  ///< at the second reading
    std::uint64_t in = 0, out = 0, segmentsIn = 0, segmentsOut = 0;
};

/// A reading of all processes of a run at one moment.
struct Reading {
    Nanos at = 0;
    std::map<std::string, Cost> costs;  ///< by process
    std::map<std::uint64_t, Socket> sockets;
    std::map<std::uint64_t, std::string> owners;  ///< inode: process

    static Reading take(const std::map<std::string, pid_t>& processes);
    /// What `process` exchanged since `before`, by role of the other end ("" where it is none of ours).
    /// Connections that ended in between are not counted from `before` on.
    std::map<std::string, Flow> flows(const Reading& before, const std::string& process,
                                      const std::map<std::string, std::string>& roles) const;
};

}  // namespace lichenlanding::scale_test
