/// Compression of bytes that repeat themselves much: configurations, lists of endpoints. Pure; any thread.
#pragma once

#include <string>
#include <string_view>

namespace lichenlanding::transport {

/// By zlib, quick rather than tight. Short bytes stay as they are, behind a letter that says so.
std::string compress(std::string_view bytes);
/// Throws PeerError on bytes that compress() did not make, or of more than `most`.
std::string decompress(std::string_view compressed, std::size_t most = 256 << 20);

}  // namespace lichenlanding::transport
