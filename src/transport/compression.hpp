// Bytes that are much the same over and over, made small: configurations, lists of pods.
#pragma once

#include <string>
#include <string_view>

namespace lichenlanding::transport {

// By zlib, quick rather than tight. Short bytes stay as they are.
std::string compress(std::string_view bytes);
// Throws std::runtime_error on bytes that squeeze() did not make, or of more than `most`.
std::string decompress(std::string_view compressed, std::size_t most = 256 << 20);

}  // namespace lichenlanding::transport
