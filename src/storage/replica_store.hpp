/// A control node's persistent store: register states by key, and named notes, in LMDB.
/// docs/design/storage-format.md describes the records.
///
/// Each record has a format number and a CRC-32 checksum, since LMDB has no checksums. A damaged store is
/// reported as corrupt; its owner then starts as with a new disk and never works with partial data.
/// Use from one thread at a time.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "consensus/consensus.hpp"
#include "errors.hpp"

namespace lichenlanding::storage {

// Names of notes, the text entries beside the register states. They are stored on the disks of running
// clusters and must not change.
inline const std::string kDiskIdentityNote = "disk";    // identity of the disk
inline const std::string kEpochStateNote = "standing";  // consensus::EpochState, as JSON
// The member addresses, in stores of versions without epochs.
inline const std::string kLegacyMembersNote = "members";

/// The machine refused an operation: no space, no descriptor, an I/O error. The data may be intact. `subject`
/// is the directory or the key of the record.
struct StorageError : Error {
    explicit StorageError(const std::string& what, std::string subject = "", std::string step = "")
        : Error(what, "use the store", std::move(subject), std::move(step)) {}
};

/// The data on disk is damaged, or is no store of a known format.
struct CorruptStoreError : StorageError {
    using StorageError::StorageError;
};

/// Interface to the store. Tests have an implementation that can hang, fail and lose data.
class ReplicaStore {
  public:
    virtual ~ReplicaStore() = default;
    /// All register states by key. Throws StorageError; CorruptStoreError if a record is corrupt.
    virtual std::map<std::string, consensus::RegisterState> states() const = 0;
    /// The text of a note; "" if absent. Throws like states().
    virtual std::string note(const std::string& name) const = 0;
    /// Writes the entries atomically and syncs them before it returns. On StorageError the store must be
    /// treated as unchanged. A state that equals the default is deleted.
    virtual void write(const std::map<std::string, consensus::RegisterState>& states,
                       const std::map<std::string, std::string>& notes) = 0;
};

/// The store on disk. Owns its directory: no other process may have it open.
class LmdbReplicaStore final : public ReplicaStore {
  public:
    /// Opens or creates the store in `folder`, with a maximum size of `maxBytes`. Throws StorageError;
    /// CorruptStoreError if there is a file that is no store.
    LmdbReplicaStore(const std::string& folder, std::size_t maxBytes);
    ~LmdbReplicaStore() override;

    std::map<std::string, consensus::RegisterState> states() const override;
    std::string note(const std::string& name) const override;
    void write(const std::map<std::string, consensus::RegisterState>& states,
               const std::map<std::string, std::string>& notes) override;

  private:
    struct Environment;
    std::unique_ptr<Environment> environment_;
};

}  // namespace lichenlanding::storage
