#include "store/transactional_directory.hpp"

#include <cstdint>
#include <stdexcept>

namespace lichenlanding::store {
namespace {

constexpr const char* kJournalName = ".journal";
constexpr const char* kNewSuffix = ".new";  // behind a name: not yet in force
constexpr std::string_view kMagic = "lichenlanding journal 1\n";

// FNV-1a: tells a journal that was cut from a whole one. It is not there against an adversary, who could
// write the files themselves; what is read back is verified as metadata is.
std::uint64_t sumOf(std::string_view bytes) {
    std::uint64_t sum = 14695981039346656037U;
    for (const char byte : bytes) sum = (sum ^ static_cast<unsigned char>(byte)) * 1099511628211U;
    return sum;
}

void put(std::string& to, std::uint64_t number) {
    for (int byte = 0; byte < 8; ++byte) to += static_cast<char>(number >> (8 * byte));
}

std::optional<std::uint64_t> take(std::string_view& from) {
    if (from.size() < 8) return {};
    std::uint64_t number = 0;
    for (int byte = 0; byte < 8; ++byte)
        number |= static_cast<std::uint64_t>(static_cast<unsigned char>(from[static_cast<std::size_t>(byte)]))
                  << (8 * byte);
    from.remove_prefix(8);
    return number;
}

std::optional<std::string> takeText(std::string_view& from) {
    const auto length = take(from);
    if (!length || *length > from.size()) return {};
    std::string text(from.substr(0, static_cast<std::size_t>(*length)));
    from.remove_prefix(text.size());
    return text;
}

std::string encode(const Transaction& step) {
    std::string body;
    put(body, step.size());
    for (const auto& [name, bytes] : step) {
        put(body, name.size());
        body += name;
        put(body, bytes ? 1 : 0);
        put(body, bytes ? bytes->size() : 0);
        if (bytes) body += *bytes;
    }
    std::string whole(kMagic);
    put(whole, sumOf(body));
    return whole + body;
}

std::optional<Transaction> decode(std::string_view from) {
    if (from.substr(0, kMagic.size()) != kMagic) return {};
    from.remove_prefix(kMagic.size());
    const auto sum = take(from);
    if (!sum || *sum != sumOf(from)) return {};
    const auto count = take(from);
    if (!count) return {};
    Transaction step;
    for (std::uint64_t one = 0; one < *count; ++one) {
        auto name = takeText(from);
        const auto there = take(from);
        auto bytes = there ? takeText(from) : std::nullopt;
        if (!name || !bytes) return {};
        step.emplace_back(std::move(*name), *there ? std::move(bytes) : std::nullopt);
    }
    return from.empty() ? std::optional(std::move(step)) : std::nullopt;
}

bool endsWith(std::string_view text, std::string_view end) {
    return text.size() >= end.size() && text.substr(text.size() - end.size()) == end;
}

}  // namespace

TransactionalDirectory::TransactionalDirectory(Disk& disk) : disk_(disk) { recover(); }

bool TransactionalDirectory::isReserved(const std::string& name) {
    return name.empty() || name[0] == '.' || endsWith(name, kNewSuffix);
}

std::optional<StoreError> TransactionalDirectory::fails(const char* what) const {
    return StoreError{false, std::string(what) + ": " + disk_.lastError()};
}

// Each file beside the one in force, then over it. Repeating it changes nothing more.
bool TransactionalDirectory::apply(const Transaction& step) {
    for (const auto& [name, bytes] : step) {
        if (!bytes) {
            if (!disk_.remove(name)) return false;
        } else if (!disk_.write(name + kNewSuffix, *bytes) || !disk_.rename(name + kNewSuffix, name)) {
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
        // It has its name only once it is whole and synced; one that cannot be read never got there.
        pending_ = decode(*journal);
        if (pending_ && !apply(*pending_)) openError_ = fails("a step that had begun cannot be ended");
        if (!openError_ && (!disk_.remove(kJournalName) || !disk_.sync()))
            openError_ = fails("the journal cannot be removed");
    }
    if (openError_) return;
    pending_.reset();
    for (const auto& name : disk_.list())
        if (endsWith(name, kNewSuffix)) disk_.remove(name);  // harmless if it stays
}

std::optional<StoreError> TransactionalDirectory::commit(const Transaction& step) {
    for (const auto& [name, bytes] : step)
        if (isReserved(name)) throw std::invalid_argument("a step names the folder's own file " + name);
    if (pending_) {  // the step before must end first, or its journal would undo this one
        recover();
        if (openError_) return openError_;
    }
    return step.size() == 1 ? commitOne(step.front().first, step.front().second) : commitAll(step);
}

std::optional<StoreError> TransactionalDirectory::commitOne(const std::string& name,
                                                            const std::optional<std::string>& bytes) {
    if (bytes && !disk_.write(name + kNewSuffix, *bytes)) {
        const auto error = fails("nothing was changed");
        disk_.remove(name + kNewSuffix);
        return error;
    }
    if (bytes ? !disk_.rename(name + kNewSuffix, name) : !disk_.remove(name))
        return fails("nothing was changed");
    if (!disk_.sync()) return fails("the change may not last");
    return {};
}

std::optional<StoreError> TransactionalDirectory::commitAll(const Transaction& step) {
    const auto journalFresh = std::string(kJournalName) + kNewSuffix;
    if (!disk_.write(journalFresh, encode(step))) {
        const auto error = fails("nothing was changed");
        disk_.remove(journalFresh);
        return error;
    }
    if (!disk_.rename(journalFresh, kJournalName)) return fails("nothing was changed");
    pending_ = step;
    if (!disk_.sync()) return fails("the change may not last");
    // From here on it has happened. What cannot be carried out now, the next step or opening ends.
    if (apply(step) && disk_.remove(kJournalName) && disk_.sync()) pending_.reset();
    return {};
}

}  // namespace lichenlanding::store
