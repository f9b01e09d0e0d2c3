// Strict JSON and its canonical form. nlohmann-json reads; what it lets pass and signed metadata must not
// hold (a member twice, fractions, numbers beyond 64 bits, deep nesting) is refused here. Source:
// TUF 1.0, 4.1 (canonical JSON as of the OLPC wiki); RFC 8259.
#pragma once

#include <nlohmann/json.hpp>

#include "metadata/refusal.hpp"

namespace lichenlanding::metadata {

using Json = nlohmann::json;

constexpr int kMaxDepth = 32;  ///< levels of arrays and objects

/// The whole text as one value. Refuses with tooLong or unreadable; the detail says which and where.
Result<Json> parseJson(std::string_view text, std::size_t maxBytes);

/// Canonical form: members sorted by bytes, no space, only '"' and '\' escaped. No fraction occurs in what
/// readJson has accepted; one made by hand throws std::invalid_argument.
std::string canonical(const Json& value);

/// A member, or null if there is none or it is of another type.
const Json* member(const Json& object, const char* name, Json::value_t type);
const std::string* textMember(const Json& object, const char* name);
std::optional<std::int64_t> integerMember(const Json& object, const char* name, std::int64_t least = 1);

}  // namespace lichenlanding::metadata
