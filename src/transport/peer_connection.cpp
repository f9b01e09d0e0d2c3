#include "transport/peer_connection.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/websocket.hpp>

#include "transport/compression.hpp"
#include "transport/log.hpp"

namespace lichenlanding::wings {
namespace {

constexpr Nanos beatEvery = 600 * ms;
constexpr Nanos silentAfter = 2100 * ms;  // as long as bytes may stay without acknowledgement
constexpr Nanos dialWithin = 900 * ms, pauseAtMost = 800 * ms;
// A machine that is down drops the opening packet, which is sent again after a second: a short first wait and
// a new connection find it sooner once it is back.
constexpr Nanos dialFirst = 150 * ms;
// Of bytes on their way in the kernel: what is sent next waits behind them.
constexpr int kernelAtMost = 128 << 10;
constexpr std::size_t waitingAtMost = 2 * messageAtMost;
const std::string beatBytes = "p\xf6";  // CBOR null

}  // namespace

struct Link::Stream {
    beast::websocket::stream<beast::tcp_stream> ws;
    explicit Stream(tcp::socket&& socket) : ws(std::move(socket)) {
        ws.binary(true);
        ws.read_message_max(wholeAtMost + 1024);  // a frame; large messages come in pieces
        ws.auto_fragment(false);
        Code ignored;
        beast::get_lowest_layer(ws).socket().set_option(asio::socket_base::send_buffer_size(kernelAtMost),
                                                        ignored);
        tune(beast::get_lowest_layer(ws).socket(), silentAfter);
    }
};

Link::Link(asio::io_context& io, std::string peer_) : peer(std::move(peer_)), io_(io), beat_(beatEvery) {}

Packed Link::pack(const Json& message) {
    std::string bytes;
    Json::to_cbor(message, bytes);
    return std::make_shared<const std::string>(squeeze(bytes));
}

void Link::send(const Json& message) { send(pack(message)); }

void Link::send(Packed packed) {
    if (!open_) return;
    out_.push(std::move(packed));
    if (out_.bytes() > waitingAtMost) {
        log("link_behind", {{"peer", peer}, {"step", "send"}, {"bytes", out_.bytes()}});
        return close();
    }
    if (!writing_) {
        writing_ = true;
        start(io_, "link write", write(shared_from_this()));
    }
}

void Link::close() {
    if (!open_) return;
    open_ = false;
    Code ignored;
    beast::get_lowest_layer(stream_->ws).socket().close(ignored);
}

Task<> Link::write(std::shared_ptr<Link> self) {
    const auto stream = self->stream_;
    while (self->open_ && !self->out_.empty()) {
        const auto bytes = self->out_.next();
        Code code;
        co_await stream->ws.async_write(asio::buffer(*bytes), told(code));
        self->sent_ = now();
        if (code) self->close();
    }
    self->writing_ = false;
}

Task<> Link::beat(std::shared_ptr<Link> self) {
    static const auto bytes = std::make_shared<const std::string>(beatBytes);
    while (self->open_) {
        co_await sleep(self->beat_);
        if (now() - self->heard_ > self->beat_ * 7 / 2) {
            if (self->open_) log("link_silent", {{"peer", self->peer}, {"step", "beat"}});
            self->close();
        } else if (now() - self->sent_ > self->beat_ / 2) {
            self->send(bytes);
        }
    }
}

Task<> Link::run(std::shared_ptr<Link> self, std::shared_ptr<Owner> owner) {
    const auto stream = self->stream_;
    self->open_ = true, self->heard_ = self->sent_ = now();
    start(self->io_, "link beat", beat(self));
    if (const auto first = owner->greet(*self); !first.is_null()) self->send(first);
    beast::flat_buffer buffer;
    Assembly assembly;
    while (self->open_) {
        Code code;
        co_await stream->ws.async_read(buffer, told(code));
        if (code) break;
        self->heard_ = now();
        Json message(Json::value_t::discarded);
        try {
            const std::string_view frame(static_cast<const char*>(buffer.data().data()), buffer.size());
            const auto squeezed = assembly.take(frame);
            buffer.consume(buffer.size());
            if (!squeezed) continue;
            message = Json::from_cbor(unsqueeze(*squeezed), true, false);
        } catch (
            const std::exception&) {  // told below, as what cannot be read (nlohmann throws on absurd sizes)
        }
        buffer.consume(buffer.size());
        if (message.is_discarded()) {
            log("link_spoilt", {{"peer", self->peer}, {"step", "read"}});
            break;
        }
        try {
            if (message.is_object()) owner->heard(*self, message);
        } catch (const Json::exception& wrong) {
            log("link_spoilt", {{"peer", self->peer}, {"step", "message"}, {"error", wrong.what()}});
            break;
        }
    }
    self->close();
    owner->closed(*self);
}

Task<> Link::accept(asio::io_context& io, tcp::socket socket, std::shared_ptr<Owner> owner) {
    auto link = std::make_shared<Link>(io, "unnamed");
    link->stream_ = std::make_shared<Stream>(std::move(socket));
    beast::get_lowest_layer(link->stream_->ws).expires_after(span(dialWithin));
    Code code;
    co_await link->stream_->ws.async_accept(told(code));
    if (code) co_return;
    beast::get_lowest_layer(link->stream_->ws).expires_never();
    co_await run(link, owner);
}

Task<> serveLinks(asio::io_context& io, tcp::acceptor& acceptor, std::shared_ptr<Link::Owner> owner) {
    while (acceptor.is_open()) {
        Code code;
        auto socket = co_await acceptor.async_accept(told(code));
        if (code == asio::error::operation_aborted) co_return;
        if (code) co_await sleep(10 * ms);
        else start(io, "link", Link::accept(io, std::move(socket), owner));
    }
}

Dialer::Dialer(asio::io_context& io, std::string address, std::shared_ptr<Link::Owner> owner)
    : io_(io), address_(std::move(address)), owner_(std::move(owner)), pause_(io) {}

void Dialer::go() { start(io_, "dial", run(shared_from_this())); }

void Dialer::stop() {
    stopped_ = true;
    if (link_) link_->close();
}

Task<> Dialer::run(std::shared_ptr<Dialer> self) {
    const auto at = endpoint(self->address_);
    Nanos patience = dialFirst;
    for (Nanos pause = 50 * ms; !self->stopped_; pause = std::min(pause * 2, pauseAtMost)) {
        beast::tcp_stream dialled(self->io_);
        dialled.expires_after(span(std::exchange(patience, std::min(patience * 2, dialWithin))));
        Code code;
        co_await dialled.async_connect(at, told(code));
        if (!code) {
            auto link = std::make_shared<Link>(self->io_, self->address_);
            link->stream_ = std::make_shared<Link::Stream>(dialled.release_socket());
            auto& ws = link->stream_->ws;
            beast::get_lowest_layer(ws).expires_after(span(dialWithin));
            co_await ws.async_handshake(self->address_, "/", told(code));
            if (!code && !self->stopped_) {
                beast::get_lowest_layer(ws).expires_never();
                pause = 25 * ms, patience = dialFirst;
                self->link_ = link;
                co_await Link::run(link, self->owner_);
            }
        }
        if (!self->stopped_) co_await self->pause_.wait(now() + pause);
    }
}

}  // namespace lichenlanding::wings
