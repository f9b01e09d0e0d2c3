#include "storage/replica_store.hpp"

#include <fcntl.h>
#include <lmdb.h>
#include <sys/stat.h>
#include <unistd.h>

#include <boost/crc.hpp>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <utility>

namespace lichenlanding::storage {
namespace {

// Operators search the logs for this prefix; it is also the name of the directory.
const std::string kErrorPrefix = "promptbook";

// Stored on the disks of running clusters (docs/design/storage-format.md).
constexpr char kFormat = 1;
constexpr off_t kMaxEntryOffset = 64 << 10;  // LMDB's offsets within a page have 16 bits
constexpr char kStatePrefix = 'c', kNotePrefix = 'n';

// LMDB's codes for a file that it cannot use. Its other codes, and the values of errno, leave the file
// intact.
bool isCorruption(int code) {
    switch (code) {
        case MDB_CORRUPTED:
        case MDB_PAGE_NOTFOUND:
        case MDB_INVALID:
        case MDB_VERSION_MISMATCH:
        case MDB_INCOMPATIBLE:
            return true;
        default:
            return false;
    }
}

void check(int code, const char* step, const std::string& folder) {
    if (code == 0) return;
    const auto what = kErrorPrefix + (" " + folder) + ": " + step + ": " + mdb_strerror(code);
    if (isCorruption(code)) throw CorruptStoreError(what, folder, step);
    throw StorageError(what, folder, step);
}

// A directory entry survives a power loss only after the directory is synced, even if the file is.
void syncFolder(const std::string& folder) {
    const int file = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY);
    if (file < 0) check(errno, "open folder", folder);
    const int code = fsync(file) == 0 ? 0 : errno;
    ::close(file);
    check(code, "sync folder", folder);
}

std::uint32_t checksum(std::string_view bytes) {
    boost::crc_32_type crc;
    crc.process_bytes(bytes.data(), bytes.size());
    return crc.checksum();
}

template <typename T>
void append(std::string& bytes, T number) {
    bytes.append(reinterpret_cast<const char*>(&number), sizeof number);
}

template <typename T>
T consume(std::string_view& bytes) {
    T number{};
    if (bytes.size() < sizeof number)
        throw CorruptStoreError(kErrorPrefix + ": record is truncated", "record", "read");
    std::memcpy(&number, bytes.data(), sizeof number);
    bytes.remove_prefix(sizeof number);
    return number;
}

std::string withChecksum(std::string bytes) {
    bytes.insert(bytes.begin(), kFormat);
    append(bytes, checksum(bytes));
    return bytes;
}

std::string_view verified(std::string_view bytes, const std::string& key) {
    if (bytes.size() < 5 || bytes.front() != kFormat)
        throw CorruptStoreError(kErrorPrefix + ": record " + key + " has an unknown format", key, "read");
    auto sum = bytes.substr(bytes.size() - 4);
    bytes.remove_suffix(4);
    if (consume<std::uint32_t>(sum) != checksum(bytes))
        throw CorruptStoreError(kErrorPrefix + ": record " + key + " fails its checksum", key, "read");
    return bytes.substr(1);
}

std::string encodeState(const consensus::RegisterState& state) {
    std::string bytes;
    for (const auto& proposalNumber : {state.promised, state.accepted}) {
        append(bytes, proposalNumber.round);
        append(bytes, proposalNumber.proposer);
    }
    return bytes + state.value;
}

consensus::RegisterState decodeState(std::string_view bytes) {
    consensus::RegisterState state;
    for (auto* proposalNumber : {&state.promised, &state.accepted}) {
        proposalNumber->round = consume<std::uint64_t>(bytes);
        proposalNumber->proposer = consume<std::uint32_t>(bytes);
    }
    state.value = bytes;
    return state;
}

}  // namespace

struct LmdbReplicaStore::Environment {
    std::string folder;
    MDB_env* env = nullptr;
    MDB_dbi dbi = 0;

    // A transaction that is aborted at the end of the scope unless committed.
    struct Transaction {
        MDB_txn* txn = nullptr;
        Transaction(const Environment& environment, unsigned flags) {
            check(mdb_txn_begin(environment.env, nullptr, flags, &txn), "begin", environment.folder);
        }
        ~Transaction() {
            if (txn) mdb_txn_abort(txn);
        }
        int commit() { return mdb_txn_commit(std::exchange(txn, nullptr)); }
    };

    explicit Environment(std::string folder_, std::size_t maxBytes) : folder(std::move(folder_)) {
        check(mdb_env_create(&env), "create", folder);
        mdb_env_set_mapsize(env, maxBytes);
        // No lock file: only one process uses the directory, and locks have no effect on these disks.
        const int code = mdb_env_open(env, folder.c_str(), MDB_NOLOCK | MDB_NOTLS, 0644);
        if (code != 0) mdb_env_close(std::exchange(env, nullptr));
        check(code, "open", folder);
        try {
            Transaction transaction(*this, 0);
            check(mdb_dbi_open(transaction.txn, nullptr, 0, &dbi), "open table", folder);
            check(transaction.commit(), "commit", folder);
            extendFile(maxBytes);
            syncFolder(folder);
            syncFolder(std::filesystem::absolute(folder).parent_path().string());
        } catch (...) {
            mdb_env_close(std::exchange(env, nullptr));
            throw;
        }
    }
    ~Environment() {
        if (env) mdb_env_close(env);
    }

