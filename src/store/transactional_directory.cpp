#include "store/transactional_directory.hpp"

#include <cstdint>
#include <stdexcept>

namespace lichenlanding::store {
namespace {

constexpr const char* kJournalName = ".journal";
constexpr const char* kTemporarySuffix = ".new";  // of a file that is not renamed to its final name yet
constexpr std::string_view kMagic = "lichenlanding journal 1\n";

// FNV-1a: detects a truncated journal. It does not protect from an attacker, who could write the files
// themselves; what is read from them is verified like any other metadata.
std::uint64_t checksumOf(std::string_view bytes) {
    std::uint64_t sum = 14695981039346656037U;
    for (const char byte : bytes) sum = (sum ^ static_cast<unsigned char>(byte)) * 1099511628211U;
    return sum;
}

void appendNumber(std::string& to, std::uint64_t number) {
    for (int byte = 0; byte < 8; ++byte) to += static_cast<char>(number >> (8 * byte));
}

std::optional<std::uint64_t> takeNumber(std::string_view& from) {
    if (from.size() < 8) return {};
    std::uint64_t number = 0;
    for (int byte = 0; byte < 8; ++byte)
        number |= static_cast<std::uint64_t>(static_cast<unsigned char>(from[static_cast<std::size_t>(byte)]))
                  << (8 * byte);
    from.remove_prefix(8);
    return number;
}

std::optional<std::string> takeText(std::string_view& from) {
    const auto length = takeNumber(from);
    if (!length || *length > from.size()) return {};
    std::string text(from.substr(0, static_cast<std::size_t>(*length)));
    from.remove_prefix(text.size());
    return text;
}

std::string encode(const Transaction& transaction) {
    std::string body;
    appendNumber(body, transaction.size());
    for (const auto& [name, bytes] : transaction) {
        appendNumber(body, name.size());
        body += name;
        appendNumber(body, bytes ? 1 : 0);
        appendNumber(body, bytes ? bytes->size() : 0);
        if (bytes) body += *bytes;
    }
    std::string journal(kMagic);
    appendNumber(journal, checksumOf(body));
    return journal + body;
}

std::optional<Transaction> decode(std::string_view from) {
    if (from.substr(0, kMagic.size()) != kMagic) return {};
    from.remove_prefix(kMagic.size());
    const auto sum = takeNumber(from);
    if (!sum || *sum != checksumOf(from)) return {};
    const auto count = takeNumber(from);
    if (!count) return {};
    Transaction transaction;
    for (std::uint64_t file = 0; file < *count; ++file) {
        auto name = takeText(from);
        const auto hasBytes = takeNumber(from);
        auto bytes = hasBytes ? takeText(from) : std::nullopt;
        if (!name || !bytes) return {};
        transaction.emplace_back(std::move(*name), *hasBytes ? std::move(bytes) : std::nullopt);
    }
    return from.empty() ? std::optional(std::move(transaction)) : std::nullopt;
}

bool endsWith(std::string_view text, std::string_view suffix) {
    return text.size() >= suffix.size() && text.substr(text.size() - suffix.size()) == suffix;
}

}  // namespace

TransactionalDirectory::TransactionalDirectory(Disk& disk) : disk_(disk) { recover(); }

bool TransactionalDirectory::isReserved(const std::string& name) {
    return name.empty() || name[0] == '.' || endsWith(name, kTemporarySuffix);
}

std::optional<StoreError> TransactionalDirectory::storeError(const char* text) const {
    return StoreError{false, std::string(text) + ": " + disk_.lastError()};
}

// Writes each file under a temporary name and renames it over the current one. Idempotent.
bool TransactionalDirectory::apply(const Transaction& transaction) {
    for (const auto& [name, bytes] : transaction) {
        if (!bytes) {
            if (!disk_.remove(name)) return false;
        } else if (!disk_.write(name + kTemporarySuffix, *bytes) ||
                   !disk_.rename(name + kTemporarySuffix, name)) {
            return false;
        }
    }
    return disk_.sync();
}

std::optional<std::string> TransactionalDirectory::read(const std::string& name) const {
    if (pending_)
        for (const auto& [file, bytes] : *pending_)
            if (file == name) return bytes;
    return disk_.read(name);
}

void TransactionalDirectory::recover() {
    openError_.reset();
    if (const auto journal = disk_.read(kJournalName)) {
        // The journal gets its name only after it is written and synced, so one that cannot be decoded was
        // never committed.
        pending_ = decode(*journal);
        if (pending_ && !apply(*pending_))
            openError_ = storeError("cannot apply the committed transaction in the journal");
        if (!openError_ && (!disk_.remove(kJournalName) || !disk_.sync()))
            openError_ = storeError("cannot remove the journal");
    }
    if (openError_) return;
    pending_.reset();
    for (const auto& name : disk_.list())
        if (endsWith(name, kTemporarySuffix)) disk_.remove(name);  // a failure is harmless
}

std::optional<StoreError> TransactionalDirectory::commit(const Transaction& transaction) {
    for (const auto& [name, bytes] : transaction)
        if (isReserved(name))
            throw std::invalid_argument("transaction contains the reserved file name " + name);
    if (pending_) {  // else the journal of the previous transaction would undo this one
        recover();
        if (openError_) return openError_;
    }
    return transaction.size() == 1 ? commitOne(transaction.front().first, transaction.front().second)
                                   : commitAll(transaction);
}

std::optional<StoreError> TransactionalDirectory::commitOne(const std::string& name,
                                                            const std::optional<std::string>& bytes) {
    if (bytes && !disk_.write(name + kTemporarySuffix, *bytes)) {
        const auto error = storeError("nothing was changed");
        disk_.remove(name + kTemporarySuffix);
        return error;
    }
    if (bytes ? !disk_.rename(name + kTemporarySuffix, name) : !disk_.remove(name))
        return storeError("nothing was changed");
    if (!disk_.sync()) return storeError("the change may be lost in a crash");
    return {};
}

std::optional<StoreError> TransactionalDirectory::commitAll(const Transaction& transaction) {
    const auto temporaryJournal = std::string(kJournalName) + kTemporarySuffix;
    if (!disk_.write(temporaryJournal, encode(transaction))) {
        const auto error = storeError("nothing was changed");
        disk_.remove(temporaryJournal);
        return error;
    }
    if (!disk_.rename(temporaryJournal, kJournalName)) return storeError("nothing was changed");
    pending_ = transaction;
    if (!disk_.sync()) return storeError("the change may be lost in a crash");
    // The transaction is committed. If it cannot be applied now, the next commit or opening does it.
    if (apply(transaction) && disk_.remove(kJournalName) && disk_.sync()) pending_.reset();
    return {};
}

}  // namespace lichenlanding::store
