/// The configuration as stored in the register, and the outcome of requests to replace it. The value has the
/// body in force and a history: number and digest of the requests acknowledged last. Both change in one
/// proposal, so every control node recognizes a repeated request and rejects another body under the same
/// number. See docs/design/admin-requests.md, also for requests that have left the history.
///
/// Pure: no I/O, no clock, no random numbers. Thread-safe.
#pragma once

#include <array>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace lichenlanding::admin {

/// Maximum number of requests in the history. The one in force is always among them.
constexpr std::size_t kMaxHistoryEntries = 64;

using Digest = std::array<std::uint8_t, 20>;  // SHA-1
Digest digest(std::string_view body);

/// A stored value has an unknown format or is truncated.
struct ParseError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// A request as received.
struct ConfigurationRequest {
    std::uint32_t number = 0;  // config_version of the body
    Digest body{};             // of the body as sent by the client
    std::string compressed;    // the body, compressed by transport::compress()
};
ConfigurationRequest makeRequest(std::uint32_t number, std::string_view body);

struct AcknowledgedRequest {
    std::uint32_t number = 0;
    Digest body{};
    bool operator==(const AcknowledgedRequest&) const = default;
};

/// A decoded value. A value in the earlier format has no history: its only entry is the request in force.
struct ConfigurationRecord {
    std::uint32_t version = 0;
    std::string compressed;                    // the body in force
    std::vector<AcknowledgedRequest> history;  // oldest first
};

/// The functions on `value` below throw ParseError. Only checkDuplicate() and applyRequest() accept "", which
/// means no value yet.
ConfigurationRecord decodeRecord(std::string_view value);
std::string encodeRecord(const ConfigurationRecord& record);
/// Parts of decodeRecord(value), without decoding the history.
std::uint32_t version(std::string_view value);
std::string_view compressed(std::string_view value);
std::string body(std::string_view value);  // decompressed, as sent by the client

enum class DuplicateCheck {
    unknown,   // not in the history
    known,     // acknowledged before; acknowledge it again
    conflict,  // another body was acknowledged under the same number
};
DuplicateCheck checkDuplicate(std::string_view value, const ConfigurationRequest& request);

/// The value after the request. A higher number replaces the configuration; an unknown lower one is only
/// added to the history; a known or conflicting one changes nothing. After a proposal with this change,
/// checkDuplicate() on the resulting value is the response to the request, whoever proposed the value.
std::string applyRequest(const std::string& value, const ConfigurationRequest& request);

}  // namespace lichenlanding::admin
