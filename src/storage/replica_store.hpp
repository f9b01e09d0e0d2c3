/// The control node's store: states of the register by key, in LMDB. docs/design/storage-format.md has the
/// records.
///
/// Each record carries its format's number and a checksum (CRC-32), since LMDB keeps none. A store that
/// cannot be read is told as corrupt; its owner then starts as on a new disk and never guesses. One thread at
/// a time.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "consensus/consensus.hpp"
#include "errors.hpp"

namespace lichenlanding::storage {

// Names of notes beside the states. They are on the disks of running clusters, so they stay.
inline const std::string kDiskIdentityNote = "disk";    // the identity of the disk
inline const std::string kEpochStateNote = "standing";  // its place among the epochs, as JSON
inline const std::string kLegacyMembersNote =
    "members";  // in stores from before there were epochs: addresses

/// The disk refused, or a record cannot be read. `subject` is the directory or the record.
struct StorageError : Error {
    explicit StorageError(const std::string& what, std::string subject = "", std::string step = "")
        : Error(what, "use the store", std::move(subject), std::move(step)) {}
};

/// What a control node needs of its disk; tests have one that hangs, fails and forgets.
class ReplicaStore {
  public:
    virtual ~ReplicaStore() = default;
    /// Throws StorageError where a record is corrupt.
    virtual std::map<std::string, consensus::RegisterState> states() const = 0;
    /// "" if there is none. Throws StorageError where a record is corrupt.
    virtual std::string note(const std::string& name) const = 0;
    /// All of it is synced on return; on a throw (StorageError) nothing of it counts. A state that is as when
    /// new is deleted.
    virtual void write(const std::map<std::string, consensus::RegisterState>& states,
                       const std::map<std::string, std::string>& notes) = 0;
};

/// The store on a real disk. Owns its directory: no other process may have it open.
class LmdbReplicaStore final : public ReplicaStore {
  public:
    /// Opens or makes the store in `folder`, which may grow to `bytes`. Throws StorageError.
    LmdbReplicaStore(const std::string& folder, std::size_t bytes);
    ~LmdbReplicaStore() override;

    std::map<std::string, consensus::RegisterState> states() const override;
    std::string note(const std::string& name) const override;
    void write(const std::map<std::string, consensus::RegisterState>& states,
               const std::map<std::string, std::string>& notes) override;

  private:
    struct Parts;
    std::unique_ptr<Parts> parts_;
};

}  // namespace lichenlanding::storage
