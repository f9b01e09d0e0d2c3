/// Large messages of a connection go in chunks, so that neither a heartbeat nor a small message waits behind
/// a megabyte, and each chunk that arrives shows that the other side is there. Small ones go as they are and
/// may overtake large ones.
///
/// A chunk is the letter k, four numbers (32 bits, little end first: the message's number on this connection,
/// the chunk's index, how many there are, the CRC-32 of the whole message) and its part of the bytes.
///
/// Pure: bytes in, bytes out. One thread.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace lichenlanding::transport {

constexpr std::size_t kMaxUnchunkedBytes = 64 << 10;  // a message of at most so many bytes goes as it is
constexpr std::size_t kChunkBytes = 32 << 10;         // of the message, in each chunk but the last
constexpr std::size_t kMaxMessageBytes = 80 << 20;    // of any message

/// Shared, since the same bytes go down many connections.
using EncodedMessage = std::shared_ptr<const std::string>;

/// What waits to be written on one connection: small messages in their order before large ones in theirs; but
/// many small ones leave the large ones half of the bytes.
class SendQueue {
  public:
    void push(EncodedMessage message);
    bool empty() const { return small_.empty() && large_.empty(); }
    /// The frame to be written now. Only where the queue is not empty.
    EncodedMessage next();
    /// Of the messages that are not yet written whole.
    std::size_t bytes() const { return bytes_; }

  private:
    EncodedMessage nextSmall();
    EncodedMessage nextChunk();

    std::deque<EncodedMessage> small_, large_;
    std::size_t bytes_ = 0;
    std::uint32_t number_ = 0, index_ = 0, sum_ = 0;  // of the large message at the front
    std::size_t bytesSinceChunk_ = 0;                 // of small messages
};

/// Puts chunks together again, in the order in which a SendQueue gives them. Holds no more than what has
/// come, and no more than kMaxMessageBytes.
class ChunkReassembler {
  public:
    /// A whole message, or nothing as yet. Throws PeerError where a chunk is missing, doubled or corrupt:
    /// nothing that came by this connection can be trusted then.
    std::optional<std::string> addFrame(std::string_view frame);

  private:
    void checkSequence(std::uint32_t number, std::uint32_t index, std::uint32_t count, std::uint32_t sum);

    std::string bytes_;
    std::uint32_t number_ = 0, index_ = 0, count_ = 0, sum_ = 0;
};

}  // namespace lichenlanding::transport
