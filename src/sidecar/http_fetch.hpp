// One GET of a document by its URL, over a connection of its own: bounded in bytes and time, never retried.
#pragma once

#include "sidecar/connection.hpp"

namespace lichenlanding::sidecar {

struct Url {
    Address address;
    std::string path;  ///< begins with '/'

    std::string text() const { return "http://" + address.text() + path; }
    /// Of `name` below this path, with one '/' between them.
    Url below(const std::string& name) const;
};

/// Parses "http://127.0.0.1:8001/metadata". Only http, and an IPv4 address or "localhost": names are not
/// looked up. Throws std::invalid_argument.
Url parseUrl(std::string_view text);

struct FetchResponse {
    CallResult result = CallResult::cancelled;
    int statusCode = 0;
    std::string body;
    bool tooLarge = false;  ///< more bytes came than are allowed; the rest was not read
    Nanos retryAfter = 0;   ///< of a 429 or 503, at most an hour; 0: none
};

class HttpFetch {
  public:
    using ResponseHandler = std::function<void(FetchResponse)>;

    /// Starts it. `onDone` is called once, from the loop, unless this is destroyed first; it may destroy
    /// this. `timeout` is for the whole response.
    HttpFetch(EventLoop& loop, const Url& url, std::size_t maxBytes, Nanos connectTimeout, Nanos timeout,
              ResponseHandler onDone);
    ~HttpFetch();
    HttpFetch(const HttpFetch&) = delete;

  private:
    void onBody(std::string_view part);

    EventLoop& loop_;
    std::shared_ptr<Connection> connection_;
    std::size_t maxBytes_;
    std::string body_;
    bool tooLarge_ = false;
    ResponseHandler onDone_;
};

}  // namespace lichenlanding::sidecar
