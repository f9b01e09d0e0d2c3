#include "transport/compression.hpp"

#include <zlib.h>

#include <cstdint>
#include <cstring>
#include <stdexcept>

namespace lichenlanding::wings {
namespace {

constexpr std::size_t worthIt = 1024;
constexpr int quick = 2;
constexpr char plain = 'p', small = 'z';

}  // namespace

std::string squeeze(std::string_view bytes) {
    if (bytes.size() < worthIt) return plain + std::string(bytes);
    auto length = compressBound(bytes.size());
    std::string made(1 + sizeof(std::uint64_t) + length, small);
    const std::uint64_t size = bytes.size();
    std::memcpy(made.data() + 1, &size, sizeof size);
    const auto code = compress2(reinterpret_cast<Bytef*>(made.data() + 1 + sizeof size), &length,
                                reinterpret_cast<const Bytef*>(bytes.data()), bytes.size(), quick);
    if (code != Z_OK) return plain + std::string(bytes);
    made.resize(1 + sizeof size + length);
    return made;
}

std::string unsqueeze(std::string_view squeezed, std::size_t most) {
    if (squeezed.empty()) throw std::runtime_error("squeezed bytes: none");
    const char kind = squeezed.front();
    squeezed.remove_prefix(1);
    if (kind == plain) return std::string(squeezed);
    std::uint64_t size = 0;
    if (kind != small || squeezed.size() < sizeof size)
        throw std::runtime_error("squeezed bytes: of no known kind");
    std::memcpy(&size, squeezed.data(), sizeof size);
    squeezed.remove_prefix(sizeof size);
    // zlib makes no more than about a thousand times of anything: a greater size is a lie.
    if (size > most || size > (squeezed.size() + 64) * 1100)
        throw std::runtime_error("squeezed bytes: too large");
    std::string bytes(size, '\0');
    uLongf length = size;
    const auto code = uncompress(reinterpret_cast<Bytef*>(bytes.data()), &length,
                                 reinterpret_cast<const Bytef*>(squeezed.data()), squeezed.size());
    if (code != Z_OK || length != size) throw std::runtime_error("squeezed bytes: spoilt");
    return bytes;
}

}  // namespace lichenlanding::wings
