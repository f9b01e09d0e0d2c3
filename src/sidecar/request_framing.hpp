// Follows the framing of a client's request as its bytes arrive, ahead of evhttp, and bounds what evhttp does
// not: the number of lines of the header and the trailers, each of which takes far more memory than its text,
// and the length of the line that precedes a chunk. It judges nothing else: evhttp and isUnambiguous() decide
// whether a request is valid.
//
// Pure: no I/O, no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace lichenlanding::sidecar {

class RequestFraming {
  public:
    static constexpr int kMaxLines = 1000;              ///< of header and trailers together
    static constexpr std::size_t kMaxChunkLine = 1024;  ///< bytes

    /// Adds bytes of the request; returns false once it exceeds a bound, and from then on.
    bool add(std::string_view bytes);

  private:
    enum class Part { header, body, chunkLine, chunk, trailers };

    std::size_t skipChunk(std::string_view bytes);
    void addToLine(std::string_view text);
    void endLine();
    void endChunkLine();

    Part part_ = Part::header;
    std::string line_;  // of the current line, at most kMaxChunkLine bytes
    bool chunked_ = false, exceeded_ = false;
    int lines_ = 0;
    std::uint64_t chunkRemaining_ = 0;
};

}  // namespace lichenlanding::sidecar
