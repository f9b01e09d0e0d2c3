// The memory and the descriptors of a process, as the system reports them.
#pragma once

#include <sys/types.h>

#include <filesystem>
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

// The number of open descriptors; -1 if the process has ended.
inline long descriptors(pid_t process) {
    std::error_code error;
    const std::filesystem::directory_iterator open("/proc/" + std::to_string(process) + "/fd", error);
    return error ? -1 : std::distance(begin(open), end(open));
}

}  // namespace process_memory
