#include "admin/configuration_record.hpp"

#include <algorithm>
#include <boost/uuid/detail/sha1.hpp>
#include <charconv>

#include "transport/compression.hpp"

namespace lichenlanding::admin {
namespace {

// Format of a value: the mark, the number of history entries (one byte), number and digest of each, the
// version, the compressed body. Values in the earlier format begin with a version's eight hexadecimal digits,
// unlike any mark.
constexpr std::string_view kMark = "o1";
constexpr std::size_t kEntryBytes = 4 + std::tuple_size_v<Digest>, kDigits = 8;

void appendNumber(std::string& into, std::uint32_t number) {
    for (int shift = 24; shift >= 0; shift -= 8) into += static_cast<char>(number >> shift & 0xff);
}

std::uint32_t readNumber(std::string_view from) {
    std::uint32_t number = 0;
    for (const char byte : from.substr(0, 4)) number = number << 8 | static_cast<std::uint8_t>(byte);
    return number;
}

bool isEarlierFormat(std::string_view value) {
    return value.size() > kDigits && std::all_of(value.begin(), value.begin() + kDigits, [](char digit) {
               return (digit >= '0' && digit <= '9') || (digit >= 'a' && digit <= 'f');
           });
}

// The bytes of the history, and those after it: version and body.
std::pair<std::string_view, std::string_view> parts(std::string_view value) {
    if (!value.starts_with(kMark) || value.size() < kMark.size() + 1)
        throw ParseError("stored configuration: unknown format, expected \"o1\" or an eight-digit version");
    const auto entries = static_cast<std::uint8_t>(value[kMark.size()]);
    value.remove_prefix(kMark.size() + 1);
    if (entries == 0 || entries > kMaxHistoryEntries || value.size() < entries * kEntryBytes + 4)
        throw ParseError("stored configuration: truncated, or a history of 0 or more than 64 entries");
    return {value.substr(0, entries * kEntryBytes), value.substr(entries * kEntryBytes)};
}

}  // namespace

Digest digest(std::string_view body) {
    boost::uuids::detail::sha1 hash;
    hash.process_bytes(body.data(), body.size());
    unsigned int words[5];
    hash.get_digest(words);
    Digest result;
    for (std::size_t index = 0; index < result.size(); ++index)
        result[index] = static_cast<std::uint8_t>(words[index / 4] >> (24 - index % 4 * 8));
    return result;
}

ConfigurationRequest makeRequest(std::uint32_t number, std::string_view body) {
    return {number, digest(body), transport::compress(body)};
}

std::uint32_t version(std::string_view value) {
    if (!isEarlierFormat(value)) return readNumber(parts(value).second);
    std::uint32_t number = 0;
    std::from_chars(value.data(), value.data() + kDigits, number, 16);
    return number;
}

std::string_view compressed(std::string_view value) {
    return isEarlierFormat(value) ? value.substr(kDigits) : parts(value).second.substr(4);
}

std::string body(std::string_view value) {
    try {
        return transport::decompress(compressed(value));
    } catch (const ParseError&) {
        throw;
    } catch (const std::exception& error) {
        throw ParseError(std::string("stored configuration: cannot decompress the body: ") + error.what());
    }
}

ConfigurationRecord decodeRecord(std::string_view value) {
    ConfigurationRecord record{version(value), std::string(compressed(value)), {}};
    if (isEarlierFormat(value)) {
        record.history.push_back({record.version, digest(body(value))});
        return record;
    }
    bool hasVersionInForce = false;
    for (auto entries = parts(value).first; !entries.empty(); entries.remove_prefix(kEntryBytes)) {
        auto& entry = record.history.emplace_back();
        entry.number = readNumber(entries);
        std::copy_n(entries.begin() + 4, entry.body.size(), entry.body.begin());
        hasVersionInForce |= entry.number == record.version;
    }
    if (!hasVersionInForce) throw ParseError("stored configuration: the history lacks the version in force");
    return record;
}

std::string encodeRecord(const ConfigurationRecord& record) {
    std::string value(kMark);
    value += static_cast<char>(record.history.size());
    for (const auto& entry : record.history) {
        appendNumber(value, entry.number);
        value.append(entry.body.begin(), entry.body.end());
    }
    appendNumber(value, record.version);
    return value += record.compressed;
}

namespace {

DuplicateCheck checkDuplicate(const ConfigurationRecord& record, const ConfigurationRequest& request) {
    for (const auto& entry : record.history)
        if (entry.number == request.number)
            return entry.body == request.body ? DuplicateCheck::known : DuplicateCheck::conflict;
    return DuplicateCheck::unknown;
}

}  // namespace

DuplicateCheck checkDuplicate(std::string_view value, const ConfigurationRequest& request) {
    return value.empty() ? DuplicateCheck::unknown : checkDuplicate(decodeRecord(value), request);
}

std::string applyRequest(const std::string& value, const ConfigurationRequest& request) {
    ConfigurationRecord record;
    if (!value.empty()) record = decodeRecord(value);
    if (checkDuplicate(record, request) != DuplicateCheck::unknown) return value;
    if (value.empty() || request.number > record.version) {
        record.version = request.number;
        record.compressed = request.compressed;
    }
    record.history.push_back({request.number, request.body});
    if (record.history.size() > kMaxHistoryEntries) {
        // Drops the oldest entry, but never the one in force: another body under its number stays a conflict,
        // however many lower numbers arrive.
        auto oldest = record.history.begin();
        if (oldest->number == record.version) ++oldest;
        record.history.erase(oldest);
    }
    return encodeRecord(record);
}

}  // namespace lichenlanding::admin
