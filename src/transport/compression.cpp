#include "transport/compression.hpp"

#include <zlib.h>

#include <cstdint>
#include <cstring>

#include "errors.hpp"

namespace lichenlanding::transport {
namespace {

constexpr std::size_t kMinCompressedBytes = 1024;  // shorter ones gain nothing
constexpr int kZlibLevel = 2;
constexpr char kPlainMark = 'p', kCompressedMark = 'z';

PeerError wrongBytes(const char* what) { return PeerError(what, "decompress", "", "decompress"); }

}  // namespace

std::string compress(std::string_view bytes) {
    if (bytes.size() < kMinCompressedBytes) return kPlainMark + std::string(bytes);
    auto length = compressBound(bytes.size());
    std::string made(1 + sizeof(std::uint64_t) + length, kCompressedMark);
    const std::uint64_t size = bytes.size();
    std::memcpy(made.data() + 1, &size, sizeof size);
    const auto code = compress2(reinterpret_cast<Bytef*>(made.data() + 1 + sizeof size), &length,
                                reinterpret_cast<const Bytef*>(bytes.data()), bytes.size(), kZlibLevel);
    if (code != Z_OK) return kPlainMark + std::string(bytes);
    made.resize(1 + sizeof size + length);
    return made;
}

std::string decompress(std::string_view compressed, std::size_t most) {
    if (compressed.empty()) throw wrongBytes("compressed bytes: none");
    const char kind = compressed.front();
    compressed.remove_prefix(1);
    if (kind == kPlainMark) return std::string(compressed);
    std::uint64_t size = 0;
    if (kind != kCompressedMark || compressed.size() < sizeof size)
        throw wrongBytes("compressed bytes: of no known kind");
    std::memcpy(&size, compressed.data(), sizeof size);
    compressed.remove_prefix(sizeof size);
    // zlib makes no more than about a thousand times of anything: a greater size is a lie.
    if (size > most || size > (compressed.size() + 64) * 1100)
        throw wrongBytes("compressed bytes: too large");
    std::string bytes(size, '\0');
    uLongf length = size;
    const auto code = uncompress(reinterpret_cast<Bytef*>(bytes.data()), &length,
                                 reinterpret_cast<const Bytef*>(compressed.data()), compressed.size());
    if (code != Z_OK || length != size) throw wrongBytes("compressed bytes: corrupt");
    return bytes;
}

}  // namespace lichenlanding::transport
