// The configuration as the register keeps it, and what an order to replace it comes to. Beside the body in
// force stand number and digest of the orders acknowledged last: one ballot decides both, so that whoever is
// asked, in whatever order, knows an order again and tells it from another one under its number.
// docs/design/admin-requests.md tells why, and what holds beyond the bound.
//
// Pure: no I/O, no clock, no chance.
#pragma once

#include <array>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace lichenlanding::admin {

constexpr std::size_t kRemembered = 64;  // orders acknowledged last, the one in force always among them

using Digest = std::array<std::uint8_t, 20>;  // SHA-1
Digest digest(std::string_view body);

// A value that this text cannot read: another format, or cut.
struct ParseError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// An order as it came.
struct ConfigurationRequest {
    std::uint32_t number = 0;  // its version
    Digest body{};             // of the bytes as they were sent
    std::string compressed;    // those bytes (transport::compress)
};
ConfigurationRequest makeRequest(std::uint32_t number, std::string_view body);

struct AcknowledgedRequest {
    std::uint32_t number = 0;
    Digest body{};
    bool operator==(const AcknowledgedRequest&) const = default;
};

// What stands in a value. A value of texts before this one has no history: what is in force is all of it.
struct ConfigurationRecord {
    std::uint32_t version = 0;
    std::string compressed;                    // the body in force
    std::vector<AcknowledgedRequest> history;  // oldest first
};

// "" is no value yet: none of these takes it but applyRequest(). They throw Unreadable.
ConfigurationRecord decodeRecord(std::string_view value);
std::string encodeRecord(const ConfigurationRecord& held);
// The same, without the history.
std::uint32_t version(std::string_view value);
std::string_view compressed(std::string_view value);
std::string body(std::string_view value);  // as it was sent

enum class DuplicateCheck {
    unknown,   // not among those remembered
    known,     // acknowledged, and may be so again
    conflict,  // another body was acknowledged under its number
};
DuplicateCheck checkDuplicate(std::string_view value, const ConfigurationRequest& request);

// What is to be in force after the order: a higher number takes the place of what was; a lower one that is
// not known changes nothing but is remembered; one that is known, or clashes, changes nothing at all. After a
// ballot with this change the checkDuplicate() of what it ended with is the answer, wherever the value came
// from.
std::string applyRequest(const std::string& value, const ConfigurationRequest& request);

}  // namespace lichenlanding::admin
