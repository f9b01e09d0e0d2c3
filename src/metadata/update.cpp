#include "metadata/update.hpp"

#include <algorithm>

namespace lichenlanding::metadata {

std::string Found::location() const { return locationOf(path, target); }

Update::Update(TrustedSet set, const Kept& kept, Bounds bounds)
    : set_(std::move(set)), kept_(kept), bounds_(bounds), before_(set_.root()) {
    askRoot();
}

void Update::ask(std::string path, std::size_t atMost, const std::string& role) {
    want_ = {Want::fetch, std::move(path), atMost, role};
}

void Update::refuse(Refusal why) {
    refusal_ = std::move(why);
    refused_ = want_;
    want_ = {Want::refused, {}, 0, refusal_.role};
}

void Update::keepFile(const std::string& name, std::string_view bytes) {
    keep_.push_back({{{name, std::string(bytes)}}});
    changed_ = true;
}

std::string Update::fileOf(const std::string& role, std::int64_t version) const {
    return (set_.root().consistent ? std::to_string(version) + "." : std::string()) + percentEncoded(role) +
           ".json";
}

void Update::askRoot() {
    ask(std::to_string(set_.root().version + 1) + ".root.json", set_.sizes().root, "root");
}

void Update::came(std::string_view bytes) {
    if (want_.kind != Want::fetch) return;
    if (bytes.size() > want_.atMost)
        return refuse(
            {Reason::tooLong, want_.role, 0, "more than " + std::to_string(want_.atMost) + " bytes"});
    switch (at_) {
        case At::root: {
            if (auto refusal = set_.root(bytes)) return refuse(*refusal);
            KeepStep step;
            step.files.emplace_back("root.json", std::string(bytes));
            step.files.emplace_back("root_history/" + std::to_string(set_.root().version) + ".root.json",
                                    std::string(bytes));
            // 5.3.11: rotated keys make versions of before void, or a fast-forward could never be undone. It
            // is kept in the same step as the root: a kill between them would leave the old versions in
            // force.
            const auto& now = set_.root().roles;
            const auto& then = before_.roles;
            if (now.at("timestamp") != then.at("timestamp") || now.at("snapshot") != then.at("snapshot")) {
                step.files.emplace_back("timestamp.json", std::nullopt);
                step.files.emplace_back("snapshot.json", std::nullopt);
            }
            keep_.push_back(std::move(step));
            changed_ = true;
            if (++roots_ >= bounds_.roots) return startTimestamp();
            return askRoot();
        }
        case At::timestamp: {
            const auto* before = set_.timestamp();
            const auto version = before ? before->version : 0;
            if (auto refusal = set_.timestamp(bytes)) return refuse(*refusal);
            if (set_.timestamp()->version != version) keepFile("timestamp.json", bytes);
            return startSnapshot();
        }
        case At::snapshot:
            if (auto refusal = set_.snapshot(bytes)) return refuse(*refusal);
            keepFile("snapshot.json", bytes);
            return startTargets();
        case At::roles:
            if (auto refusal = set_.delegated(bytes, visiting_.role, visiting_.parent))
                return refuse(*refusal);
            keepFile(percentEncoded(visiting_.role) + ".json", bytes);
            return searchOn();
    }
}

void Update::missing() {
    if (want_.kind != Want::fetch) return;
    if (at_ == At::root) return startTimestamp();
    refuse({Reason::unavailable, want_.role, 0, "no mirror has " + escaped(want_.path, 100)});
}

void Update::failed(Refusal why) {
    if (want_.kind != Want::fetch) return;
    if (why.role.empty()) why.role = want_.role;
    refuse(std::move(why));
}

void Update::again() {
    if (want_.kind == Want::refused && refused_.kind == Want::fetch) want_ = refused_;
}

void Update::abort(Refusal why) {
    refuse(std::move(why));
    refused_ = {};
    refused_.kind = Want::refused;  // nothing to ask again for
}

void Update::startTimestamp() {
    if (auto refusal = set_.rootStands()) return refuse(*refusal);
    at_ = At::timestamp;
    const auto &now = set_.root().roles, &then = before_.roles;
    const bool rotated =
        now.at("timestamp") != then.at("timestamp") || now.at("snapshot") != then.at("snapshot");
    // As a floor; what does not verify any more is none.
    if (!rotated)
        if (const auto bytes = kept_.read("timestamp.json")) (void)set_.keptTimestamp(*bytes);
    ask("timestamp.json", set_.sizes().timestamp, "timestamp");
}

void Update::startSnapshot() {
    at_ = At::snapshot;
    if (const auto bytes = kept_.read("snapshot.json"))
        if (!set_.keptSnapshot(*bytes)) return startTargets();  // it is the listed one
    const auto& listing = set_.timestamp()->snapshot;
    const auto length = listing.length ? static_cast<std::size_t>(*listing.length) : set_.sizes().snapshot;
    ask(fileOf("snapshot", listing.version), length, "snapshot");
}

void Update::startTargets() {
    at_ = At::roles;
    visiting_ = {"targets", "root"};
    visited_ = {"targets"};
    if (useKept("targets", "root")) return searchOn();
    askRole("targets");
}

bool Update::useKept(const std::string& role, const std::string& parent) {
    if (set_.trustedBy(role, parent)) return true;
    const auto bytes = kept_.read(percentEncoded(role) + ".json");
    return bytes && !set_.delegated(*bytes, role, parent);
}

void Update::askRole(const std::string& role) {
    const auto* listing = set_.listed(role);
    if (!listing) return refuse({Reason::notListed, role, 0, "by the snapshot"});
    const auto length = listing->length ? static_cast<std::size_t>(*listing->length) : set_.sizes().targets;
    ask(fileOf(role, listing->version), length, role);
}

void Update::lookFor(const std::string& path) {
    if (found_.count(path) || std::find(searches_.begin(), searches_.end(), path) != searches_.end()) return;
    searches_.push_back(path);
    if (want_.kind == Want::done) searchOn();
}

// Continues with the role just trusted, `visiting_`, until a role must be fetched or all searches are over.
void Update::searchOn() {
    while (!searches_.empty()) {
        const auto path = searches_.front();
        const auto* role = set_.trusted(visiting_.role);
        if (role->targets.count(path)) {
            found_[path] = Found{path, visiting_.role, role->targets.at(path)};
        } else {
            const auto steps = role->rolesFor(path);
            if (!steps.empty() && steps.back().terminating) open_.clear();
            for (auto left = steps.size(); left-- > 0;) open_.push_back({steps[left].role, visiting_.role});
            while (!open_.empty() && visited_.count(open_.back().role)) open_.pop_back();
            if (!open_.empty()) {
                if (static_cast<int>(visited_.size()) > bounds_.delegations)
                    return refuse(
                        {Reason::tooMany, visiting_.role, 0, "delegations visited for " + escaped(path, 80)});
                visiting_ = open_.back();
                open_.pop_back();
                visited_.insert(visiting_.role);
                ++visitedInAll_;
                if (useKept(visiting_.role, visiting_.parent)) continue;
                return askRole(visiting_.role);
            }
            found_[path] = std::nullopt;
        }
        searches_.pop_front();
        open_.clear();
        visiting_ = {"targets", "root"};
        visited_ = {"targets"};
    }
    want_ = {Want::done, {}, 0, {}};
}

}  // namespace lichenlanding::metadata
