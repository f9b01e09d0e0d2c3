/// Figures of a run put together. Pure.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "state.hpp"

namespace lichenlanding::scale_test {

/// Of times in nanoseconds: {"n", "median_ms", "p99_ms", "max_ms"}; null where there are none. The p-quantile
/// is the smallest value that at least p of all do not exceed.
nlohmann::json spread(std::vector<Nanos> times);

/// A table in Markdown, right-aligned but for its first column. Cells of numbers are rounded to three digits.
std::string table(const std::vector<std::string>& head, const std::vector<std::vector<nlohmann::json>>& rows);

}  // namespace lichenlanding::scale_test
