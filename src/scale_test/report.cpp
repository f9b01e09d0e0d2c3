#include "scale_test/report.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace lichenlanding::scale_test {

using Json = nlohmann::json;

Json summarizeTimes(std::vector<Nanos> times) {
    if (times.empty()) return nullptr;
    std::sort(times.begin(), times.end());
    const auto quantile = [&](double share) {
        const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(times.size())));
        return std::round(static_cast<double>(times[std::max<std::size_t>(rank, 1) - 1]) / 1e5) / 10;
    };
    return {{"n", times.size()},
            {"median_ms", quantile(0.5)},
            {"p99_ms", quantile(0.99)},
            {"max_ms", quantile(1)}};
}

std::string markdownTable(const std::vector<std::string>& header,
                          const std::vector<std::vector<Json>>& rows) {
    const auto formatCell = [](const Json& cell) -> std::string {
        if (cell.is_null()) return "-";
        if (cell.is_string()) return cell.get<std::string>();
        if (!cell.is_number_float()) return cell.dump();
        const auto value = cell.get<double>();
        char buffer[32];
        const int digits = value == 0 ? 0 : 2 - static_cast<int>(std::floor(std::log10(std::abs(value))));
        std::snprintf(buffer, sizeof buffer, "%.*f", std::clamp(digits, 0, 4), value);
        return buffer;
    };
    std::string markdown = "|";
    for (const auto& name : header) markdown += " " + name + " |";
    markdown += "\n|";
    for (std::size_t column = 0; column < header.size(); ++column)
        markdown += column == 0 ? " --- |" : " ---: |";
    for (const auto& row : rows) {
        markdown += "\n|";
        for (const auto& cell : row) markdown += " " + formatCell(cell) + " |";
    }
    return markdown + "\n";
}

}  // namespace lichenlanding::scale_test
