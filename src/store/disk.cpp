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
    explicit Descriptor(int held) : held_(held) {}
    ~Descriptor() {
        if (held_ >= 0) close(held_);
    }
    Descriptor(const Descriptor&) = delete;
    operator int() const { return held_; }

  private:
    int held_;
};

std::string folderOf(const std::string& path) { return path.substr(0, path.rfind('/')); }

void namesIn(const std::string& folder, const std::string& before, std::vector<std::string>& into) {
    const std::unique_ptr<DIR, int (*)(DIR*)> open(opendir(folder.c_str()), closedir);
    if (!open) return;
    while (const auto* entry = readdir(open.get())) {
        const std::string name = entry->d_name;
        if (name == "." || name == ".." || name == kLockName) continue;
        struct stat what {};
        if (stat((folder + "/" + name).c_str(), &what) != 0) continue;
        if (S_ISDIR(what.st_mode) && before.empty()) namesIn(folder + "/" + name, name + "/", into);
        if (S_ISREG(what.st_mode)) into.push_back(before + name);
    }
}

}  // namespace

PosixDisk::PosixDisk(std::string folder) : folder_(std::move(folder)) {}

PosixDisk::~PosixDisk() {
    if (lock_ >= 0) close(lock_);
}

PosixDisk::OpenStatus PosixDisk::open() {
    for (std::size_t at = 1; at <= folder_.size(); ++at)
        if (at == folder_.size() || folder_[at] == '/')
            if (mkdir(folder_.substr(0, at).c_str(), 0700) != 0 && errno != EEXIST)
                return fails("cannot make", ""), OpenStatus::failed;
    lock_ = ::open(pathOf(kLockName).c_str(), O_CREAT | O_RDWR | O_CLOEXEC, 0600);
    if (lock_ < 0) return fails("cannot open", kLockName), OpenStatus::failed;
    if (flock(lock_, LOCK_EX | LOCK_NB) == 0) return OpenStatus::opened;
    lastError_ = folder_ + " is in use by another process";
    return errno == EWOULDBLOCK ? OpenStatus::busy : OpenStatus::failed;
}

bool PosixDisk::fails(const char* what, const std::string& name) {
    lastError_ = std::string(what) + " " + pathOf(name) + ": " + std::strerror(errno);
    return false;
}

bool PosixDisk::write(const std::string& name, std::string_view bytes) {
    const auto path = pathOf(name);
    if (const auto folder = folderOf(path); folder != folder_) {
        if (mkdir(folder.c_str(), 0700) == 0) touched_.push_back(folder_);
        else if (errno != EEXIST) return fails("cannot make the folder of", name);
    }
    const Descriptor file(::open(path.c_str(), O_CREAT | O_TRUNC | O_WRONLY | O_CLOEXEC, 0600));
    if (file < 0) return fails("cannot write", name);
    while (!bytes.empty()) {
        const auto length = ::write(file, bytes.data(), bytes.size());
        if (length < 0 && errno == EINTR) continue;
        if (length <= 0) return fails("cannot write", name);
        bytes.remove_prefix(static_cast<std::size_t>(length));
    }
    if (fsync(file) != 0) return fails("cannot sync", name);
    touched_.push_back(folderOf(path));
    return true;
}

bool PosixDisk::rename(const std::string& from, const std::string& to) {
    if (::rename(pathOf(from).c_str(), pathOf(to).c_str()) != 0) return fails("cannot rename to", to);
    touched_.push_back(folderOf(pathOf(to)));
    return true;
}

bool PosixDisk::remove(const std::string& name) {
    if (unlink(pathOf(name).c_str()) != 0 && errno != ENOENT) return fails("cannot remove", name);
    touched_.push_back(folderOf(pathOf(name)));
    return true;
}

bool PosixDisk::sync() {
    std::sort(touched_.begin(), touched_.end());
    touched_.erase(std::unique(touched_.begin(), touched_.end()), touched_.end());
    for (const auto& folder : touched_) {
        const Descriptor open(::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
        if (open < 0 || fsync(open) != 0) return fails("cannot sync", "");
    }
    touched_.clear();
    return true;
}

std::optional<std::string> PosixDisk::read(const std::string& name) const {
    const Descriptor file(::open(pathOf(name).c_str(), O_RDONLY | O_CLOEXEC));
    if (file < 0) return {};
    std::string bytes;
    char piece[65536];
    while (true) {
        const auto length = ::read(file, piece, sizeof piece);
        if (length < 0 && errno == EINTR) continue;
        if (length < 0) return {};
        if (length == 0) return bytes;
        bytes.append(piece, static_cast<std::size_t>(length));
    }
}

std::vector<std::string> PosixDisk::list() const {
    std::vector<std::string> all;
    namesIn(folder_, "", all);
    std::sort(all.begin(), all.end());
    return all;
}

}  // namespace lichenlanding::store
