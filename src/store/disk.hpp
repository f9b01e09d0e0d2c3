// The few things that a store asks of a file system, so that tests can put one before it that crashes at any
// step, forgets what was not synced, or is full.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lichenlanding::store {

/// Names are relative, with at most one '/' in them. All calls return false, or nothing, on an error; why()
/// then tells it for an operator.
class Disk {
  public:
    virtual ~Disk() = default;
    virtual bool write(const std::string& name,
                       std::string_view bytes) = 0;  ///< anew, whole, its data synced
    virtual bool rename(const std::string& from, const std::string& to) = 0;  ///< atomic
    virtual bool remove(const std::string& name) = 0;                         ///< true if it was not there
    virtual bool sync() = 0;  ///< names: what was renamed, made or removed before is there after a crash
    virtual std::optional<std::string> read(const std::string& name) const = 0;
    virtual std::vector<std::string> list() const = 0;  ///< sorted
    virtual std::string lastError() const = 0;
};

/// A directory of the real file system. Locked while it lives: a second one on the same folder, in whatever
/// process, is refused. Files are made with mode 0600, directories with 0700.
class PosixDisk final : public Disk {
  public:
    enum class OpenStatus { opened, busy, failed };

    explicit PosixDisk(std::string folder);
    ~PosixDisk() override;
    PosixDisk(const PosixDisk&) = delete;

    OpenStatus open();  ///< makes the directory if it is missing
    bool write(const std::string& name, std::string_view bytes) override;
    bool rename(const std::string& from, const std::string& to) override;
    bool remove(const std::string& name) override;
    bool sync() override;
    std::optional<std::string> read(const std::string& name) const override;
    std::vector<std::string> list() const override;
    std::string lastError() const override { return lastError_; }

  private:
    bool fails(const char* what, const std::string& name);
    std::string pathOf(const std::string& name) const { return folder_ + "/" + name; }

    std::string folder_, lastError_;
    std::vector<std::string> touched_;  // directories whose names await a sync
    int lock_ = -1;
};

}  // namespace lichenlanding::store
