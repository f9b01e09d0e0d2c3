/// Logs how close the process has come to the memory limit of its machine. A process that is killed over the
/// limit leaves no other trace of the cause.
#pragma once

#include <cstddef>

namespace lichenlanding::transport {

/// The highest resident memory of this process so far, in bytes; 0 if the system does not tell.
std::size_t peakResidentBytes();

/// Logs `memory_peak` when the peak reaches half of the limit, and at each further tenth. Used from one
/// thread.
class MemoryLog {
  public:
    /// `limitMegabytes`: 0 if the machine has no limit; nothing is logged then.
    explicit MemoryLog(int limitMegabytes) : limitMegabytes_(limitMegabytes) {}
    /// Called periodically.
    void check();

  private:
    const int limitMegabytes_;
    int loggedTenths_ = 4;
};

}  // namespace lichenlanding::transport
