// The store of trusted metadata: a directory, or memory only where there is no persistent disk.
#pragma once

#include "metadata/update.hpp"
#include "store/transactional_directory.hpp"

namespace lichenlanding::sidecar {

class TrustStore final : public metadata::StoredMetadata {
  public:
    /// Opens the directory and recovers a commit that was interrupted by a kill. Refused with Reason::busy if
    /// another process holds it, else with Reason::folder.
    static metadata::Result<std::unique_ptr<TrustStore>> open(const std::string& directory);
    static std::unique_ptr<TrustStore> inMemory();

    bool isDurable() const { return folder_ != nullptr; }
    std::optional<std::string> read(const std::string& name) const override;
    /// Atomic: stores all files of the transaction or none.
    metadata::Check commit(const metadata::StoreTransaction& transaction);
    /// Starts from the stored root, or from the shipped root if that is newer or the stored one is missing or
    /// refused. A shipped root that is used is stored at once. `rootChoice` explains the choice, for the log.
    metadata::Result<metadata::TrustedSet> start(const std::string& shippedRoot, metadata::UnixSeconds now,
                                                 std::string& rootChoice, const metadata::Sizes& sizes = {});

  private:
    std::unique_ptr<store::PosixDisk> disk_;
    std::unique_ptr<store::TransactionalDirectory> folder_;
    std::map<std::string, std::string> memory_;
};

}  // namespace lichenlanding::sidecar
