#include "scale_test/report.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace lichenlanding::scale_test {

using Json = nlohmann::json;

Json spread(std::vector<Nanos> times) {
    if (times.empty()) return nullptr;
    std::sort(times.begin(), times.end());
    const auto at = [&](double part) {
        const auto place = static_cast<std::size_t>(std::ceil(part * static_cast<double>(times.size())));
        return std::round(static_cast<double>(times[std::max<std::size_t>(place, 1) - 1]) / 1e5) / 10;
    };
    return {{"n", times.size()}, {"median_ms", at(0.5)}, {"p99_ms", at(0.99)}, {"max_ms", at(1)}};
}

std::string table(const std::vector<std::string>& head, const std::vector<std::vector<Json>>& rows) {
    const auto text = [](const Json& cell) -> std::string {
        if (cell.is_null()) return "-";
        if (cell.is_string()) return cell.get<std::string>();
        if (!cell.is_number_float()) return cell.dump();
        const auto value = cell.get<double>();
        char made[32];
        const int digits = value == 0 ? 0 : 2 - static_cast<int>(std::floor(std::log10(std::abs(value))));
        std::snprintf(made, sizeof made, "%.*f", std::clamp(digits, 0, 4), value);
        return made;
    };
    std::string all = "|";
    for (const auto& name : head) all += " " + name + " |";
    all += "\n|";
    for (std::size_t column = 0; column < head.size(); ++column) all += column == 0 ? " --- |" : " ---: |";
    for (const auto& row : rows) {
        all += "\n|";
        for (const auto& cell : row) all += " " + text(cell) + " |";
    }
    return all + "\n";
}

}  // namespace lichenlanding::scale_test
