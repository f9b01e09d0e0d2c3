#include "metadata/update.hpp"

#include <algorithm>

namespace lichenlanding::metadata {

std::string FoundTarget::location() const { return locationOf(path, target); }

Update::Update(TrustedSet set, const StoredMetadata& kept, UpdateLimits bounds)
    : set_(std::move(set)), kept_(kept), limits_(bounds), before_(set_.root()) {
    requestRoot();
}

void Update::request(std::string path, std::size_t maxBytes, const std::string& role) {
    next_ = {NextAction::fetch, std::move(path), maxBytes, role};
}

void Update::refuse(Refusal why) {
    refusal_ = std::move(why);
    refusedRequest_ = next_;
    next_ = {NextAction::refused, {}, 0, refusal_.role};
}

void Update::storeFile(const std::string& name, std::string_view bytes) {
    transactions_.push_back({{{name, std::string(bytes)}}});
    changed_ = true;
}

std::string Update::fileOf(const std::string& role, std::int64_t version) const {
    return (set_.root().consistent ? std::to_string(version) + "." : std::string()) + percentEncoded(role) +
           ".json";
}

void Update::requestRoot() {
    request(std::to_string(set_.root().version + 1) + ".root.json", set_.sizeLimits().root, "root");
}

void Update::receive(std::string_view bytes) {
    if (next_.kind != NextAction::fetch) return;
    if (bytes.size() > next_.maxBytes)
        return refuse(
            {Reason::tooLong, next_.role, 0, "more than " + std::to_string(next_.maxBytes) + " bytes"});
    switch (at_) {
        case At::root: {
            if (auto refusal = set_.root(bytes)) return refuse(*refusal);
            StoreTransaction step;
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
            transactions_.push_back(std::move(step));
            changed_ = true;
            if (++roots_ >= limits_.roots) return startTimestamp();
            return requestRoot();
        }
        case At::timestamp: {
            const auto* before = set_.timestamp();
            const auto version = before ? before->version : 0;
            if (auto refusal = set_.timestamp(bytes)) return refuse(*refusal);
            if (set_.timestamp()->version != version) storeFile("timestamp.json", bytes);
            return startSnapshot();
        }
        case At::snapshot:
            if (auto refusal = set_.snapshot(bytes)) return refuse(*refusal);
            storeFile("snapshot.json", bytes);
            return startTargets();
        case At::roles:
            if (auto refusal = set_.delegated(bytes, visiting_.role, visiting_.parent))
                return refuse(*refusal);
            storeFile(percentEncoded(visiting_.role) + ".json", bytes);
            return continueSearch();
    }
}

void Update::notFound() {
    if (next_.kind != NextAction::fetch) return;
    if (at_ == At::root) return startTimestamp();
    refuse({Reason::unavailable, next_.role, 0, "no mirror has " + escaped(next_.path, 100)});
}

void Update::fail(Refusal why) {
    if (next_.kind != NextAction::fetch) return;
    if (why.role.empty()) why.role = next_.role;
    refuse(std::move(why));
}

void Update::retry() {
    if (next_.kind == NextAction::refused && refusedRequest_.kind == NextAction::fetch)
        next_ = refusedRequest_;
}

void Update::abort(Refusal why) {
    refuse(std::move(why));
    refusedRequest_ = {};
    refusedRequest_.kind = NextAction::refused;  // nothing to ask again for
}

void Update::startTimestamp() {
    if (auto refusal = set_.checkRoot()) return refuse(*refusal);
    at_ = At::timestamp;
    const auto& now = set_.root().roles;
    const auto& then = before_.roles;
    const bool rotated =
        now.at("timestamp") != then.at("timestamp") || now.at("snapshot") != then.at("snapshot");
    // As a floor; what does not verify any more is none.
    if (!rotated)
        if (const auto bytes = kept_.read("timestamp.json")) (void)set_.loadTimestamp(*bytes);
    request("timestamp.json", set_.sizeLimits().timestamp, "timestamp");
}

void Update::startSnapshot() {
    at_ = At::snapshot;
    if (const auto bytes = kept_.read("snapshot.json"))
        if (!set_.loadSnapshot(*bytes)) return startTargets();  // it is the listed one
    const auto& listing = set_.timestamp()->snapshot;
    const auto length =
        listing.length ? static_cast<std::size_t>(*listing.length) : set_.sizeLimits().snapshot;
    request(fileOf("snapshot", listing.version), length, "snapshot");
}

void Update::startTargets() {
    at_ = At::roles;
    visiting_ = {"targets", "root"};
    visited_ = {"targets"};
    if (useStored("targets", "root")) return continueSearch();
    requestRole("targets");
}

bool Update::useStored(const std::string& role, const std::string& parent) {
    if (set_.trustedBy(role, parent)) return true;
    const auto bytes = kept_.read(percentEncoded(role) + ".json");
    return bytes && !set_.delegated(*bytes, role, parent);
}

void Update::requestRole(const std::string& role) {
    const auto* listing = set_.listedFile(role);
    if (!listing) return refuse({Reason::notListed, role, 0, "by the snapshot"});
    const auto length =
        listing->length ? static_cast<std::size_t>(*listing->length) : set_.sizeLimits().targets;
    request(fileOf(role, listing->version), length, role);
}

void Update::search(const std::string& path) {
    if (found_.contains(path) || std::find(searches_.begin(), searches_.end(), path) != searches_.end())
        return;
    searches_.push_back(path);
    if (next_.kind == NextAction::done) continueSearch();
}

// Continues with the role just trusted, `visiting_`, until a role must be fetched or all searches are over.
void Update::continueSearch() {
    while (!searches_.empty()) {
        const auto path = searches_.front();
        const auto* role = set_.trusted(visiting_.role);
        if (role->targets.contains(path)) {
            found_[path] = FoundTarget{path, visiting_.role, role->targets.at(path)};
        } else {
            const auto steps = role->rolesFor(path);
            if (!steps.empty() && steps.back().terminating) open_.clear();
            for (auto left = steps.size(); left-- > 0;) open_.push_back({steps[left].role, visiting_.role});
            while (!open_.empty() && visited_.contains(open_.back().role)) open_.pop_back();
            if (!open_.empty()) {
                if (static_cast<int>(visited_.size()) > limits_.delegations)
                    return refuse(
                        {Reason::tooMany, visiting_.role, 0, "delegations visited for " + escaped(path, 80)});
                visiting_ = open_.back();
                open_.pop_back();
                visited_.insert(visiting_.role);
                ++visitedInAll_;
                if (useStored(visiting_.role, visiting_.parent)) continue;
                return requestRole(visiting_.role);
            }
            found_[path] = std::nullopt;
        }
        searches_.pop_front();
        open_.clear();
        visiting_ = {"targets", "root"};
        visited_ = {"targets"};
    }
    next_ = {NextAction::done, {}, 0, {}};
}

}  // namespace lichenlanding::metadata
