/// Splits large messages into chunks, so that heartbeats and small messages do not wait behind them and each
/// received chunk proves that the peer is alive. Small messages are sent unchanged and may overtake large
/// ones.
///
/// Chunk format: the letter k, four 32-bit little-endian numbers (sequence number of the message on this
/// connection, index of the chunk, number of chunks, CRC-32 of the whole message), then the payload.
///
/// No I/O. Not thread-safe.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace lichenlanding::transport {

constexpr std::size_t kMaxUnchunkedBytes = 64 << 10;  // larger messages are split into chunks
constexpr std::size_t kChunkBytes = 32 << 10;         // payload of each chunk but the last
constexpr std::size_t kMaxMessageBytes = 80 << 20;    // limit for any message

/// Shared, since the same bytes are sent on many connections.
using EncodedMessage = std::shared_ptr<const std::string>;

/// The messages waiting to be written to one connection. Small messages take precedence over large ones, in
/// FIFO order each, but under load the large ones still get half of the bytes.
class SendQueue {
  public:
    void push(EncodedMessage message);
    bool empty() const { return small_.empty() && large_.empty(); }
    /// Removes and returns the next frame to write. Precondition: !empty().
    EncodedMessage next();
    /// The total size of the messages that are not yet completely removed.
    std::size_t bytes() const { return bytes_; }

  private:
    EncodedMessage nextSmall();
    EncodedMessage nextChunk();

    std::deque<EncodedMessage> small_, large_;
    std::size_t bytes_ = 0;
    // Of the front large message: sequence number, index of the next chunk, CRC-32.
    std::uint32_t messageNumber_ = 0, chunkIndex_ = 0, crc_ = 0;
    std::size_t bytesSinceChunk_ = 0;  // of small messages, since the last chunk
};

/// Reassembles chunks in the order in which a SendQueue emits them. Uses no more memory than the bytes
/// received, and at most `maxMessageBytes`.
class ChunkReassembler {
  public:
    /// Returns a message once it is complete. Throws PeerError if a chunk is missing, duplicated or corrupt;
    /// the connection must be closed then, since its data cannot be trusted.
    std::optional<std::string> addFrame(std::string_view frame,
                                        std::size_t maxMessageBytes = kMaxMessageBytes);

  private:
    void checkSequence(std::uint32_t number, std::uint32_t index, std::uint32_t count, std::uint32_t crc,
                       std::size_t maxMessageBytes);

    std::string bytes_;
    std::uint32_t messageNumber_ = 0, nextIndex_ = 0, chunkCount_ = 0, crc_ = 0;
};

}  // namespace lichenlanding::transport
