#include "transport/chunks.hpp"

#include <zlib.h>

#include <algorithm>
#include <array>
#include <stdexcept>
#include <utility>

namespace lichenlanding::transport {
namespace {

constexpr char kKind = 'k';
constexpr std::size_t kHeadBytes = 1 + 4 * 4;

std::uint32_t sumOf(std::string_view bytes) {
    return static_cast<std::uint32_t>(
        crc32(0, reinterpret_cast<const Bytef*>(bytes.data()), static_cast<uInt>(bytes.size())));
}

std::uint32_t chunkCount(std::size_t bytes) {
    return static_cast<std::uint32_t>((bytes + kChunkBytes - 1) / kChunkBytes);
}

}  // namespace

void SendQueue::push(EncodedMessage message) {
    bytes_ += message->size();
    (message->size() > kMaxUnchunkedBytes ? large_ : small_).push_back(std::move(message));
}

EncodedMessage SendQueue::next() {
    if (!small_.empty() && (large_.empty() || bytesSinceChunk_ < kChunkBytes)) {
        auto frame = std::move(small_.front());
        small_.pop_front();
        bytes_ -= frame->size(), bytesSinceChunk_ += frame->size();
        return frame;
    }
    const auto& whole = *large_.front();
    if (index_ == 0) ++number_, sum_ = sumOf(whole);
    const auto count = chunkCount(whole.size());
    std::string frame(1, kKind);
    for (const auto number : {number_, index_, count, sum_})
        for (int byte = 0; byte < 4; ++byte) frame += static_cast<char>(number >> (8 * byte) & 0xff);
    frame.append(whole, index_ * kChunkBytes, kChunkBytes);
    if (++index_ == count) {
        bytes_ -= whole.size(), index_ = 0;
        large_.pop_front();
    }
    bytesSinceChunk_ = 0;
    return std::make_shared<const std::string>(std::move(frame));
}

std::optional<std::string> ChunkReassembler::addFrame(std::string_view frame) {
    if (frame.empty() || frame.front() != kKind) return std::string(frame);
    if (frame.size() < kHeadBytes) throw std::runtime_error("piece: no head");
    std::array<std::uint32_t, 4> head{};
    for (std::size_t at = 0; at < head.size() * 4; ++at)
        head[at / 4] |= std::uint32_t{static_cast<unsigned char>(frame[1 + at])} << (8 * (at % 4));
    const auto [number, index, count, sum] = head;
    frame.remove_prefix(kHeadBytes);
    if (index == 0) {
        if (index_ != 0) throw std::runtime_error("piece: the message before it is not whole");
        if (number != number_ + 1 || count == 0 || count > chunkCount(kMaxMessageBytes))
            throw std::runtime_error("piece: of no message that can come");
        number_ = number, count_ = count, sum_ = sum;
    } else if (number != number_ || index != index_ || count != count_ || sum != sum_) {
        throw std::runtime_error("piece: not the next one");
    }
    const bool last = index + 1 == count;
    if (last ? frame.empty() || frame.size() > kChunkBytes : frame.size() != kChunkBytes)
        throw std::runtime_error("piece: of a wrong length");
    bytes_.append(frame);
    index_ = last ? 0 : index + 1;
    if (!last) return std::nullopt;
    auto whole = std::exchange(bytes_, {});
    if (sumOf(whole) != sum_) throw std::runtime_error("piece: the whole is spoilt");
    return whole;
}

}  // namespace lichenlanding::transport
