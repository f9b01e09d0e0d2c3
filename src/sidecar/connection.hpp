// A client connection over HTTP/1.1 that carries one call at a time. It never retries a call.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "sidecar/call_result.hpp"
#include "sidecar/event_loop.hpp"
#include "sidecar/response_parser.hpp"

namespace lichenlanding::sidecar {

/// An IPv4 address and port.
struct Address {
    std::string host;
    std::uint16_t port = 0;

    bool operator==(const Address&) const = default;
    std::string text() const { return host + ":" + std::to_string(port); }
};

/// Parses an address such as "127.0.0.1:7070". Throws std::invalid_argument.
Address parseAddress(std::string_view text);

struct HttpHeader {
    std::string name, value;
};

struct HttpRequest {
    evhttp_cmd_type method = EVHTTP_REQ_GET;
    std::string path;
    std::vector<HttpHeader> headers;
    std::string body;
};

/// The result of a call and the response to it.
struct CallResponse {
    CallResult result = CallResult::cancelled;
    int statusCode = 0;  ///< 0 if no complete response was received
    std::string body = {}, contentType = {};
    std::string loadReport = {};  ///< value of the X-Load-Report header; empty if there is none
    Nanos retryAfter = 0;         ///< from the Retry-After header; 0 if there is none
};

class Connection {
  public:
    using ResponseHandler = std::function<void(CallResponse)>;

    /// The connection is established by the first call. `maxBodyBytes` limits the size of response bodies
    /// that are collected in memory.
    Connection(EventLoop& loop, Address address, std::size_t maxBodyBytes);
    ~Connection() { releaseStream(); }

    /// Sends a request. `onDone` is called once, from the event loop, unless the connection is destroyed or
    /// discarded first. A `timeout` of 0 means no limit. If `onBody` is given, it receives the parts of the
    /// response body as they arrive, and the body is not collected.
    void call(const HttpRequest& request, Nanos connectTimeout, Nanos timeout, ResponseHandler onDone,
              BodyHandler onBody = nullptr,
              ResponseParser::Framing framing = ResponseParser::Framing::declared);
    /// Closes the connection; a call in flight ends with `result`.
    void closeWith(CallResult result);
    /// Closes the connection; the handler of a call in flight is dropped without being called.
    void discard();
    /// Whether no call is in flight and the connection is open or not yet established.
    bool available() const { return usable_ && !onDone_; }
    /// Whether the connection can carry another call: it is open, and its socket has no unexpected bytes to
    /// read.
    bool reusable() const;
    const Address& address() const { return address_; }
    /// The status code of the response that is being received.
    int statusCode() const { return parser_.statusCode; }
    /// Sets a callback for the remote side closing the connection, or sending bytes on it, while no call is
    /// in flight.
    void onClose(std::function<void()> callback) { onClose_ = std::move(callback); }

  private:
    bool connect();
    void openStream(int descriptor);
    void write(const HttpRequest& request);
    void onReadable();
    void onEvent(short events);
    void finish(CallResponse response);
    CallResponse takeResponse();
    bool allWritten() const;
    void releaseStream();

    EventLoop& loop_;
    Address address_;
    std::size_t maxBodyBytes_;
    LibeventPtr<bufferevent> stream_;
    Timer connectTimer_, responseTimer_;
    ResponseParser parser_;
    ResponseHandler onDone_;
    std::function<void()> onClose_;
    std::shared_ptr<char> lifetime_ = std::make_shared<char>();  // lets posted callbacks detect destruction
    bool usable_ = true, connected_ = false;
};

}  // namespace lichenlanding::sidecar
