// The memory of a process, as the system reports it.
#pragma once

#include <sys/types.h>

#include <fstream>
#include <string>

namespace process_memory {

// The value of a field of /proc/PID/status such as "VmRSS" (resident now) or "VmHWM" (its peak), in
// megabytes; -1 if the process has ended.
inline long megabytes(pid_t process, const std::string& field) {
    constexpr long kKilobytes = 1024;
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    for (std::string line; std::getline(status, line);)
        if (line.starts_with(field + ":"))
            return std::stol(line.substr(line.find_first_of("0123456789"))) / kKilobytes;
    return -1;
}

}  // namespace process_memory
