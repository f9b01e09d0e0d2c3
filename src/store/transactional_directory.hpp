// Durable state as a few files in a directory, changed in transactions. A kill at any instant leaves the
// state before a transaction or the one after it, for all files of the step together.
//
// A transaction of one file is a rename. A transaction of several is written whole into one journal file
// first; from the moment that file has its name the step has happened: opening a directory carries out what a
// journal holds. Nothing is ever written over: whoever opens a file by its name reads one whole version of
// it.
#pragma once

#include <memory>

#include "store/disk.hpp"

namespace lichenlanding::store {

struct StoreError {
    bool busy = false;  ///< another process has the directory
    std::string text;   ///< for an operator, with the system's word
};

/// Files of one transaction; no bytes: the file goes.
using Transaction = std::vector<std::pair<std::string, std::optional<std::string>>>;

class TransactionalDirectory {
  public:
    /// Carries out a journal that a kill has left, and removes what never got its name.
    explicit TransactionalDirectory(Disk& disk);

    const std::optional<StoreError>& openError() const { return openError_; }  ///< of the opening
    std::optional<std::string> read(const std::string& name) const;

    /// Nothing: it has happened and is durable. An error: it has not happened, unless the text says that it
    /// may have (the last sync failed); opening the directory again settles that.
    std::optional<StoreError> commit(const Transaction& transaction);

    static bool isReserved(
        const std::string& name);  ///< the directory's own files, which no transaction may name

  private:
    std::optional<StoreError> fails(const char* what) const;
    std::optional<StoreError> commitOne(const std::string& name, const std::optional<std::string>& bytes);
    std::optional<StoreError> commitAll(const Transaction& transaction);
    bool apply(const Transaction& transaction);
    void recover();

    Disk& disk_;
    std::optional<StoreError> openError_;
    std::optional<Transaction> pending_;  // has happened, by its journal, and is not carried out whole
};

}  // namespace lichenlanding::store
