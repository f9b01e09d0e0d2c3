// A strict parser of one HTTP/1.1 response. It stands in for evhttp's client, which takes what follows a
// response (a second copy, one behind a 1xx) for the next one, accepts the first of two lengths, and takes
// the end of the connection for the end of a body that has declared a length.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "sidecar/event_loop.hpp"

namespace lichenlanding::sidecar {

// Parts of a header line, in requests and responses.
bool isHeaderName(std::string_view text);
bool isHeaderValue(std::string_view text);
bool isContentLength(std::string_view text);

/// Receives parts of a body as they come.
using BodyHandler = std::function<void(std::string_view)>;

class ResponseParser {
  public:
    enum class State { incomplete, complete, malformed };
    /// declared: the body's length or its chunks are declared, else the response is malformed.
    /// untilClose: HTTP/1.0 is accepted too, and a body may end with its connection. That is only for content
    /// that proves its completeness itself, as signed metadata do.
    enum class Framing { declared, untilClose };

    /// With `onBody` the body is passed on as it comes and may be of any length; else it is collected, and
    /// `maxBodyBytes` limits it.
    explicit ResponseParser(std::size_t maxBodyBytes = 0, BodyHandler onBody = nullptr,
                            Framing framing = Framing::declared)
        : maxBodyBytes_(maxBodyBytes), onBody_(std::move(onBody)), framing_(framing) {}

    /// Takes the bytes that belong to this response from `input`, and none behind it.
    State consume(evbuffer* input);
    /// The state once the connection has ended: complete if the body may end with it.
    State stateAtClose() const;

    int statusCode = 0;
    std::string body, contentType;
    std::string loadReport;         ///< of the pod
    Nanos retryAfter = 0;           ///< 0: none that can be parsed
    bool rejected = false;          ///< the header says that the call was not executed
    bool closesConnection = false;  ///< the connection ends behind it

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
    std::size_t headerBytes_ = 0;  // of all headers, those of 1xx before it and of trailers, too
    std::size_t remaining_ = 0;    // of the body, or of the current chunk
    std::size_t received_ = 0;     // of the body
    bool lengthDeclared_ = false, chunked_ = false;
    bool endsAtClose_ = false;
};

}  // namespace lichenlanding::sidecar
