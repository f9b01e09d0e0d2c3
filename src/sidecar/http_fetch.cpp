#include "sidecar/http_fetch.hpp"

#include <stdexcept>

namespace lichenlanding::sidecar {

Url Url::below(const std::string& name) const {
    Url url = *this;
    if (url.path.empty() || url.path.back() != '/') url.path += '/';
    url.path += name;
    return url;
}

Url parseUrl(std::string_view text) {
    constexpr std::string_view scheme = "http://";
    constexpr std::string_view localhost = "localhost:";
    if (text.substr(0, scheme.size()) != scheme)
        throw std::invalid_argument("not an http URL: " + std::string(text.substr(0, 100)));
    text.remove_prefix(scheme.size());
    const auto slash = std::min(text.find('/'), text.size());
    std::string address(text.substr(0, slash));
    if (address.compare(0, localhost.size(), localhost) == 0)
        address = "127.0.0.1:" + address.substr(localhost.size());
    Url url{parseAddress(address), slash == text.size() ? "/" : std::string(text.substr(slash))};
    for (const char character : url.path)
        if (character <= ' ' || character == 127)
            throw std::invalid_argument("URL path contains a space or a control character: " +
                                        url.path.substr(0, 100));
    return url;
}

HttpFetch::HttpFetch(EventLoop& loop, const Url& url, std::size_t maxBytes, Nanos connectTimeout,
                     Nanos timeout, ResponseHandler onDone)
    : loop_(loop),
      connection_(std::make_shared<Connection>(loop, url.address, SIZE_MAX >> 1)),
      maxBytes_(maxBytes),
      onDone_(std::move(onDone)) {
    const HttpRequest request{
        EVHTTP_REQ_GET, url.path, {{"Host", url.address.text()}, {"Connection", "close"}}, {}};
    connection_->call(
        request, connectTimeout, timeout,
        [this](CallResponse response) {
            const auto onDone = std::exchange(onDone_, nullptr);  // onDone may destroy this object
            onDone({response.result, response.statusCode, std::move(body_), tooLarge_, response.retryAfter});
        },
        [this](std::string_view chunk) { onBody(chunk); }, ResponseParser::Framing::untilClose);
}

// Beyond the limit nothing more is read: the connection is closed.
void HttpFetch::onBody(std::string_view chunk) {
    if (tooLarge_) return;
    tooLarge_ = body_.size() + chunk.size() > maxBytes_;
    if (!tooLarge_) {
        body_ += chunk;
        return;
    }
    loop_.post([connection = std::weak_ptr<Connection>(connection_)] {
        if (const auto alive = connection.lock()) alive->closeWith(CallResult::cancelled);
    });
}

HttpFetch::~HttpFetch() {
    connection_->discard();
    loop_.releaseLater(std::move(connection_));
}

}  // namespace lichenlanding::sidecar
