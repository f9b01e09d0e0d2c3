// One HTTP/1.1 connection of this sidecar to another party, carrying one call at a time. Nothing is ever
// retried by it.
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

/// Parses "127.0.0.1:7070"; throws std::invalid_argument.
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

/// How a call ended and what came back.
struct CallResponse {
    CallResult result = CallResult::cancelled;
    int statusCode = 0;  ///< 0: no complete response
    std::string body = {}, contentType = {};
    std::string loadReport = {};  ///< the pod's, where the response carries one
    Nanos retryAfter = 0;         ///< 0: no advice
};

class Connection {
  public:
    using ResponseHandler = std::function<void(CallResponse)>;

    /// Connects at the first call. `maxBodyBytes` limits collected bodies.
    Connection(EventLoop& loop, Address address, std::size_t maxBodyBytes);
    ~Connection() { releaseStream(); }

    /// `onDone` is called once, from the loop, unless the connection is destroyed or discarded first. A
    /// `timeout` of 0 is no limit. With `onBody` the response's body is passed on as it comes.
    void call(const HttpRequest& request, Nanos connectTimeout, Nanos timeout, ResponseHandler onDone,
              BodyHandler onBody = nullptr,
              ResponseParser::Framing framing = ResponseParser::Framing::declared);
    /// Closes it; a call in flight ends with `result`.
    void closeWith(CallResult result);
    /// Closes it; a call in flight is not told.
    void discard();
    /// No call is in flight, and it is open or not yet connected.
    bool available() const { return usable_ && !onDone_; }
    /// It can carry another call: no bytes have come unasked, not even unread ones, and it has not ended.
    bool reusable() const;
    const Address& address() const { return address_; }
    /// Of the response that is coming in.
    int statusCode() const { return parser_.statusCode; }
    /// Called when the other side closes it while no call is in flight.
    void onClose(std::function<void()> callback) { onClose_ = std::move(callback); }

  private:
    bool connect();
    void openStream(int descriptor);
    void write(const HttpRequest& request);
    void onReadable();
    void onEvent(short what);
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
    std::shared_ptr<char> lifetime_ = std::make_shared<char>();  // expires with it, for posted calls
    bool usable_ = true, connected_ = false;
};

}  // namespace lichenlanding::sidecar
