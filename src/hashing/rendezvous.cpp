#include "hashing/rendezvous.hpp"

#include "limits/fleet.hpp"

namespace lichenlanding::hashing {
namespace {

// With a tenth of all machines lost, one proxy in a thousand has lost all three peers that it watches.
constexpr std::size_t kWatchedPeers = 3;

}  // namespace

std::uint64_t hash(std::string_view key, std::string_view name) {
    std::uint64_t value = 0xcbf29ce484222325ULL;  // FNV-1a, then splitmix64's finalizer
    const auto add = [&](std::string_view text) {
        for (const unsigned char c : text) value = (value ^ c) * 0x100000001b3ULL;
        value = (value ^ 0xff) * 0x100000001b3ULL;
    };
    add(key);
    add(name);
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

std::vector<std::string> rendezvousSelect(const std::vector<std::string>& names, std::string_view key,
                                          std::size_t count) {
    return limits::lowest(names, count,
                          [&](const std::string& name) { return std::pair(hash(key, name), name); });
}

std::vector<std::string> watchedPeers(std::vector<std::string> names, const std::string& self) {
    std::erase(names, self);
    return rendezvousSelect(names, "watch\n" + self, kWatchedPeers);
}

}  // namespace lichenlanding::hashing
