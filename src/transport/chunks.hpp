// Large messages of a link go in pieces, so that neither a beat nor a small message waits behind a megabyte,
// and each piece that arrives shows that the other side is there. Small ones go as they are and may overtake.
//
// Pure: bytes in, bytes out. A piece is the letter k, four numbers (32 bits, little end first: the message's
// number on this link, the piece's index, how many there are, the CRC-32 of the whole) and its part of the
// bytes.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace lichenlanding::transport {

constexpr std::size_t kMaxUnchunkedBytes = 64 << 10;  // bytes of a message that goes as it is
constexpr std::size_t kChunkBytes = 32 << 10;         // of the message in each piece but the last
constexpr std::size_t kMaxMessageBytes = 80 << 20;    // bytes of any message

using EncodedMessage = std::shared_ptr<const std::string>;

// What waits to be written: small messages in their order before large ones in theirs; but a flood of small
// ones leaves the large ones half of the bytes.
class SendQueue {
  public:
    void push(EncodedMessage message);
    bool empty() const { return small_.empty() && large_.empty(); }
    EncodedMessage next();                        // the frame to be written now; not when empty
    std::size_t bytes() const { return bytes_; }  // of the messages that are not yet written whole

  private:
    std::deque<EncodedMessage> small_, large_;
    std::size_t bytes_ = 0;
    std::uint32_t number_ = 0, index_ = 0, sum_ = 0;  // of the large message at the front
    std::size_t bytesSinceChunk_ = 0;                 // bytes of small messages
};

// Puts pieces together again, in the order that an Outbox gives them. Holds no more than what has come, and
// no more than messageAtMost.
class ChunkReassembler {
  public:
    // A whole message, or nothing as yet. Throws std::runtime_error where a piece is missing, doubled or
    // spoilt: nothing that came by this link can be trusted then.
    std::optional<std::string> addFrame(std::string_view frame);

  private:
    std::string bytes_;
    std::uint32_t number_ = 0, index_ = 0, count_ = 0, sum_ = 0;
};

}  // namespace lichenlanding::transport
