// One HTTP/1.1 answer, read strictly from the bytes that come: whole and fitting, or spoilt. It stands in for
// evhttp's client, which takes what follows an answer (a second copy, one behind a 1xx) for the next answer,
// the first of two lengths, and the end of the connection for the end of a body that has promised none.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "sidecar/event_loop.hpp"

namespace lichenlanding::net {

// Of a header line, on either side of the sidecar.
bool readableName(std::string_view text);
bool readableValue(std::string_view text);
bool readableLength(std::string_view text);

class Answer {
  public:
    using Piece = std::function<void(std::string_view)>;
    enum class State { more, whole, spoilt };
    // told: the body's length or its chunks are, or the answer is spoilt. byClose: HTTP/1.0 passes too, and a
    // body may end with its connection. That is only for what proves itself to be whole, as signed metadata
    // do.
    enum class Framing { told, byClose };

    // With piece, the body is given as it comes and may be of any length.
    explicit Answer(std::size_t longestBody = 0, Piece piece = nullptr, Framing framing = Framing::told)
        : longestBody_(longestBody), piece_(std::move(piece)), framing_(framing) {}

    // Takes what belongs to this answer, and nothing behind it.
    State read(evbuffer* input);
    State ended() const;  // the connection has: whole if the body may end so

    int code = 0;
    std::string body, type, load;  // type: of the body; load: the report of the pod that made it
    Nanos retryAfter = 0;          // 0: no advice that can be read
    bool notRun = false;           // says that the call was not begun
    bool closes = false;           // the connection ends behind it

  private:
    enum class At { status, head, body, chunkSize, chunk, chunkEnd, trailer, end };

    State line(std::string_view text);
    bool header(std::string_view text);
    State headEnds();
    void take(evbuffer* input);

    std::size_t longestBody_;
    Piece piece_;
    Framing framing_ = Framing::told;
    At at_ = At::status;
    std::size_t headBytes_ = 0;            // of all heads, those of 1xx ahead and of trailers, too
    std::size_t left_ = 0;                 // of the body, or of the chunk at hand
    std::size_t taken_ = 0;                // of the body
    bool told_ = false, chunked_ = false;  // how long the body is; in chunks
    bool tillClose_ = false;               // it ends with its connection
};

}  // namespace lichenlanding::net
