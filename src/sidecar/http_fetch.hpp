// Fetches one document by its URL with a GET request on a connection of its own, with limits of size and
// time and without retries.
#pragma once

#include "sidecar/connection.hpp"

namespace lichenlanding::sidecar {

struct Url {
    Address address;
    std::string path;  ///< begins with '/'

    std::string text() const { return "http://" + address.text() + path; }
    /// The URL of `name` below this path, with exactly one '/' between them.
    Url below(const std::string& name) const;
};

/// Parses a URL such as "http://127.0.0.1:8001/metadata". The scheme must be http and the host an IPv4
/// address or "localhost", since there is no DNS lookup. Throws std::invalid_argument.
Url parseUrl(std::string_view text);

struct FetchResponse {
    CallResult result = CallResult::cancelled;
    int statusCode = 0;
    std::string body;
    bool tooLarge = false;  ///< the body exceeded the limit; the rest was not read
    Nanos retryAfter = 0;   ///< from the Retry-After of a 429 or 503, at most one hour; 0 if there is none
};

class HttpFetch {
  public:
    using ResponseHandler = std::function<void(FetchResponse)>;

    /// Starts the request. `onDone` is called once, from the event loop, unless this object is destroyed
    /// first; it may destroy this object. `timeout` limits the time until the response is complete.
    HttpFetch(EventLoop& loop, const Url& url, std::size_t maxBytes, Nanos connectTimeout, Nanos timeout,
              ResponseHandler onDone);
    ~HttpFetch();
    HttpFetch(const HttpFetch&) = delete;

  private:
    void onBody(std::string_view chunk);

    EventLoop& loop_;
    std::shared_ptr<Connection> connection_;
    std::size_t maxBytes_;
    std::string body_;
    bool tooLarge_ = false;
    ResponseHandler onDone_;
};

}  // namespace lichenlanding::sidecar
