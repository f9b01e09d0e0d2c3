#include "sidecar/trust_store.hpp"

namespace lichenlanding::sidecar {

using namespace metadata;

namespace {

constexpr const char* kRootFile = "root.json";

std::string versionOf(const Result<TrustedSet>& set) { return std::to_string(set->root().version); }

}  // namespace

Result<std::unique_ptr<TrustStore>> TrustStore::open(const std::string& directory) {
    auto store = inMemory();
    store->disk_ = std::make_unique<store::PosixDisk>(directory);
    const auto opened = store->disk_->open();
    if (opened != store::PosixDisk::Opened::yes) {
        const auto reason = opened == store::PosixDisk::Opened::busy ? Reason::busy : Reason::folder;
        return Refusal{reason, {}, 0, store->disk_->lastError()};
    }
    store->folder_ = std::make_unique<store::TransactionalDirectory>(*store->disk_);
    if (const auto& error = store->folder_->openError()) return Refusal{Reason::folder, {}, 0, error->text};
    return store;
}

std::unique_ptr<TrustStore> TrustStore::inMemory() { return std::make_unique<TrustStore>(); }

std::optional<std::string> TrustStore::read(const std::string& name) const {
    if (folder_) return folder_->read(name);
    const auto found = memory_.find(name);
    return found == memory_.end() ? std::nullopt : std::optional(found->second);
}

Check TrustStore::commit(const StoreTransaction& transaction) {
    if (folder_) {
        const auto error = folder_->commit(transaction.files);
        return error ? Check(Refusal{Reason::folder, {}, 0, error->text}) : std::nullopt;
    }
    for (const auto& [name, bytes] : transaction.files) {
        if (bytes) memory_[name] = *bytes;
        else memory_.erase(name);
    }
    return {};
}

Result<TrustedSet> TrustStore::start(const std::string& shippedRoot, UnixSeconds now, std::string& rootChoice,
                                     const Sizes& sizes) {
    const auto bytes = read(kRootFile);
    auto stored = bytes ? TrustedSet::start(*bytes, now, sizes)
                        : Result<TrustedSet>(Refusal{Reason::notFound, "root", 0, {}});
    auto shipped = shippedRoot.empty()
                       ? Result<TrustedSet>(Refusal{Reason::notFound, "root", 0, "no shipped root"})
                       : TrustedSet::start(shippedRoot, now, sizes);
    if (stored && (!shipped || shipped->root().version <= stored->root().version)) {
        rootChoice = "starting from the stored root, version " + versionOf(stored);
        return stored;
    }
    if (!shipped) return bytes ? stored.refusal() : shipped.refusal();
    const auto cause = !bytes   ? std::string("no stored root")
                       : stored ? std::string("the stored root is older")
                                : "the stored root is refused, " + stored.refusal().text();
    rootChoice = "starting from the shipped root, version " + versionOf(shipped) + ": " + cause;
    StoreTransaction transaction;
    transaction.files.emplace_back(kRootFile, shippedRoot);
    transaction.files.emplace_back("root_history/" + versionOf(shipped) + ".root.json", shippedRoot);
    if (auto refusal = commit(transaction)) return *refusal;
    return shipped;
}

}  // namespace lichenlanding::sidecar
