#include "sidecar/trust_store.hpp"

namespace lichenlanding::net {

using namespace metadata;

Result<std::unique_ptr<TrustStore>> TrustStore::open(const std::string& folder) {
    auto made = inMemory();
    made->disk_ = std::make_unique<store::PosixDisk>(folder);
    const auto opened = made->disk_->open();
    if (opened != store::PosixDisk::Opened::yes)
        return Refusal{opened == store::PosixDisk::Opened::busy ? Reason::busy : Reason::folder,
                       {},
                       0,
                       made->disk_->why()};
    made->folder_ = std::make_unique<store::Folder>(*made->disk_);
    if (const auto& trouble = made->folder_->trouble()) return Refusal{Reason::folder, {}, 0, trouble->text};
    return made;
}

std::unique_ptr<TrustStore> TrustStore::inMemory() { return std::make_unique<TrustStore>(); }

std::optional<std::string> TrustStore::read(const std::string& name) const {
    if (folder_) return folder_->read(name);
    const auto found = memory_.find(name);
    return found == memory_.end() ? std::nullopt : std::optional(found->second);
}

Check TrustStore::commit(const KeepStep& step) {
    if (folder_) {
        const auto trouble = folder_->commit(step.files);
        return trouble ? Check(Refusal{Reason::folder, {}, 0, trouble->text}) : std::nullopt;
    }
    for (const auto& [name, bytes] : step.files) {
        if (bytes) memory_[name] = *bytes;
        else memory_.erase(name);
    }
    return {};
}

Result<TrustedSet> TrustStore::start(const std::string& shippedRoot, UnixSeconds now, std::string& said,
                                     const Sizes& sizes) {
    const auto bytes = read("root.json");
    auto kept = bytes ? TrustedSet::start(*bytes, now, sizes)
                      : Result<TrustedSet>(Refusal{Reason::notFound, "root", 0, {}});
    auto shipped = shippedRoot.empty()
                       ? Result<TrustedSet>(Refusal{Reason::notFound, "root", 0, "none is shipped"})
                       : TrustedSet::start(shippedRoot, now, sizes);
    const auto version = [](const auto& set) { return std::to_string(set->root().version); };
    if (kept && (!shipped || shipped->root().version <= kept->root().version)) {
        said = "starts from the kept root, version " + version(kept);
        return kept;
    }
    if (!shipped) return bytes ? kept.refusal() : shipped.refusal();
    said = "starts from the shipped root, version " + version(shipped) +
           (!bytes ? ": none is kept"
            : kept ? ": the kept one is older"
                   : ": the kept one is refused, " + kept.refusal().text());
    KeepStep step;
    step.files.emplace_back("root.json", shippedRoot);
    step.files.emplace_back("root_history/" + version(shipped) + ".root.json", shippedRoot);
    if (auto refusal = commit(step)) return *refusal;
    return shipped;
}

}  // namespace lichenlanding::net
