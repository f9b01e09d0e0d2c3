#include "metadata/attested_builds.hpp"

#include <algorithm>
#include <stdexcept>

namespace lichenlanding::metadata {
namespace {

constexpr std::size_t kMaxStoredBytes = 65'536;
constexpr std::int64_t kMaxBuild = 1'000'000'000;

}  // namespace

AttestedBuilds::AttestedBuilds(std::string pattern) {
    constexpr std::string_view placeholder = "{build}";
    const auto position = pattern.find(placeholder);
    if (position == std::string::npos || pattern.find(placeholder, position + 1) != std::string::npos ||
        !isTargetName(pattern))
        throw std::invalid_argument("the path pattern must contain {build} once: " + escaped(pattern, 80));
    prefix_ = pattern.substr(0, position);
    suffix_ = pattern.substr(position + placeholder.size());
}

std::string AttestedBuilds::pathOf(int build) const { return prefix_ + std::to_string(build) + suffix_; }

bool AttestedBuilds::track(int build) {
    if (build < 0 || tracked_.contains(build)) return false;
    if (tracked_.size() >= kMaxTracked && build < tracked_.begin()->first) return false;
    tracked_.emplace(build, Tracked{});
    if (tracked_.size() > kMaxTracked) tracked_.erase(tracked_.begin());
    return true;
}

std::vector<std::string> AttestedBuilds::paths() const {
    std::vector<std::string> paths;
    for (const auto& [build, tracked] : tracked_) paths.push_back(pathOf(build));
    return paths;
}

Attestation AttestedBuilds::attestationBy(const std::optional<FoundTarget>& found, bool everListed) {
    if (!found) return everListed ? Attestation::withdrawn : Attestation::none;
    const auto* withdrawn = member(found->target.custom, "withdrawn", Json::value_t::boolean);
    return withdrawn && withdrawn->get<bool>() ? Attestation::withdrawn : Attestation::valid;
}

bool AttestedBuilds::isDirected(const std::string& path, const std::optional<FoundTarget>& found,
                                const Directives& directives) {
    return std::any_of(directives.begin(), directives.end(), [&](const auto& entry) {
        return entry.second.path == path && !uptane::verifyAgreement(entry.second, found);
    });
}

std::vector<AttestedBuilds::Change> AttestedBuilds::update(const FoundTargets& found, UnixSeconds expires,
                                                           const Directives* directives) {
    std::vector<Change> changes;
    expires_ = expires;
    for (auto& [build, tracked] : tracked_) {
        const auto path = pathOf(build);
        const auto result = found.find(path);
        if (result == found.end()) continue;  // tracked after the update began, so not searched for
        auto attestation = attestationBy(result->second, tracked.everListed);
        tracked.everListed = tracked.everListed || result->second;
        if (attestation == Attestation::valid && directives && !isDirected(path, result->second, *directives))
            attestation = Attestation::none;
        if (std::exchange(tracked.reported, attestation) != attestation)
            changes.push_back({build, attestation});
    }
    return changes;
}

std::vector<AttestedBuilds::Change> AttestedBuilds::expire(UnixSeconds now) {
    std::vector<Change> changes;
    if (now < expires_) return changes;
    for (auto& [build, tracked] : tracked_) {
        if (tracked.reported != Attestation::valid) continue;
        tracked.reported = Attestation::none;
        changes.push_back({build, Attestation::none});
    }
    return changes;
}

Attestation AttestedBuilds::attestationOf(int build) const {
    const auto found = tracked_.find(build);
    return found == tracked_.end() ? Attestation::none : found->second.reported;
}

std::string AttestedBuilds::serialize() const {
    Json listed = Json::array();
    for (const auto& [build, tracked] : tracked_)
        if (tracked.everListed) listed.push_back(build);
    return canonical({{"listed", listed}});
}

void AttestedBuilds::restore(std::string_view bytes) {
    const auto json = parseJson(bytes, kMaxStoredBytes);
    const auto* listed = json ? member(*json, "listed", Json::value_t::array) : nullptr;
    if (!listed) return;
    for (const auto& entry : *listed) {
        if (!entry.is_number_integer()) continue;
        const auto number = entry.get<std::int64_t>();
        if (number < 0 || number > kMaxBuild) continue;
        const auto build = static_cast<int>(number);
        track(build);
        if (const auto found = tracked_.find(build); found != tracked_.end()) found->second.everListed = true;
    }
}

}  // namespace lichenlanding::metadata
