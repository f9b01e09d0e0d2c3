#include "metadata/update.hpp"

#include <algorithm>

namespace lichenlanding::metadata {

std::string FoundTarget::location() const { return locationOf(path, target); }

Update::Update(TrustedSet set, const StoredMetadata& stored, UpdateLimits limits)
    : set_(std::move(set)), stored_(stored), limits_(limits), initialRoot_(set_.root()) {
    requestRoot();
}

void Update::request(std::string path, std::size_t maxBytes, const std::string& role) {
    next_ = {NextAction::fetch, std::move(path), maxBytes, role};
}

void Update::refuse(Refusal refusal) {
    refusal_ = std::move(refusal);
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
    switch (state_) {
        case State::root: {
            if (auto refusal = set_.root(bytes)) return refuse(*refusal);
            StoreTransaction transaction;
            transaction.files.emplace_back("root.json", std::string(bytes));
            transaction.files.emplace_back(
                "root_history/" + std::to_string(set_.root().version) + ".root.json", std::string(bytes));
            // 5.3.11: after a key rotation the stored versions are discarded, or the repository could never
            // recover from a fast-forward attack. This is in the same transaction as the root: after a kill
            // between two transactions the old versions would still be in force.
            const auto& newRoles = set_.root().roles;
            const auto& oldRoles = initialRoot_.roles;
            if (newRoles.at("timestamp") != oldRoles.at("timestamp") ||
                newRoles.at("snapshot") != oldRoles.at("snapshot")) {
                transaction.files.emplace_back("timestamp.json", std::nullopt);
                transaction.files.emplace_back("snapshot.json", std::nullopt);
            }
            transactions_.push_back(std::move(transaction));
            changed_ = true;
            if (++newRoots_ >= limits_.roots) return startTimestamp();
            return requestRoot();
        }
        case State::timestamp: {
            const auto* trusted = set_.timestamp();
            const auto version = trusted ? trusted->version : 0;
            if (auto refusal = set_.timestamp(bytes)) return refuse(*refusal);
            if (set_.timestamp()->version != version) storeFile("timestamp.json", bytes);
            return startSnapshot();
        }
        case State::snapshot:
            if (auto refusal = set_.snapshot(bytes)) return refuse(*refusal);
            storeFile("snapshot.json", bytes);
            return startTargets();
        case State::roles:
            if (auto refusal = set_.delegated(bytes, visiting_.role, visiting_.parent))
                return refuse(*refusal);
            storeFile(percentEncoded(visiting_.role) + ".json", bytes);
            return continueSearch();
    }
}

void Update::notFound() {
    if (next_.kind != NextAction::fetch) return;
    if (state_ == State::root) return startTimestamp();
    refuse({Reason::unavailable, next_.role, 0, "no mirror has " + escaped(next_.path, 100)});
}

void Update::fail(Refusal refusal) {
    if (next_.kind != NextAction::fetch) return;
    if (refusal.role.empty()) refusal.role = next_.role;
    refuse(std::move(refusal));
}

void Update::retry() {
    if (next_.kind == NextAction::refused && refusedRequest_.kind == NextAction::fetch)
        next_ = refusedRequest_;
}

void Update::abort(Refusal refusal) {
    refuse(std::move(refusal));
    refusedRequest_ = {};
    refusedRequest_.kind = NextAction::refused;  // retry() has no effect
}

void Update::startTimestamp() {
    if (auto refusal = set_.checkRoot()) return refuse(*refusal);
    state_ = State::timestamp;
    const auto& newRoles = set_.root().roles;
    const auto& oldRoles = initialRoot_.roles;
    const bool rotated = newRoles.at("timestamp") != oldRoles.at("timestamp") ||
                         newRoles.at("snapshot") != oldRoles.at("snapshot");
    // Sets the minimum version; ignored if it cannot be verified any more.
    if (!rotated)
        if (const auto bytes = stored_.read("timestamp.json")) (void)set_.loadTimestamp(*bytes);
    request("timestamp.json", set_.sizeLimits().timestamp, "timestamp");
}

void Update::startSnapshot() {
    state_ = State::snapshot;
    if (const auto bytes = stored_.read("snapshot.json"))
        if (!set_.loadSnapshot(*bytes)) return startTargets();  // it is the listed version
    const auto& listing = set_.timestamp()->snapshot;
    const auto length =
        listing.length ? static_cast<std::size_t>(*listing.length) : set_.sizeLimits().snapshot;
    request(fileOf("snapshot", listing.version), length, "snapshot");
}

void Update::startTargets() {
    state_ = State::roles;
    visiting_ = {"targets", "root"};
    visited_ = {"targets"};
    if (useStored("targets", "root")) return continueSearch();
    requestRole("targets");
}

bool Update::useStored(const std::string& role, const std::string& parent) {
    if (set_.trustedBy(role, parent)) return true;
    const auto bytes = stored_.read(percentEncoded(role) + ".json");
    return bytes && !set_.delegated(*bytes, role, parent);
}

void Update::requestRole(const std::string& role) {
    const auto* listing = set_.listedFile(role);
    if (!listing) return refuse({Reason::notListed, role, 0, "not in the snapshot"});
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

// Continues the searches from `visiting_`, the role trusted last, until a role must be fetched or all are
// done.
void Update::continueSearch() {
    while (!searches_.empty()) {
        const auto path = searches_.front();
        const auto* role = set_.trusted(visiting_.role);
        if (role->targets.contains(path)) {
            found_[path] = FoundTarget{path, visiting_.role, role->targets.at(path)};
        } else {
            const auto steps = role->rolesFor(path);
            if (!steps.empty() && steps.back().terminating) pendingVisits_.clear();
            for (auto index = steps.size(); index-- > 0;)
                pendingVisits_.push_back({steps[index].role, visiting_.role});
            while (!pendingVisits_.empty() && visited_.contains(pendingVisits_.back().role))
                pendingVisits_.pop_back();
            if (!pendingVisits_.empty()) {
                if (static_cast<int>(visited_.size()) > limits_.delegations)
                    return refuse(
                        {Reason::tooMany, visiting_.role, 0, "delegations visited for " + escaped(path, 80)});
                visiting_ = pendingVisits_.back();
                pendingVisits_.pop_back();
                visited_.insert(visiting_.role);
                ++totalVisits_;
                if (useStored(visiting_.role, visiting_.parent)) continue;
                return requestRole(visiting_.role);
            }
            found_[path] = std::nullopt;
        }
        searches_.pop_front();
        pendingVisits_.clear();
        visiting_ = {"targets", "root"};
        visited_ = {"targets"};
    }
    next_ = {NextAction::done, {}, 0, {}};
}

}  // namespace lichenlanding::metadata
