#include "transport/memory_log.hpp"

#include <sys/resource.h>

#include "transport/log.hpp"

namespace lichenlanding::transport {
namespace {

constexpr std::size_t kKilobyte = 1024;
constexpr std::size_t kMegabyte = 1024 * kKilobyte;

}  // namespace

std::size_t peakResidentBytes() {
    rusage usage{};
    if (getrusage(RUSAGE_SELF, &usage) != 0 || usage.ru_maxrss < 0) return 0;
    return static_cast<std::size_t>(usage.ru_maxrss) * kKilobyte;
}

void MemoryLog::check() {
    if (limitMegabytes_ <= 0) return;
    const auto peakMegabytes = static_cast<int>(peakResidentBytes() / kMegabyte);
    const int tenths = 10 * peakMegabytes / limitMegabytes_;
    if (tenths <= loggedTenths_) return;
    loggedTenths_ = tenths;
    log("memory_peak", {{"megabytes", peakMegabytes}, {"limit", limitMegabytes_}});
}

}  // namespace lichenlanding::transport
