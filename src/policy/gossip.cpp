#include "policy/gossip.hpp"

namespace lichenlanding {
namespace {

constexpr unsigned char kWireVersion = 4;
constexpr std::uint32_t kBuildNumberLimit = 65536;  // exclusive

// Varint encoding: seven bits a byte, least significant first; the high bit marks that more bytes follow.
void append(std::string& buffer, std::uint32_t value) {
    while (value >= 0x80) {
        buffer.push_back(static_cast<char>(value | 0x80));
        value >>= 7;
    }
    buffer.push_back(static_cast<char>(value));
}

template <typename Counts, typename Visitor>
void visitCounts(Counts& counts, const Visitor& visit) {
    for (auto& count : counts.bins) visit(count);
    visit(counts.errored);
    visit(counts.flagged);
    visit(counts.unranked);
}

void append(std::string& buffer, const SideCounts& counts) {
    // Under low traffic most counts are 0, so a bitmap marks those that follow.
    std::uint32_t present = 0;
    std::uint32_t bit = 1;
    visitCounts(counts, [&](auto count) {
        if (count) present |= bit;
        bit <<= 1;
    });
    append(buffer, present);
    visitCounts(counts, [&](auto count) {
        if (count) append(buffer, count);
    });
}

struct Reader {
    const std::string& bytes;
    std::size_t position = 0;
    bool valid = true;

    std::uint32_t readVarint() {
        std::uint64_t value = 0;
        for (int shift = 0; shift < 35; shift += 7) {
            if (position >= bytes.size()) break;
            auto byte = static_cast<unsigned char>(bytes[position++]);
            value |= static_cast<std::uint64_t>(byte & 0x7f) << shift;
            if (byte < 0x80) {
                if (value > 0xffffffffU) break;
                return static_cast<std::uint32_t>(value);
            }
        }
        valid = false;
        return 0;
    }

    SideCounts readCounts() {
        SideCounts read;
        std::uint32_t present = readVarint();
        visitCounts(read, [&](auto& count) {
            count = (present & 1) ? readVarint() : 0;
            present >>= 1;
        });
        if (present) valid = false;
        return read;
    }
};

std::string encodeHeader(const Message& message) {
    std::string bytes{static_cast<char>(kWireVersion), static_cast<char>(message.kind)};
    append(bytes, message.epoch);
    append(bytes, message.seq);
    append(bytes, message.build);
    append(bytes, message.kind == Message::Kind::verdict ? message.verdict : message.firstGroup);
    return bytes;
}

}  // namespace

std::string encode(const Message& message) {
    std::string bytes = encodeHeader(message);
    for (const auto& sides : message.groups)
        for (const auto& counts : sides) append(bytes, counts);
    return bytes;
}

std::vector<std::string> encodeCounts(Message message, const std::vector<GroupCounts>& groups) {
    std::vector<std::string> messages;
    std::string bytes;
    for (std::size_t group = 0; group < groups.size(); ++group) {
        std::string encoded;
        for (const auto& counts : groups[group]) append(encoded, counts);
        if (!bytes.empty() && bytes.size() + encoded.size() > kMaxMessageBytes) {
            messages.push_back(std::move(bytes));
            bytes.clear();
        }
        if (bytes.empty()) {
            message.firstGroup = static_cast<std::uint32_t>(group);
            bytes = encodeHeader(message);
        }
        bytes += encoded;
    }
    if (!bytes.empty()) messages.push_back(std::move(bytes));
    return messages;
}

std::vector<std::string> encodePods(Message message, const std::vector<PodReport>& pods, std::uint32_t& seq) {
    std::vector<std::string> messages;
    for (const auto& pod : pods) {
        std::string encoded;
        append(encoded, pod.id);
        append(encoded, pod.attempts);
        append(encoded, pod.slowness);
        if (messages.empty() || messages.back().size() + encoded.size() > kMaxMessageBytes) {
            message.seq = ++seq;
            messages.push_back(encodeHeader(message));
        }
        messages.back() += encoded;
    }
    return messages;
}

std::optional<Message> decode(const std::string& bytes) {
    if (bytes.size() < 2 || bytes.size() > kMaxMessageBytes) return {};
    if (static_cast<unsigned char>(bytes[0]) != kWireVersion) return {};
    Message message;
    if (bytes[1] < 1 || bytes[1] > 4) return {};
    message.kind = static_cast<Message::Kind>(bytes[1]);
    Reader reader{bytes, 2};
    message.epoch = reader.readVarint();
    message.seq = reader.readVarint();
    message.build = reader.readVarint();
    if (message.build >= kBuildNumberLimit) return {};
    const auto field = reader.readVarint();
    if (message.kind == Message::Kind::verdict) {
        message.verdict = field;
        if (field > 3 || reader.position != bytes.size()) return {};
    } else if (message.kind != Message::Kind::counts) {
        while (reader.valid && reader.position < bytes.size()) {
            PodReport report;
            report.id = reader.readVarint();
            report.attempts = reader.readVarint();
            report.slowness = reader.readVarint();
            message.pods.push_back(report);
        }
    } else {
        message.firstGroup = field;
        while (reader.valid && reader.position < bytes.size()) {
            GroupCounts sides;
            for (auto& counts : sides) counts = reader.readCounts();
            message.groups.push_back(sides);
        }
    }
    if (!reader.valid) return {};
    return message;
}

}  // namespace lichenlanding
