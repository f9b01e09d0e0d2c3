#include "metadata/builds.hpp"

#include <stdexcept>

namespace lichenlanding::metadata {

Builds::Builds(std::string pattern) {
    constexpr std::string_view mark = "{build}";
    const auto at = pattern.find(mark);
    if (at == pattern.npos || pattern.find(mark, at + 1) != pattern.npos || !targetNameFits(pattern))
        throw std::invalid_argument("a path with {build} once, not " + escaped(pattern, 80));
    before_ = pattern.substr(0, at), after_ = pattern.substr(at + mark.size());
}

std::string Builds::pathOf(int build) const { return before_ + std::to_string(build) + after_; }

bool Builds::named(int build) {
    if (build < 0 || held_.count(build)) return false;
    if (held_.size() >= most && build < held_.begin()->first) return false;
    held_.emplace(build, Held{});
    if (held_.size() > most) held_.erase(held_.begin());
    return true;
}

std::vector<std::string> Builds::paths() const {
    std::vector<std::string> all;
    for (const auto& [build, held] : held_) all.push_back(pathOf(build));
    return all;
}

Attestation Builds::wordOf(const std::optional<Found>& found, bool listedOnce) {
    if (!found) return listedOnce ? Attestation::withdrawn : Attestation::none;
    const auto* withdrawn = member(found->target.custom, "withdrawn", Json::value_t::boolean);
    return withdrawn && withdrawn->get<bool>() ? Attestation::withdrawn : Attestation::valid;
}

std::vector<Builds::Word> Builds::settled(const std::map<std::string, std::optional<Found>>& found,
                                          UnixSeconds expires) {
    std::vector<Word> changes;
    expires_ = expires;
    for (auto& [build, held] : held_) {
        const auto looked = found.find(pathOf(build));
        if (looked == found.end()) continue;  // named after the update began
        const auto word = wordOf(looked->second, held.listedOnce);
        held.listedOnce = held.listedOnce || looked->second;
        if (std::exchange(held.told, word) != word) changes.push_back({build, word});
    }
    return changes;
}

std::vector<Builds::Word> Builds::settled(const std::map<std::string, std::optional<Found>>& found,
                                          UnixSeconds expires,
                                          const std::map<std::string, uptane::Directive>& directives) {
    std::vector<Word> changes;
    expires_ = expires;
    for (auto& [build, held] : held_) {
        const auto path = pathOf(build);
        const auto looked = found.find(path);
        if (looked == found.end()) continue;
        auto word = wordOf(looked->second, held.listedOnce);
        held.listedOnce = held.listedOnce || looked->second;
        if (word == Attestation::valid) {
            word = Attestation::none;
            for (const auto& [unit, directive] : directives)
                if (directive.path == path && !uptane::agrees(directive, looked->second))
                    word = Attestation::valid;
        }
        if (std::exchange(held.told, word) != word) changes.push_back({build, word});
    }
    return changes;
}

std::vector<Builds::Word> Builds::lapsed(UnixSeconds now) {
    std::vector<Word> changes;
    if (now < expires_) return changes;
    for (auto& [build, held] : held_)
        if (held.told == Attestation::valid) {
            held.told = Attestation::none;
            changes.push_back({build, Attestation::none});
        }
    return changes;
}

Attestation Builds::told(int build) const {
    const auto found = held_.find(build);
    return found == held_.end() ? Attestation::none : found->second.told;
}

std::string Builds::kept() const {
    Json all = Json::array();
    for (const auto& [build, held] : held_)
        if (held.listedOnce) all.push_back(build);
    return canonical({{"listed", all}});
}

void Builds::restore(std::string_view kept) {
    const auto read = readJson(kept, 65'536);
    const auto* all = read ? member(*read, "listed", Json::value_t::array) : nullptr;
    if (!all) return;
    for (const auto& one : *all)
        if (one.is_number_integer() && one.get<std::int64_t>() >= 0 &&
            one.get<std::int64_t>() <= 1'000'000'000) {
            const auto build = static_cast<int>(one.get<std::int64_t>());
            named(build);
            if (const auto at = held_.find(build); at != held_.end()) at->second.listedOnce = true;
        }
}

}  // namespace lichenlanding::metadata
