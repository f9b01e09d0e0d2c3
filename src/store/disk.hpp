// The file system operations that a store uses. Tests substitute an implementation that crashes at any
// operation, loses what was not synced, or is full.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lichenlanding::store {

/// Files of one directory. Names are relative and contain at most one '/'. On an error every call returns
/// false or nothing, and lastError() describes the error.
class Disk {
  public:
    virtual ~Disk() = default;
    /// Creates or truncates the file, writes all bytes and syncs the file's data.
    virtual bool write(const std::string& name, std::string_view bytes) = 0;
    virtual bool rename(const std::string& from, const std::string& to) = 0;  ///< atomic
    virtual bool remove(const std::string& name) = 0;  ///< true if the file does not exist
    /// Syncs directory entries: files created, renamed or removed so far remain so after a crash.
    virtual bool sync() = 0;
    virtual std::optional<std::string> read(const std::string& name) const = 0;
    virtual std::vector<std::string> list() const = 0;  ///< names of all files, sorted
    virtual std::string lastError() const = 0;          ///< description of the last error, for operators
};

/// A directory of the real file system, locked from open() until destruction: a second PosixDisk on the same
/// directory, in this or another process, gets OpenStatus::busy. Files are created with mode 0600,
/// directories with 0700.
class PosixDisk final : public Disk {
  public:
    enum class OpenStatus {
        opened,
        busy,   ///< another process, or another object of this one, holds the lock
        failed  ///< see lastError()
    };

    explicit PosixDisk(std::string directory);
    ~PosixDisk() override;
    PosixDisk(const PosixDisk&) = delete;

    OpenStatus open();  ///< locks the directory; creates it, with its parents, if it is missing
    bool write(const std::string& name, std::string_view bytes) override;
    bool rename(const std::string& from, const std::string& to) override;
    bool remove(const std::string& name) override;
    bool sync() override;
    std::optional<std::string> read(const std::string& name) const override;
    std::vector<std::string> list() const override;
    std::string lastError() const override { return lastError_; }

  private:
    bool recordError(const char* operation, const std::string& name);  // always returns false
    std::string pathOf(const std::string& name) const { return directory_ + "/" + name; }

    std::string directory_, lastError_;
    std::vector<std::string> unsyncedDirectories_;  // with entries changed since the last sync()
    int lock_ = -1;
};

}  // namespace lichenlanding::store
