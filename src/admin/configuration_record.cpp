#include "admin/configuration_record.hpp"

#include <algorithm>
#include <boost/uuid/detail/sha1.hpp>
#include <charconv>

#include "transport/compression.hpp"

namespace lichenlanding::admin {
namespace {

// Of a value: the mark, how many are remembered, the number and digest of each, the version, the body. Values
// of texts before begin with a version's eight hexadecimal digits, which no mark does.
constexpr std::string_view kMark = "o1";
constexpr std::size_t kEntryBytes = 4 + std::tuple_size_v<Digest>, kDigits = 8;

void put(std::string& into, std::uint32_t number) {
    for (int shift = 24; shift >= 0; shift -= 8) into += static_cast<char>(number >> shift & 0xff);
}

std::uint32_t take(std::string_view from) {
    std::uint32_t number = 0;
    for (const char byte : from.substr(0, 4)) number = number << 8 | static_cast<std::uint8_t>(byte);
    return number;
}

bool isEarlierFormat(std::string_view value) {
    return value.size() > kDigits && std::all_of(value.begin(), value.begin() + kDigits, [](char digit) {
               return (digit >= '0' && digit <= '9') || (digit >= 'a' && digit <= 'f');
           });
}

// The bytes of the history, and what follows it: version and body.
std::pair<std::string_view, std::string_view> parts(std::string_view value) {
    if (!value.starts_with(kMark) || value.size() < kMark.size() + 1)
        throw ParseError("the configuration's value has no format known here");
    const auto entries = static_cast<std::uint8_t>(value[kMark.size()]);
    value.remove_prefix(kMark.size() + 1);
    if (entries == 0 || entries > kRemembered || value.size() < entries * kEntryBytes + 4)
        throw ParseError("the configuration's value is cut or holds too much");
    return {value.substr(0, entries * kEntryBytes), value.substr(entries * kEntryBytes)};
}

}  // namespace

Digest digest(std::string_view body) {
    boost::uuids::detail::sha1 hash;
    hash.process_bytes(body.data(), body.size());
    unsigned int words[5];
    hash.get_digest(words);
    Digest told;
    for (std::size_t at = 0; at < told.size(); ++at)
        told[at] = static_cast<std::uint8_t>(words[at / 4] >> (24 - at % 4 * 8));
    return told;
}

ConfigurationRequest makeRequest(std::uint32_t number, std::string_view body) {
    return {number, digest(body), transport::compress(body)};
}

std::uint32_t version(std::string_view value) {
    if (!isEarlierFormat(value)) return take(parts(value).second);
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
        throw ParseError(std::string("the configuration's body: ") + error.what());
    }
}

ConfigurationRecord decodeRecord(std::string_view value) {
    ConfigurationRecord held{version(value), std::string(compressed(value)), {}};
    if (isEarlierFormat(value)) {
        held.history.push_back({held.version, digest(body(value))});
        return held;
    }
    bool there = false;
    for (auto entries = parts(value).first; !entries.empty(); entries.remove_prefix(kEntryBytes)) {
        auto& one = held.history.emplace_back();
        one.number = take(entries);
        std::copy_n(entries.begin() + 4, one.body.size(), one.body.begin());
        there |= one.number == held.version;
    }
    if (!there) throw ParseError("the configuration's value does not remember what is in force");
    return held;
}

std::string encodeRecord(const ConfigurationRecord& held) {
    std::string value(kMark);
    value += static_cast<char>(held.history.size());
    for (const auto& one : held.history) {
        put(value, one.number);
        value.append(one.body.begin(), one.body.end());
    }
    put(value, held.version);
    return value += held.compressed;
}

namespace {

DuplicateCheck checkDuplicate(const ConfigurationRecord& held, const ConfigurationRequest& request) {
    for (const auto& one : held.history)
        if (one.number == request.number)
            return one.body == request.body ? DuplicateCheck::known : DuplicateCheck::conflict;
    return DuplicateCheck::unknown;
}

}  // namespace

DuplicateCheck checkDuplicate(std::string_view value, const ConfigurationRequest& request) {
    return value.empty() ? DuplicateCheck::unknown : checkDuplicate(decodeRecord(value), request);
}

std::string applyRequest(const std::string& value, const ConfigurationRequest& request) {
    ConfigurationRecord held;
    if (!value.empty()) held = decodeRecord(value);
    if (checkDuplicate(held, request) != DuplicateCheck::unknown) return value;
    if (value.empty() || request.number > held.version)
        held.version = request.number, held.compressed = request.compressed;
    held.history.push_back({request.number, request.body});
    if (held.history.size() > kRemembered) {
        // The oldest goes, but never the one in force: however many older ones come, another body under its
        // number is told from it.
        auto oldest = held.history.begin();
        if (oldest->number == held.version) ++oldest;
        held.history.erase(oldest);
    }
    return encodeRecord(held);
}

}  // namespace lichenlanding::admin
