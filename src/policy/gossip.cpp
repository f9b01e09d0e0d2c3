#include "policy/gossip.hpp"

namespace lichenlanding {
namespace {

constexpr unsigned char kWireVersion = 4;
constexpr std::uint32_t kBuildNumberLimit = 65536;  // build numbers are below it

// Varints: seven bits a byte, the lowest first; the high bit says that more follow.
void put(std::string& to, std::uint32_t value) {
    while (value >= 0x80) {
        to.push_back(static_cast<char>(value | 0x80));
        value >>= 7;
    }
    to.push_back(static_cast<char>(value));
}

template <typename Tally, typename Each>
void visitCounts(Tally& tally, const Each& each) {
    for (auto& count : tally.bins) each(count);
    each(tally.errored);
    each(tally.flagged);
    each(tally.unranked);
}

void put(std::string& to, const Tally& tally) {
    // Most counts are 0 under little traffic: a bit for each says whether it follows.
    std::uint32_t present = 0;
    std::uint32_t bit = 1;
    visitCounts(tally, [&](auto count) {
        if (count) present |= bit;
        bit <<= 1;
    });
    put(to, present);
    visitCounts(tally, [&](auto count) {
        if (count) put(to, count);
    });
}

struct Reader {
    const std::string& bytes;
    std::size_t at = 0;
    bool good = true;

    std::uint32_t number() {
        std::uint64_t value = 0;
        for (int shift = 0; shift < 35; shift += 7) {
            if (at >= bytes.size()) break;
            auto byte = static_cast<unsigned char>(bytes[at++]);
            value |= static_cast<std::uint64_t>(byte & 0x7f) << shift;
            if (byte < 0x80) {
                if (value > 0xffffffffU) break;
                return static_cast<std::uint32_t>(value);
            }
        }
        good = false;
        return 0;
    }

    Tally tally() {
        Tally read;
        std::uint32_t present = number();
        visitCounts(read, [&](auto& count) {
            count = (present & 1) ? number() : 0;
            present >>= 1;
        });
        if (present) good = false;
        return read;
    }
};

std::string encodeHeader(const Message& message) {
    std::string bytes{static_cast<char>(kWireVersion), static_cast<char>(message.kind)};
    put(bytes, message.epoch);
    put(bytes, message.seq);
    put(bytes, message.build);
    put(bytes, message.kind == Message::Kind::verdict ? message.verdict : message.firstGroup);
    return bytes;
}

}  // namespace

std::string encode(const Message& message) {
    std::string bytes = encodeHeader(message);
    for (const auto& tallies : message.groups)
        for (const auto& tally : tallies) put(bytes, tally);
    return bytes;
}

std::vector<std::string> encodeCounts(Message message, const std::vector<Tallies>& groups) {
    std::vector<std::string> all;
    std::string bytes;
    for (std::size_t group = 0; group < groups.size(); ++group) {
        std::string one;
        for (const auto& tally : groups[group]) put(one, tally);
        if (!bytes.empty() && bytes.size() + one.size() > kMaxMessageBytes) {
            all.push_back(std::move(bytes));
            bytes.clear();
        }
        if (bytes.empty()) {
            message.firstGroup = static_cast<std::uint32_t>(group);
            bytes = encodeHeader(message);
        }
        bytes += one;
    }
    if (!bytes.empty()) all.push_back(std::move(bytes));
    return all;
}

std::vector<std::string> encodePods(Message message, const std::vector<PodNote>& pods, std::uint32_t& seq) {
    std::vector<std::string> all;
    for (const auto& pod : pods) {
        std::string one;
        put(one, pod.id);
        put(one, pod.attempts);
        put(one, pod.slowness);
        if (all.empty() || all.back().size() + one.size() > kMaxMessageBytes) {
            message.seq = ++seq;
            all.push_back(encodeHeader(message));
        }
        all.back() += one;
    }
    return all;
}

std::optional<Message> decode(const std::string& bytes) {
    if (bytes.size() < 2 || bytes.size() > kMaxMessageBytes) return {};
    if (static_cast<unsigned char>(bytes[0]) != kWireVersion) return {};
    Message message;
    if (bytes[1] < 1 || bytes[1] > 4) return {};
    message.kind = static_cast<Message::Kind>(bytes[1]);
    Reader reader{bytes, 2};
    message.epoch = reader.number();
    message.seq = reader.number();
    message.build = reader.number();
    if (message.build >= kBuildNumberLimit) return {};
    const auto last = reader.number();
    if (message.kind == Message::Kind::verdict) {
        message.verdict = last;
        if (last > 3 || reader.at != bytes.size()) return {};
    } else if (message.kind != Message::Kind::counts) {
        while (reader.good && reader.at < bytes.size()) {
            PodNote note;
            note.id = reader.number();
            note.attempts = reader.number();
            note.slowness = reader.number();
            message.pods.push_back(note);
        }
    } else {
        message.firstGroup = last;
        while (reader.good && reader.at < bytes.size()) {
            Tallies tallies;
            for (auto& tally : tallies) tally = reader.tally();
            message.groups.push_back(tallies);
        }
    }
    if (!reader.good) return {};
    return message;
}

}  // namespace lichenlanding
