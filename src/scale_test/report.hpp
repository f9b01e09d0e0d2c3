/// Summaries and tables of a run's figures. Pure functions.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "state.hpp"

namespace lichenlanding::scale_test {

/// Summary of times in nanoseconds: {"n", "median_ms", "p99_ms", "max_ms"}; null if there are none. The
/// p-quantile is the smallest value that at least a share p of the times do not exceed.
nlohmann::json summarizeTimes(std::vector<Nanos> times);

/// Formats a Markdown table; all columns but the first are right-aligned. Numbers are rounded to three
/// significant digits.
std::string markdownTable(const std::vector<std::string>& header,
                          const std::vector<std::vector<nlohmann::json>>& rows);

}  // namespace lichenlanding::scale_test
