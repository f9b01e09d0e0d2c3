/// Compression of configurations, endpoint lists and messages. No I/O; thread-safe.
#pragma once

#include <string>
#include <string_view>

namespace lichenlanding::transport {

/// Compresses with zlib at a low level. Short input is stored uncompressed. The first byte marks the format.
std::string compress(std::string_view bytes);
/// Throws PeerError on input that compress() did not produce, or that exceeds `maxBytes` uncompressed.
std::string decompress(std::string_view compressed, std::size_t maxBytes = 256 << 20);

}  // namespace lichenlanding::transport
