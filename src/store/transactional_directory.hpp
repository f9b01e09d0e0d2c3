// Durable state as a few files in a folder, changed in steps. A kill at any instant leaves the state before a
// step or the one after it, for all files of the step together.
//
// A step of one file is a rename. A step of several is written whole into one journal file first; from the
// moment that file has its name the step has happened: opening a folder carries out what a journal holds.
// Nothing is ever written over: whoever opens a file by its name reads one whole version of it.
#pragma once

#include <memory>

#include "store/disk.hpp"

namespace lichenlanding::store {

struct StoreError {
    bool busy = false;  // another process has the folder
    std::string text;   // for a person, with the system's word
};

// Files of one step; no bytes: the file goes.
using Transaction = std::vector<std::pair<std::string, std::optional<std::string>>>;

class TransactionalDirectory {
  public:
    // Carries out a journal that a kill has left, and removes what never got its name.
    explicit TransactionalDirectory(Disk& disk);

    const std::optional<StoreError>& openError() const { return openError_; }  // of the opening
    std::optional<std::string> read(const std::string& name) const;

    // Nothing: it has happened and lasts. Trouble: it has not happened, unless the text says that it may have
    // (the last sync failed); opening the folder again settles that.
    std::optional<StoreError> commit(const Transaction& step);

    static bool isReserved(const std::string& name);  // the folder's own files, which no step may name

  private:
    std::optional<StoreError> fails(const char* what) const;
    std::optional<StoreError> commitOne(const std::string& name, const std::optional<std::string>& bytes);
    std::optional<StoreError> commitAll(const Transaction& step);
    bool apply(const Transaction& step);
    void recover();

    Disk& disk_;
    std::optional<StoreError> openError_;
    std::optional<Transaction> pending_;  // has happened, by its journal, and is not carried out whole
};

}  // namespace lichenlanding::store
