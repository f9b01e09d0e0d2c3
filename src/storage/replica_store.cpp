#include "storage/replica_store.hpp"

#include <fcntl.h>
#include <lmdb.h>
#include <unistd.h>

#include <boost/crc.hpp>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <utility>

namespace lichenlanding::storage {
namespace {

// How errors have always begun: on-call searches the logs for it, and the directory has this name.
const std::string kErrorPrefix = "promptbook";

// On the disks of running clusters (docs/design/storage-format.md).
constexpr char kFormat = 1;
constexpr char kStateMark = 'c', kNoteMark = 'n';

void check(int code, const char* step, const std::string& folder) {
    if (code != 0)
        throw StorageError(kErrorPrefix + (" " + folder) + ": " + step + ": " + mdb_strerror(code), folder,
                           step);
}

// A name in a folder lasts a loss of power once the folder is synced, whatever was synced of the file itself.
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
        throw StorageError(kErrorPrefix + ": a record is cut short", "record", "read");
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
        throw StorageError(kErrorPrefix + ": record " + key + " is of another format", key, "read");
    auto sum = bytes.substr(bytes.size() - 4);
    bytes.remove_suffix(4);
    if (consume<std::uint32_t>(sum) != checksum(bytes))
        throw StorageError(kErrorPrefix + ": record " + key + " fails its checksum", key, "read");
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

struct LmdbReplicaStore::Parts {
    std::string folder;
    MDB_env* env = nullptr;
    MDB_dbi dbi = 0;

    // One transaction, ended whichever way the scope is left.
    struct Transaction {
        MDB_txn* txn = nullptr;
        Transaction(const Parts& parts, unsigned flags) {
            check(mdb_txn_begin(parts.env, nullptr, flags, &txn), "begin", parts.folder);
        }
        ~Transaction() {
            if (txn) mdb_txn_abort(txn);
        }
        int commit() { return mdb_txn_commit(std::exchange(txn, nullptr)); }
    };

    explicit Parts(std::string folder_, std::size_t bytes) : folder(std::move(folder_)) {
        check(mdb_env_create(&env), "create", folder);
        mdb_env_set_mapsize(env, bytes);
        // No lock file: one process has the disk, and locks do nothing there.
        const int code = mdb_env_open(env, folder.c_str(), MDB_NOLOCK | MDB_NOTLS, 0644);
        if (code != 0) mdb_env_close(std::exchange(env, nullptr));
        check(code, "open", folder);
        try {
            Transaction transaction(*this, 0);
            check(mdb_dbi_open(transaction.txn, nullptr, 0, &dbi), "open table", folder);
            check(transaction.commit(), "commit", folder);
            syncFolder(folder);
            syncFolder(std::filesystem::absolute(folder).parent_path().string());
        } catch (...) {
            mdb_env_close(std::exchange(env, nullptr));
            throw;
        }
    }
    ~Parts() {
        if (env) mdb_env_close(env);
    }

    void put(MDB_txn* txn, char mark, const std::string& name, const std::string& bytes) const {
        auto key = mark + name;
        auto record = withChecksum(bytes);
        MDB_val at{key.size(), key.data()};
        MDB_val what{record.size(), record.data()};
        check(mdb_put(txn, dbi, &at, &what, 0), "put", folder);
    }

    void drop(MDB_txn* txn, char mark, const std::string& name) const {
        auto key = mark + name;
        MDB_val at{key.size(), key.data()};
        if (const int code = mdb_del(txn, dbi, &at, nullptr); code != MDB_NOTFOUND)
            check(code, "drop", folder);
    }

    template <typename Take>
    void each(char mark, Take take) const {
        Transaction transaction(*this, MDB_RDONLY);
        MDB_cursor* cursor = nullptr;
        check(mdb_cursor_open(transaction.txn, dbi, &cursor), "cursor", folder);
        const std::unique_ptr<MDB_cursor, decltype(&mdb_cursor_close)> owned(cursor, &mdb_cursor_close);
        MDB_val at;
        MDB_val what;
        int code = 0;
        while ((code = mdb_cursor_get(cursor, &at, &what, MDB_NEXT)) == 0) {
            const std::string key(static_cast<const char*>(at.mv_data), at.mv_size);
            if (key.empty() || key[0] != mark) continue;
            take(key.substr(1), verified({static_cast<const char*>(what.mv_data), what.mv_size}, key));
        }
        if (code != MDB_NOTFOUND) check(code, "read", folder);
    }
};

LmdbReplicaStore::LmdbReplicaStore(const std::string& folder, std::size_t bytes)
    : parts_(std::make_unique<Parts>(folder, bytes)) {}
LmdbReplicaStore::~LmdbReplicaStore() = default;

std::map<std::string, consensus::RegisterState> LmdbReplicaStore::states() const {
    std::map<std::string, consensus::RegisterState> all;
    parts_->each(kStateMark,
                 [&](const std::string& key, std::string_view bytes) { all[key] = decodeState(bytes); });
    return all;
}

std::string LmdbReplicaStore::note(const std::string& name) const {
    std::string text;
    parts_->each(kNoteMark, [&](const std::string& key, std::string_view bytes) {
        if (key == name) text = bytes;
    });
    return text;
}

void LmdbReplicaStore::write(const std::map<std::string, consensus::RegisterState>& states,
                             const std::map<std::string, std::string>& notes) {
    Parts::Transaction transaction(*parts_, 0);
    for (const auto& [key, state] : states)
        if (state == consensus::RegisterState{}) parts_->drop(transaction.txn, kStateMark, key);
        else parts_->put(transaction.txn, kStateMark, key, encodeState(state));
    for (const auto& [key, text] : notes) parts_->put(transaction.txn, kNoteMark, key, text);
    check(transaction.commit(), "commit", parts_->folder);
    // LMDB writes its last page through a descriptor that is opened for synchronous writing. Where that means
    // nothing, only a sync of the file makes the commit last.
    mdb_filehandle_t file;
    check(mdb_env_get_fd(parts_->env, &file), "file", parts_->folder);
    if (fdatasync(file) != 0) check(errno, "sync", parts_->folder);
}

}  // namespace lichenlanding::storage
