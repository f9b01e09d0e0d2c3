// The control node's disk: states of the register by key, in LMDB. A call returns when what it wrote is
// synced.
//
// Each record carries its format's number and a checksum (CRC-32), since LMDB keeps none. A book that cannot
// be read is told as damaged; its owner then starts as on a new disk, it never guesses.
#pragma once

#include <map>
#include <memory>
#include <stdexcept>
#include <string>

#include "consensus/consensus.hpp"

namespace lichenlanding::storage {

// Notes beside the states: the identity of the disk, its standing among the epochs (JSON), and the members as
// a book from before there were epochs names them.
inline const std::string kDiskNote = "disk", kStandingNote = "standing", kOldMembersNote = "members";

// Errors carry the step at which they arose and the file.
struct StorageError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// What a control node needs of its disk; tests have one that hangs, fails and forgets.
class ReplicaStore {
  public:
    virtual ~ReplicaStore() = default;
    virtual std::map<std::string, consensus::RegisterState> states()
        const = 0;  // throws DiskError where a record is damaged
    virtual std::string note(const std::string& name) const = 0;  // "" if there is none
    // All of it is synced on return; on a throw nothing of it counts. A cell as it is when new is taken off.
    virtual void write(const std::map<std::string, consensus::RegisterState>& states,
                       const std::map<std::string, std::string>& notes) = 0;
};

class LmdbReplicaStore final : public ReplicaStore {
  public:
    // Opens or makes the book in `folder`, which may grow to `bytes`. Throws DiskError.
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
