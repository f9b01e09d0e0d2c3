#include "transport/chunks.hpp"

#include <zlib.h>

#include <algorithm>
#include <array>
#include <utility>

#include "errors.hpp"

namespace lichenlanding::transport {
namespace {

constexpr char kChunkMark = 'k';  // first byte of a chunk; frames from compress() begin with p or z
constexpr std::size_t kHeaderBytes = 1 + 4 * 4;

std::uint32_t crc32Of(std::string_view bytes) {
    return static_cast<std::uint32_t>(
        crc32(0, reinterpret_cast<const Bytef*>(bytes.data()), static_cast<uInt>(bytes.size())));
}

std::uint32_t chunkCount(std::size_t bytes) {
    return static_cast<std::uint32_t>((bytes + kChunkBytes - 1) / kChunkBytes);
}

std::array<std::uint32_t, 4> readHeader(std::string_view frame) {
    std::array<std::uint32_t, 4> header{};
    for (std::size_t byte = 0; byte < header.size() * 4; ++byte)
        header[byte / 4] |= std::uint32_t{static_cast<unsigned char>(frame[1 + byte])} << (8 * (byte % 4));
    return header;
}

PeerError chunkError(const char* what) { return PeerError(what, "put chunks together", "", "chunk"); }

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
    if (chunkIndex_ == 0) {
        ++messageNumber_;
        crc_ = crc32Of(whole);
    }
    const auto count = chunkCount(whole.size());
    std::string frame(1, kChunkMark);
    for (const auto number : {messageNumber_, chunkIndex_, count, crc_})
        for (int byte = 0; byte < 4; ++byte) frame += static_cast<char>(number >> (8 * byte) & 0xff);
    frame.append(whole, chunkIndex_ * kChunkBytes, kChunkBytes);
    if (++chunkIndex_ == count) {
        bytes_ -= whole.size();
        chunkIndex_ = 0;
        large_.pop_front();
    }
    bytesSinceChunk_ = 0;
    return std::make_shared<const std::string>(std::move(frame));
}

std::optional<std::string> ChunkReassembler::addFrame(std::string_view frame, std::size_t maxMessageBytes) {
    if (frame.empty() || frame.front() != kChunkMark) return std::string(frame);
    if (frame.size() < kHeaderBytes) throw chunkError("chunk: frame is shorter than the header");
    const auto [number, index, count, crc] = readHeader(frame);
    frame.remove_prefix(kHeaderBytes);
    checkSequence(number, index, count, crc, maxMessageBytes);
    const bool last = index + 1 == count;
    if (last ? frame.empty() || frame.size() > kChunkBytes : frame.size() != kChunkBytes)
        throw chunkError("chunk: wrong payload length");
    bytes_.append(frame);
    nextIndex_ = last ? 0 : index + 1;
    if (!last) return std::nullopt;
    auto whole = std::exchange(bytes_, {});
    if (crc32Of(whole) != crc_) throw chunkError("chunk: checksum mismatch of the message");
    return whole;
}

// The first chunk of a message sets its header values; any other chunk must continue the current message.
void ChunkReassembler::checkSequence(std::uint32_t number, std::uint32_t index, std::uint32_t count,
                                     std::uint32_t crc, std::size_t maxMessageBytes) {
    if (index != 0) {
        if (number != messageNumber_ || index != nextIndex_ || count != chunkCount_ || crc != crc_)
            throw chunkError("chunk: out of sequence");
        return;
    }
    if (nextIndex_ != 0) throw chunkError("chunk: the previous message is incomplete");
    if (number != messageNumber_ + 1 || count == 0 || count > chunkCount(maxMessageBytes))
        throw chunkError("chunk: invalid message number or chunk count");
    messageNumber_ = number;
    chunkCount_ = count;
    crc_ = crc;
}

}  // namespace lichenlanding::transport