    // LMDB reads the file through a mapping, where a read beyond the end of the file raises SIGBUS. Extends a
    // file that has lost its end, and by the distance at which a damaged page may place its entries. The
    // extension takes no space on disk.
    void extendFile(std::size_t maxBytes) const {
        MDB_envinfo info;
        MDB_stat stat;
        check(mdb_env_info(env, &info), "info", folder);
        check(mdb_env_stat(env, &stat), "stat", folder);
        const auto used = static_cast<off_t>((info.me_last_pgno + 1) * stat.ms_psize);
        const auto size = fileSize();
        if (size >= used + kMaxEntryOffset) return;
        // The bound may have been lowered since the file was written, but no file grows beyond it.
        if (size < used && used > static_cast<off_t>(maxBytes)) check(EFBIG, "extend", folder);
        if (ftruncate(descriptor(), used + kMaxEntryOffset) != 0 && size < used)
            check(errno, "extend", folder);
    }

    mdb_filehandle_t descriptor() const {
        mdb_filehandle_t file = -1;
        check(mdb_env_get_fd(env, &file), "file", folder);
        return file;
    }

    off_t fileSize() const {
        struct stat status {};
        if (fstat(descriptor(), &status) != 0) check(errno, "size", folder);
        return status.st_size;
    }

    void put(MDB_txn* txn, char prefix, const std::string& name, const std::string& bytes) const {
        auto key = prefix + name;
        auto record = withChecksum(bytes);
        MDB_val keyData{key.size(), key.data()};
        MDB_val recordData{record.size(), record.data()};
        check(mdb_put(txn, dbi, &keyData, &recordData, 0), "put", folder);
    }

    void drop(MDB_txn* txn, char prefix, const std::string& name) const {
        auto key = prefix + name;
        MDB_val keyData{key.size(), key.data()};
        if (const int code = mdb_del(txn, dbi, &keyData, nullptr); code != MDB_NOTFOUND)
            check(code, "drop", folder);
    }

    template <typename Visit>
    void forEach(char prefix, Visit visit) const {
        Transaction transaction(*this, MDB_RDONLY);
        MDB_cursor* cursor = nullptr;
        check(mdb_cursor_open(transaction.txn, dbi, &cursor), "cursor", folder);
        const std::unique_ptr<MDB_cursor, decltype(&mdb_cursor_close)> owned(cursor, &mdb_cursor_close);
        MDB_val keyData;
        MDB_val recordData;
        const auto maxBytes = static_cast<std::size_t>(fileSize());
        int code = 0;
        while ((code = mdb_cursor_get(cursor, &keyData, &recordData, MDB_NEXT)) == 0) {
            // A damaged page may state any size.
            if (keyData.mv_size > maxBytes || recordData.mv_size > maxBytes)
                check(MDB_CORRUPTED, "read", folder);
            const std::string key(static_cast<const char*>(keyData.mv_data), keyData.mv_size);
            if (key.empty() || key[0] != prefix) continue;
            visit(key.substr(1),
                  verified({static_cast<const char*>(recordData.mv_data), recordData.mv_size}, key));
        }
        if (code != MDB_NOTFOUND) check(code, "read", folder);
    }
};

LmdbReplicaStore::LmdbReplicaStore(const std::string& folder, std::size_t maxBytes)
    : environment_(std::make_unique<Environment>(folder, maxBytes)) {}
LmdbReplicaStore::~LmdbReplicaStore() = default;

std::map<std::string, consensus::RegisterState> LmdbReplicaStore::states() const {
    std::map<std::string, consensus::RegisterState> all;
    environment_->forEach(
        kStatePrefix, [&](const std::string& key, std::string_view bytes) { all[key] = decodeState(bytes); });
    return all;
}

std::string LmdbReplicaStore::note(const std::string& name) const {
    std::string text;
    environment_->forEach(kNotePrefix, [&](const std::string& key, std::string_view bytes) {
        if (key == name) text = bytes;
    });
    return text;
}

void LmdbReplicaStore::write(const std::map<std::string, consensus::RegisterState>& states,
                             const std::map<std::string, std::string>& notes) {
    Environment::Transaction transaction(*environment_, 0);
    for (const auto& [key, state] : states)
        if (state == consensus::RegisterState{}) environment_->drop(transaction.txn, kStatePrefix, key);
        else environment_->put(transaction.txn, kStatePrefix, key, encodeState(state));
    for (const auto& [key, text] : notes) environment_->put(transaction.txn, kNotePrefix, key, text);
    check(transaction.commit(), "commit", environment_->folder);
    // LMDB writes its meta page through a descriptor opened with O_DSYNC. On file systems that ignore the
    // flag, only a sync of the file makes the commit durable.
    if (fdatasync(environment_->descriptor()) != 0) check(errno, "sync", environment_->folder);
}

}  // namespace lichenlanding::storage
