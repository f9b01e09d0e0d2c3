// Strict JSON parsing and canonical JSON. nlohmann-json parses; this module also refuses what signed metadata
// must not contain: duplicate members, fractions, integers over 64 bits and deep nesting.
// Source: TUF 1.0, 4.1 (canonical JSON as of the OLPC wiki); RFC 8259.
#pragma once

#include <nlohmann/json.hpp>

#include "metadata/refusal.hpp"

namespace lichenlanding::metadata {

using Json = nlohmann::json;

constexpr int kMaxDepth = 32;  ///< nesting levels of arrays and objects

/// Parses the whole text as one value. Refuses with tooLong or unreadable; the detail names the error and its
/// position.
Result<Json> parseJson(std::string_view text, std::size_t maxBytes);

/// Canonical form: members sorted by bytes, no whitespace, only '"' and '\' escaped. Throws
/// std::invalid_argument for a fraction, which parseJson() never returns.
std::string canonical(const Json& value);

/// A member, or null if it is missing or of another type. integerMember also requires at least `minimum`.
const Json* member(const Json& object, const char* name, Json::value_t type);
const std::string* textMember(const Json& object, const char* name);
std::optional<std::int64_t> integerMember(const Json& object, const char* name, std::int64_t minimum = 1);

}  // namespace lichenlanding::metadata
