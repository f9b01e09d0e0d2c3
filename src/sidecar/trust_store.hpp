// The store of trusted metadata: a directory, or memory alone where no disk lasts.
#pragma once

#include "metadata/update.hpp"
#include "store/transactional_directory.hpp"

namespace lichenlanding::sidecar {

class TrustStore final : public metadata::StoredMetadata {
  public:
    /// Recovers a commit that a kill has interrupted. Reason::busy or Reason::folder if it cannot be opened.
    static metadata::Result<std::unique_ptr<TrustStore>> open(const std::string& directory);
    static std::unique_ptr<TrustStore> inMemory();

    bool isDurable() const { return folder_ != nullptr; }
    std::optional<std::string> read(const std::string& name) const override;
    /// All files of the step, or none.
    metadata::Check commit(const metadata::StoreTransaction& step);
    /// Starts from the stored root, or from the shipped one if it is newer or the other cannot be read. A
    /// shipped root that is used is stored at once. `choice` explains it for the log.
    metadata::Result<metadata::TrustedSet> start(const std::string& shippedRoot, metadata::UnixSeconds now,
                                                 std::string& choice, const metadata::SizeLimits& sizes = {});

  private:
    std::unique_ptr<store::PosixDisk> disk_;
    std::unique_ptr<store::TransactionalDirectory> folder_;
    std::map<std::string, std::string> memory_;
};

}  // namespace lichenlanding::sidecar
