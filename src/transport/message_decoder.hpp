/// Decoding of the CBOR messages of peers, with a bound on their nesting.
///
/// Pure: no I/O, no clock.
#pragma once

#include <nlohmann/json.hpp>
#include <string_view>

namespace lichenlanding::transport {

/// Lists and objects within each other. The library's decoder calls itself for each level.
constexpr int kMaxMessageNesting = 100;

/// Returns a discarded value if the bytes are no single CBOR value or are nested more deeply. Throws
/// nlohmann::json::exception on excessive sizes.
nlohmann::json decodeMessage(std::string_view bytes);

}  // namespace lichenlanding::transport
