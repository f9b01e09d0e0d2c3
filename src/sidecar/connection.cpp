#include "sidecar/connection.hpp"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <unistd.h>

#include <cerrno>
#include <stdexcept>

#include "sidecar/messages.hpp"
#include "text.hpp"

namespace lichenlanding::net {

Address readAddress(std::string_view text) {
    const auto colon = text.rfind(':');
    Address address{std::string(text.substr(0, colon)), 0};
    in_addr parsed{};
    if (colon == text.npos || !parse(text.substr(colon + 1), address.port) || address.port == 0 ||
        inet_pton(AF_INET, address.host.c_str(), &parsed) != 1)
        throw std::invalid_argument("not an address: " + std::string(text.substr(0, 60)));
    return address;
}

Connection::Connection(Loop& loop, const Address& address, std::size_t longestBody)
    : loop_(loop),
      address_(address),
      longestBody_(longestBody),
      connectTimer_(loop,
                    [this] {
                        if (!connected_) end(Ending::neverUp);
                    }),
      timer_(loop, [this] { end(Ending::timedOut); }) {}

// The socket is made here, since libevent does not tell a full table of descriptors from a refusal.
bool Connection::connect() {
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0) return false;
    stream_.reset(bufferevent_socket_new(loop_.base(), descriptor, BEV_OPT_CLOSE_ON_FREE));
    if (!stream_) return close(descriptor), false;
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    bufferevent_setcb(
        stream_.get(),
        [](bufferevent*, void* self) { guarded([&] { static_cast<Connection*>(self)->came(); }); }, nullptr,
        [](bufferevent*, short what, void* self) {
            guarded([&] { static_cast<Connection*>(self)->happened(what); });
        },
        this);
    bufferevent_enable(stream_.get(), EV_READ | EV_WRITE);
    sockaddr_in where{};
    where.sin_family = AF_INET;
    where.sin_port = htons(address_.port);
    inet_pton(AF_INET, address_.host.c_str(), &where.sin_addr);
    if (::connect(descriptor, reinterpret_cast<sockaddr*>(&where), sizeof where) != 0 && errno != EINPROGRESS)
        loop_.later([this, here = std::weak_ptr<char>(here_)] {
            if (!here.expired() && !connected_) happened(BEV_EVENT_ERROR);
        });
    else bufferevent_socket_connect(stream_.get(), nullptr, 0);
    return true;
}

void Connection::call(const Call& call, Nanos connectWithin, Nanos within, Done done, Piece piece,
                      Answer::Framing framing) {
    done_ = std::move(done);
    answer_ = Answer(longestBody_, std::move(piece), framing);
    if (!stream_ && !connect())
        return loop_.later([this, here = std::weak_ptr<char>(here_)] {
            if (!here.expired()) end(Ending::noRoom);
        });
    std::string bytes = call.method == EVHTTP_REQ_GET    ? "GET "
                        : call.method == EVHTTP_REQ_POST ? "POST "
                                                         : "DELETE ";
    bytes += call.path + " HTTP/1.1\r\n";
    for (const auto& [name, value] : call.headers) bytes += name + ": " + value + "\r\n";
    if (call.method != EVHTTP_REQ_GET || !call.body.empty())
        bytes += "Content-Length: " + std::to_string(call.body.size()) + "\r\n";
    bytes += "\r\n" + call.body;
    evbuffer_add(bufferevent_get_output(stream_.get()), bytes.data(), bytes.size());
    if (!connected_) connectTimer_.in(connectWithin);
    if (within > 0) timer_.in(within);
}

bool Connection::quiet() const {
    char first;
    return alive_ && stream_ &&
           recv(bufferevent_getfd(stream_.get()), &first, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
           (errno == EAGAIN || errno == EWOULDBLOCK);
}

void Connection::end(Ending why) {
    alive_ = false;
    letGo();
    if (done_) finish({why});
}

void Connection::abandon() {
    loop_.bury(std::make_shared<Done>(std::exchange(done_, nullptr)));
    end(Ending::calledOff);
    connectTimer_.stop();
    timer_.stop();
}

// libevent keeps what its callbacks are still in.
void Connection::letGo() {
    if (stream_) bufferevent_setcb(stream_.get(), nullptr, nullptr, nullptr, nullptr);
    stream_.reset();
}

void Connection::came() {
    auto* input = bufferevent_get_input(stream_.get());
    if (!done_) {  // nobody has asked: whatever it is, it is no answer to the next call
        alive_ = false;
        if (closed_) closed_();
        return;
    }
    const auto state = answer_.read(input);
    if (!done_ || state == Answer::State::more) return;  // a piece of it may have ended the call
    if (state == Answer::State::spoilt) return end(Ending::garbled);
    // What comes behind an answer, or an answer before the call was written whole, leaves the connection in
    // no state for another.
    const bool written = evbuffer_get_length(bufferevent_get_output(stream_.get())) == 0;
    if (answer_.closes || !written || evbuffer_get_length(input) > 0 || !quiet()) alive_ = false;
    finish({endingOfAnswer(answer_.code, answer_.notRun), answer_.code, std::move(answer_.body),
            std::move(answer_.type), std::move(answer_.load), answer_.retryAfter});
}

// Whether a call's last byte was written decides between 'never ran' and 'may have run'.
void Connection::happened(short what) {
    if (what & BEV_EVENT_CONNECTED) {
        connected_ = true;
        return connectTimer_.stop();
    }
    alive_ = false;
    if (done_ && connected_ && (what & BEV_EVENT_EOF) && answer_.ended() == Answer::State::whole)
        return finish({endingOfAnswer(answer_.code, answer_.notRun), answer_.code, std::move(answer_.body),
                       std::move(answer_.type), std::move(answer_.load), answer_.retryAfter});
    if (done_) {
        const bool written = evbuffer_get_length(bufferevent_get_output(stream_.get())) == 0;
        return end(!connected_ ? Ending::refused : written ? Ending::cutAfter : Ending::cutBefore);
    }
    if (closed_) closed_();
}

void Connection::finish(Return result) {
    connectTimer_.stop();
    timer_.stop();
    const auto done = std::exchange(done_, nullptr);
    done(std::move(result));
}

}  // namespace lichenlanding::net
