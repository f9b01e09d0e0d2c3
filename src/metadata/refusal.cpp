#include "metadata/refusal.hpp"

#include <cstdio>
#include <iterator>

namespace lichenlanding::metadata {

const char* nameOf(Reason reason) {
    static constexpr const char* kNames[] = {
        "too-long",    "unreadable",   "wrong-shape", "wrong-type", "wrong-spec",    "bad-name",
        "bad-key-id",  "repeated-key", "unsigned",    "rollback",   "wrong-version", "wrong-length",
        "wrong-hash",  "expired",      "vanished",    "not-listed", "wrong-order",   "too-many",
        "unavailable", "not-found",    "disagrees",   "wrong-unit", "busy",          "folder"};
    static_assert(std::size(kNames) == static_cast<std::size_t>(Reason::count));
    return kNames[static_cast<std::size_t>(reason)];
}

std::string Refusal::text() const {
    std::string line = (role.empty() ? std::string("metadata") : escaped(role, 80)) + ": " + nameOf(reason);
    if (version > 0) line += " (version " + std::to_string(version) + ")";
    if (!detail.empty()) line += ": " + detail;
    return line;
}

std::string escaped(std::string_view text, std::size_t maxBytes) {
    std::string safe;
    for (const char byte : text) {
        if (safe.size() >= maxBytes) return safe + "...";
        if (byte >= ' ' && byte < 127) {
            safe += byte;
            continue;
        }
        char code[8];
        std::snprintf(code, sizeof code, "\\x%02x", static_cast<unsigned char>(byte));
        safe += code;
    }
    return safe;
}

}  // namespace lichenlanding::metadata
