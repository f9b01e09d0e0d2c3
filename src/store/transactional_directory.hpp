// Durable state as a few files in a directory, changed in transactions. If the process is killed at any time,
// the files of a transaction are either all as before it or all as after it.
//
// A transaction of one file is a rename. A transaction of several files is first written to a journal file;
// it is committed once the journal has its final name, and opening the directory applies a journal that is
// left there. Files are replaced and never written in place, so an open file always has one whole version.
#pragma once

#include <memory>

#include "store/disk.hpp"

namespace lichenlanding::store {

struct StoreError {
    bool busy = false;  ///< another process holds the directory
    std::string text;   ///< for operators, with the system's error message
};

/// File names with their new content; a file without content is removed.
using Transaction = std::vector<std::pair<std::string, std::optional<std::string>>>;

class TransactionalDirectory {
  public:
    /// Recovers from a crash: applies a committed journal and removes temporary files.
    explicit TransactionalDirectory(Disk& disk);

    /// Error of the last recovery; empty if it succeeded.
    const std::optional<StoreError>& openError() const { return openError_; }
    std::optional<std::string> read(const std::string& name) const;

    /// Returns nothing once the transaction is committed and durable. After an error it was not committed,
    /// unless the text says that it may have been (the last sync failed); opening the directory again decides
    /// that. Throws std::invalid_argument for a reserved name.
    std::optional<StoreError> commit(const Transaction& transaction);

    /// Whether the name is kept for the directory's own files; a transaction must not contain it.
    static bool isReserved(const std::string& name);

  private:
    std::optional<StoreError> storeError(const char* text) const;
    std::optional<StoreError> commitOne(const std::string& name, const std::optional<std::string>& bytes);
    std::optional<StoreError> commitAll(const Transaction& transaction);
    bool apply(const Transaction& transaction);
    void recover();

    Disk& disk_;
    std::optional<StoreError> openError_;
    std::optional<Transaction> pending_;  // committed in the journal, but not applied completely
};

}  // namespace lichenlanding::store
