#include "sidecar/http_fetch.hpp"

#include <stdexcept>

namespace lichenlanding::net {

Url Url::below(const std::string& name) const {
    Url made = *this;
    if (made.path.empty() || made.path.back() != '/') made.path += '/';
    made.path += name;
    return made;
}

Url readUrl(std::string_view text) {
    constexpr std::string_view scheme = "http://", local = "localhost:";
    if (text.substr(0, scheme.size()) != scheme)
        throw std::invalid_argument("not an http URL: " + std::string(text.substr(0, 100)));
    text.remove_prefix(scheme.size());
    const auto slash = std::min(text.find('/'), text.size());
    std::string where(text.substr(0, slash));
    if (where.compare(0, local.size(), local) == 0) where = "127.0.0.1:" + where.substr(local.size());
    Url url{readAddress(where), slash == text.size() ? "/" : std::string(text.substr(slash))};
    for (const char letter : url.path)
        if (letter <= ' ' || letter == 127)
            throw std::invalid_argument("not a URL's path: " + url.path.substr(0, 100));
    return url;
}

Fetch::Fetch(Loop& loop, const Url& url, std::size_t atMost, Nanos connectWithin, Nanos within, Done done)
    : loop_(loop),
      connection_(std::make_shared<Connection>(loop, url.address, SIZE_MAX >> 1)),
      done_(std::move(done)) {
    const Call call{EVHTTP_REQ_GET, url.path, {{"Host", url.address.text()}, {"Connection", "close"}}, {}};
    connection_->call(
        call, connectWithin, within,
        [this](Return back) {
            const auto done = std::exchange(done_, nullptr);  // which may destroy this
            done({back.ending, back.code, std::move(body_), tooLong_, back.retryAfter});
        },
        [this, atMost](std::string_view piece) {
            // Nothing is done with what is over the bound, not even to read it.
            if (tooLong_) return;
            tooLong_ = body_.size() + piece.size() > atMost;
            if (tooLong_)
                loop_.later([alive = std::weak_ptr<Connection>(connection_)] {
                    if (const auto held = alive.lock()) held->end(Ending::calledOff);
                });
            else body_ += piece;
        },
        Answer::Framing::byClose);
}

Fetch::~Fetch() {
    connection_->abandon();
    loop_.bury(std::move(connection_));
}

}  // namespace lichenlanding::net
