// A strict parser of one HTTP/1.1 response. It replaces evhttp's client, which takes surplus bytes behind a
// response (a second copy, or one behind a 1xx) for the next response, accepts the first of two lengths, and
// takes the end of the connection for the end of a body with a declared length.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "sidecar/event_loop.hpp"

namespace lichenlanding::sidecar {

// Syntax checks for header lines of requests and responses.
bool isHeaderName(std::string_view text);
bool isHeaderValue(std::string_view text);
bool isContentLength(std::string_view text);

/// Receives the parts of a body as they arrive.
using BodyHandler = std::function<void(std::string_view)>;

class ResponseParser {
  public:
    enum class State { incomplete, complete, malformed };
    /// declared: a response whose body has neither a declared length nor chunks is malformed.
    /// untilClose: HTTP/1.0 is accepted too, and a body may end with its connection. Only for content whose
    /// completeness is verified otherwise, such as signed metadata.
    enum class Framing { declared, untilClose };

    /// With `onBody` the body is passed on as it arrives and may have any length; else it is collected in
    /// `body`, up to `maxBodyBytes`.
    explicit ResponseParser(std::size_t maxBodyBytes = 0, BodyHandler onBody = nullptr,
                            Framing framing = Framing::declared)
        : maxBodyBytes_(maxBodyBytes), onBody_(std::move(onBody)), framing_(framing) {}

    /// Removes the bytes of this response from `input`, and none that follow it.
    State consume(evbuffer* input);
    /// The state after the connection was closed: complete if the body may end with it.
    State stateAtClose() const;

    int statusCode = 0;
    std::string body, contentType;
    std::string loadReport;         ///< the pod's load report; empty if there is none
    Nanos retryAfter = 0;           ///< 0: missing or malformed
    bool rejected = false;          ///< by the header: the call was not executed
    bool closesConnection = false;  ///< the connection cannot be reused

  private:
    enum class Phase { status, headers, body, chunkSize, chunk, chunkEnd, trailer, end };

    State parseLine(std::string_view text);
    State parseStatus(std::string_view text);
    State parseChunkSize(std::string_view text);
    bool parseHeader(std::string_view text);
    State finishHeaders();
    void readBody(evbuffer* input);

    std::size_t maxBodyBytes_;
    BodyHandler onBody_;
    Framing framing_ = Framing::declared;
    Phase phase_ = Phase::status;
    std::size_t headerBytes_ = 0;  // of all headers, with those of preceding 1xx responses and of trailers
    std::size_t remaining_ = 0;    // of the body or the current chunk
    std::size_t received_ = 0;     // of the body
    bool lengthDeclared_ = false, chunked_ = false;
    bool endsAtClose_ = false;
};

}  // namespace lichenlanding::sidecar
