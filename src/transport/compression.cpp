#include "transport/compression.hpp"

#include <zlib.h>

#include <cstdint>
#include <cstring>

#include "errors.hpp"

namespace lichenlanding::transport {
namespace {

constexpr std::size_t kMinCompressedBytes = 1024;  // compression gains nothing below this
constexpr int kZlibLevel = 2;
constexpr char kPlainMark = 'p', kCompressedMark = 'z';

PeerError compressionError(const char* what) { return PeerError(what, "decompress", "", "decompress"); }

}  // namespace

std::string compress(std::string_view bytes) {
    if (bytes.size() < kMinCompressedBytes) return kPlainMark + std::string(bytes);
    auto length = compressBound(bytes.size());
    std::string result(1 + sizeof(std::uint64_t) + length, kCompressedMark);
    const std::uint64_t size = bytes.size();
    std::memcpy(result.data() + 1, &size, sizeof size);
    const auto code = compress2(reinterpret_cast<Bytef*>(result.data() + 1 + sizeof size), &length,
                                reinterpret_cast<const Bytef*>(bytes.data()), bytes.size(), kZlibLevel);
    if (code != Z_OK) return kPlainMark + std::string(bytes);
    result.resize(1 + sizeof size + length);
    return result;
}

std::string decompress(std::string_view compressed, std::size_t maxBytes) {
    if (compressed.empty()) throw compressionError("compressed bytes: empty input");
    const char mark = compressed.front();
    compressed.remove_prefix(1);
    if (mark == kPlainMark) return std::string(compressed);
    std::uint64_t size = 0;
    if (mark != kCompressedMark || compressed.size() < sizeof size)
        throw compressionError("compressed bytes: unknown format");
    std::memcpy(&size, compressed.data(), sizeof size);
    compressed.remove_prefix(sizeof size);
    // zlib's compression ratio is at most about 1000, so a greater declared size is false.
    if (size > maxBytes || size > (compressed.size() + 64) * 1100)
        throw compressionError("compressed bytes: declared size is too large");
    std::string bytes(size, '\0');
    uLongf length = size;
    const auto code = uncompress(reinterpret_cast<Bytef*>(bytes.data()), &length,
                                 reinterpret_cast<const Bytef*>(compressed.data()), compressed.size());
    if (code != Z_OK || length != size) throw compressionError("compressed bytes: corrupt zlib data");
    return bytes;
}

}  // namespace lichenlanding::transport
