#include "transport/chunks.hpp"

#include <zlib.h>

#include <algorithm>
#include <array>
#include <utility>

#include "errors.hpp"

namespace lichenlanding::transport {
namespace {

constexpr char kChunkMark = 'k';  // no other frame begins with it: compress() writes p or z
constexpr std::size_t kHeaderBytes = 1 + 4 * 4;

std::uint32_t checksum(std::string_view bytes) {
    return static_cast<std::uint32_t>(
        crc32(0, reinterpret_cast<const Bytef*>(bytes.data()), static_cast<uInt>(bytes.size())));
}

std::uint32_t chunkCount(std::size_t bytes) {
    return static_cast<std::uint32_t>((bytes + kChunkBytes - 1) / kChunkBytes);
}

std::array<std::uint32_t, 4> readHeader(std::string_view frame) {
    std::array<std::uint32_t, 4> header{};
    for (std::size_t at = 0; at < header.size() * 4; ++at)
        header[at / 4] |= std::uint32_t{static_cast<unsigned char>(frame[1 + at])} << (8 * (at % 4));
    return header;
}

PeerError wrongChunk(const char* what) { return PeerError(what, "put chunks together", "", "chunk"); }

}  // namespace

void SendQueue::push(EncodedMessage message) {
    bytes_ += message->size();
    (message->size() > kMaxUnchunkedBytes ? large_ : small_).push_back(std::move(message));
}

EncodedMessage SendQueue::next() {
    const bool smallFirst = large_.empty() || bytesSinceChunk_ < kChunkBytes;
    return !small_.empty() && smallFirst ? nextSmall() : nextChunk();
}

EncodedMessage SendQueue::nextSmall() {
    auto frame = std::move(small_.front());
    small_.pop_front();
    bytes_ -= frame->size();
    bytesSinceChunk_ += frame->size();
    return frame;
}

EncodedMessage SendQueue::nextChunk() {
    const auto& whole = *large_.front();
    if (index_ == 0) {
        ++number_;
        sum_ = checksum(whole);
    }
    const auto count = chunkCount(whole.size());
    std::string frame(1, kChunkMark);
    for (const auto number : {number_, index_, count, sum_})
        for (int byte = 0; byte < 4; ++byte) frame += static_cast<char>(number >> (8 * byte) & 0xff);
    frame.append(whole, index_ * kChunkBytes, kChunkBytes);
    if (++index_ == count) {
        bytes_ -= whole.size();
        index_ = 0;
        large_.pop_front();
    }
    bytesSinceChunk_ = 0;
    return std::make_shared<const std::string>(std::move(frame));
}

std::optional<std::string> ChunkReassembler::addFrame(std::string_view frame) {
    if (frame.empty() || frame.front() != kChunkMark) return std::string(frame);
    if (frame.size() < kHeaderBytes) throw wrongChunk("chunk: no header");
    const auto [number, index, count, sum] = readHeader(frame);
    frame.remove_prefix(kHeaderBytes);
    checkSequence(number, index, count, sum);
    const bool last = index + 1 == count;
    if (last ? frame.empty() || frame.size() > kChunkBytes : frame.size() != kChunkBytes)
        throw wrongChunk("chunk: of a wrong length");
    bytes_.append(frame);
    index_ = last ? 0 : index + 1;
    if (!last) return std::nullopt;
    auto whole = std::exchange(bytes_, {});
    if (checksum(whole) != sum_) throw wrongChunk("chunk: the whole message is corrupt");
    return whole;
}

// Takes over a message that begins; any other chunk must be the next of the one at hand.
void ChunkReassembler::checkSequence(std::uint32_t number, std::uint32_t index, std::uint32_t count,
                                     std::uint32_t sum) {
    if (index != 0) {
        if (number != number_ || index != index_ || count != count_ || sum != sum_)
            throw wrongChunk("chunk: not the next one");
        return;
    }
    if (index_ != 0) throw wrongChunk("chunk: the message before it is not whole");
    if (number != number_ + 1 || count == 0 || count > chunkCount(kMaxMessageBytes))
        throw wrongChunk("chunk: of no message that can come");
    number_ = number;
    count_ = count;
    sum_ = sum;
}

}  // namespace lichenlanding::transport
