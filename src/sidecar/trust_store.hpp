// What is trusted, kept: in a folder, or in memory alone where no disk lasts.
#pragma once

#include "metadata/update.hpp"
#include "store/folder.hpp"

namespace lichenlanding::net {

class TrustStore final : public metadata::Kept {
  public:
    // Refuses with busy or folder. A step that a kill has left is carried out first.
    static metadata::Result<std::unique_ptr<TrustStore>> open(const std::string& folder);
    static std::unique_ptr<TrustStore> inMemory();

    bool lasts() const { return folder_ != nullptr; }
    std::optional<std::string> read(const std::string& name) const override;
    metadata::Check commit(const metadata::KeepStep& step);
    // The root to start from: the kept one, or the shipped one if that is newer, or the other cannot be read.
    // A shipped root that is taken is kept at once. `said` tells a person which was taken, and why.
    metadata::Result<metadata::TrustedSet> start(const std::string& shippedRoot, metadata::UnixSeconds now,
                                                 std::string& said, const metadata::Sizes& sizes = {});

  private:
    std::unique_ptr<store::PosixDisk> disk_;
    std::unique_ptr<store::Folder> folder_;
    std::map<std::string, std::string> memory_;
};

}  // namespace lichenlanding::net
