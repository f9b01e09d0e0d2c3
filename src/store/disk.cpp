#include "store/disk.hpp"

#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace lichenlanding::store {
namespace {

constexpr const char* kLockName = ".lock";

class Descriptor {
  public:
    explicit Descriptor(int descriptor) : descriptor_(descriptor) {}
    ~Descriptor() {
        if (descriptor_ >= 0) close(descriptor_);
    }
    Descriptor(const Descriptor&) = delete;
    operator int() const { return descriptor_; }

  private:
    int descriptor_;
};

std::string parentDirectoryOf(const std::string& path) { return path.substr(0, path.rfind('/')); }

// Appends the names of the regular files, with one level of subdirectories.
void listFiles(const std::string& directory, const std::string& prefix, std::vector<std::string>& names) {
    const std::unique_ptr<DIR, int (*)(DIR*)> stream(opendir(directory.c_str()), closedir);
    if (!stream) return;
    while (const auto* entry = readdir(stream.get())) {
        const std::string name = entry->d_name;
        if (name == "." || name == ".." || name == kLockName) continue;
        struct stat status {};
        if (stat((directory + "/" + name).c_str(), &status) != 0) continue;
        if (S_ISDIR(status.st_mode) && prefix.empty()) listFiles(directory + "/" + name, name + "/", names);
        if (S_ISREG(status.st_mode)) names.push_back(prefix + name);
    }
}

}  // namespace

PosixDisk::PosixDisk(std::string directory) : directory_(std::move(directory)) {}

PosixDisk::~PosixDisk() {
    if (lock_ >= 0) close(lock_);
}

PosixDisk::OpenStatus PosixDisk::open() {
    for (std::size_t end = 1; end <= directory_.size(); ++end)
        if (end == directory_.size() || directory_[end] == '/')
            if (mkdir(directory_.substr(0, end).c_str(), 0700) != 0 && errno != EEXIST)
                return recordError("cannot create directory", ""), OpenStatus::failed;
    lock_ = ::open(pathOf(kLockName).c_str(), O_CREAT | O_RDWR | O_CLOEXEC, 0600);
    if (lock_ < 0) return recordError("cannot open", kLockName), OpenStatus::failed;
    if (flock(lock_, LOCK_EX | LOCK_NB) == 0) return OpenStatus::opened;
    lastError_ = directory_ + " is in use by another process";
    return errno == EWOULDBLOCK ? OpenStatus::busy : OpenStatus::failed;
}

bool PosixDisk::recordError(const char* operation, const std::string& name) {
    lastError_ = std::string(operation) + " " + pathOf(name) + ": " + std::strerror(errno);
    return false;
}

bool PosixDisk::write(const std::string& name, std::string_view bytes) {
    const auto path = pathOf(name);
    if (const auto parent = parentDirectoryOf(path); parent != directory_) {
        if (mkdir(parent.c_str(), 0700) == 0) unsyncedDirectories_.push_back(directory_);
        else if (errno != EEXIST) return recordError("cannot create the directory of", name);
    }
    const Descriptor file(::open(path.c_str(), O_CREAT | O_TRUNC | O_WRONLY | O_CLOEXEC, 0600));
    if (file < 0) return recordError("cannot write", name);
    while (!bytes.empty()) {
        const auto length = ::write(file, bytes.data(), bytes.size());
        if (length < 0 && errno == EINTR) continue;
        if (length <= 0) return recordError("cannot write", name);
        bytes.remove_prefix(static_cast<std::size_t>(length));
    }
    if (fsync(file) != 0) return recordError("cannot sync", name);
    unsyncedDirectories_.push_back(parentDirectoryOf(path));
    return true;
}

bool PosixDisk::rename(const std::string& from, const std::string& to) {
    if (::rename(pathOf(from).c_str(), pathOf(to).c_str()) != 0) return recordError("cannot rename to", to);
    unsyncedDirectories_.push_back(parentDirectoryOf(pathOf(to)));
    return true;
}

bool PosixDisk::remove(const std::string& name) {
    if (unlink(pathOf(name).c_str()) != 0 && errno != ENOENT) return recordError("cannot remove", name);
    unsyncedDirectories_.push_back(parentDirectoryOf(pathOf(name)));
    return true;
}

bool PosixDisk::sync() {
    std::sort(unsyncedDirectories_.begin(), unsyncedDirectories_.end());
    unsyncedDirectories_.erase(std::unique(unsyncedDirectories_.begin(), unsyncedDirectories_.end()),
                               unsyncedDirectories_.end());
    for (const auto& directory : unsyncedDirectories_) {
        const Descriptor descriptor(::open(directory.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
        if (descriptor < 0 || fsync(descriptor) != 0) return recordError("cannot sync", "");
    }
    unsyncedDirectories_.clear();
    return true;
}

std::optional<std::string> PosixDisk::read(const std::string& name) const {
    const Descriptor file(::open(pathOf(name).c_str(), O_RDONLY | O_CLOEXEC));
    if (file < 0) return {};
    std::string bytes;
    char buffer[65536];
    while (true) {
        const auto length = ::read(file, buffer, sizeof buffer);
        if (length < 0 && errno == EINTR) continue;
        if (length < 0) return {};
        if (length == 0) return bytes;
        bytes.append(buffer, static_cast<std::size_t>(length));
    }
}

std::vector<std::string> PosixDisk::list() const {
    std::vector<std::string> names;
    listFiles(directory_, "", names);
    std::sort(names.begin(), names.end());
    return names;
}

}  // namespace lichenlanding::store
