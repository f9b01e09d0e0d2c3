#include "transport/peer_connection.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/websocket.hpp>

#include "transport/compression.hpp"
#include "transport/log.hpp"

namespace lichenlanding::transport {
namespace {

constexpr Nanos kBeatEvery = 600 * kMillisecond;
constexpr Nanos kSilentAfter = 2100 * kMillisecond;  // as long as bytes may stay without acknowledgement
constexpr Nanos kDialWithin = 900 * kMillisecond, kPauseAtMost = 800 * kMillisecond;
// A machine that is down drops the opening packet, which is sent again after a second: a short first wait and
// a new connection find it sooner once it is back.
constexpr Nanos kDialFirst = 150 * kMillisecond;
// Of bytes on their way in the kernel: what is sent next waits behind them.
constexpr int kKernelAtMost = 128 << 10;
constexpr std::size_t kWaitingAtMost = 2 * kMessageAtMost;
const std::string kBeatBytes = "p\xf6";  // CBOR null

}  // namespace

struct PeerConnection::Stream {
    beast::websocket::stream<beast::tcp_stream> ws;
    explicit Stream(tcp::socket&& socket) : ws(std::move(socket)) {
        ws.binary(true);
        ws.read_message_max(kWholeAtMost + 1024);  // a frame; large messages come in pieces
        ws.auto_fragment(false);
        ErrorCode ignored;
        beast::get_lowest_layer(ws).socket().set_option(asio::socket_base::send_buffer_size(kKernelAtMost),
                                                        ignored);
        configureSocket(beast::get_lowest_layer(ws).socket(), kSilentAfter);
    }
};

PeerConnection::PeerConnection(asio::io_context& io, std::string peer_)
    : peer(std::move(peer_)), io_(io), beat_(kBeatEvery) {}

EncodedMessage PeerConnection::pack(const Json& message) {
    std::string bytes;
    Json::to_cbor(message, bytes);
    return std::make_shared<const std::string>(compress(bytes));
}

void PeerConnection::send(const Json& message) { send(pack(message)); }

void PeerConnection::send(EncodedMessage packed) {
    if (!open_) return;
    out_.push(std::move(packed));
    if (out_.bytes() > kWaitingAtMost) {
        log("link_behind", {{"peer", peer}, {"step", "send"}, {"bytes", out_.bytes()}});
        return close();
    }
    if (!writing_) {
        writing_ = true;
        start(io_, "link write", write(shared_from_this()));
    }
}

void PeerConnection::close() {
    if (!open_) return;
    open_ = false;
    ErrorCode ignored;
    beast::get_lowest_layer(stream_->ws).socket().close(ignored);
}

Task<> PeerConnection::write(std::shared_ptr<PeerConnection> self) {
    const auto stream = self->stream_;
    while (self->open_ && !self->out_.empty()) {
        const auto bytes = self->out_.next();
        ErrorCode code;
        co_await stream->ws.async_write(asio::buffer(*bytes), withErrorCode(code));
        self->sent_ = now();
        if (code) self->close();
    }
    self->writing_ = false;
}

Task<> PeerConnection::beat(std::shared_ptr<PeerConnection> self) {
    static const auto bytes = std::make_shared<const std::string>(kBeatBytes);
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

Task<> PeerConnection::run(std::shared_ptr<PeerConnection> self, std::shared_ptr<Owner> owner) {
    const auto stream = self->stream_;
    self->open_ = true, self->heard_ = self->sent_ = now();
    start(self->io_, "link beat", beat(self));
    if (const auto first = owner->greet(*self); !first.is_null()) self->send(first);
    beast::flat_buffer buffer;
    ChunkReassembler assembly;
    while (self->open_) {
        ErrorCode code;
        co_await stream->ws.async_read(buffer, withErrorCode(code));
        if (code) break;
        self->heard_ = now();
        Json message(Json::value_t::discarded);
        try {
            const std::string_view frame(static_cast<const char*>(buffer.data().data()), buffer.size());
            const auto compressed = assembly.take(frame);
            buffer.consume(buffer.size());
            if (!compressed) continue;
            message = Json::from_cbor(decompress(*compressed), true, false);
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

Task<> PeerConnection::accept(asio::io_context& io, tcp::socket socket, std::shared_ptr<Owner> owner) {
    auto link = std::make_shared<PeerConnection>(io, "unnamed");
    link->stream_ = std::make_shared<Stream>(std::move(socket));
    beast::get_lowest_layer(link->stream_->ws).expires_after(span(kDialWithin));
    ErrorCode code;
    co_await link->stream_->ws.async_accept(withErrorCode(code));
    if (code) co_return;
    beast::get_lowest_layer(link->stream_->ws).expires_never();
    co_await run(link, owner);
}

Task<> servePeerConnections(asio::io_context& io, tcp::acceptor& acceptor,
                            std::shared_ptr<PeerConnection::Owner> owner) {
    while (acceptor.is_open()) {
        ErrorCode code;
        auto socket = co_await acceptor.async_accept(withErrorCode(code));
        if (code == asio::error::operation_aborted) co_return;
        if (code) co_await sleep(10 * kMillisecond);
        else start(io, "link", PeerConnection::accept(io, std::move(socket), owner));
    }
}

Dialer::Dialer(asio::io_context& io, std::string address, std::shared_ptr<PeerConnection::Owner> owner)
    : io_(io), address_(std::move(address)), owner_(std::move(owner)), pause_(io) {}

void Dialer::go() { start(io_, "dial", run(shared_from_this())); }

void Dialer::stop() {
    stopped_ = true;
    if (link_) link_->close();
}

Task<> Dialer::run(std::shared_ptr<Dialer> self) {
    const auto at = endpoint(self->address_);
    Nanos patience = kDialFirst;
    for (Nanos pause = 50 * kMillisecond; !self->stopped_; pause = std::min(pause * 2, kPauseAtMost)) {
        beast::tcp_stream dialled(self->io_);
        dialled.expires_after(span(std::exchange(patience, std::min(patience * 2, kDialWithin))));
        ErrorCode code;
        co_await dialled.async_connect(at, withErrorCode(code));
        if (!code) {
            auto link = std::make_shared<PeerConnection>(self->io_, self->address_);
            link->stream_ = std::make_shared<PeerConnection::Stream>(dialled.release_socket());
            auto& ws = link->stream_->ws;
            beast::get_lowest_layer(ws).expires_after(span(kDialWithin));
            co_await ws.async_handshake(self->address_, "/", withErrorCode(code));
            if (!code && !self->stopped_) {
                beast::get_lowest_layer(ws).expires_never();
                pause = 25 * kMillisecond, patience = kDialFirst;
                self->link_ = link;
                co_await PeerConnection::run(link, self->owner_);
            }
        }
        if (!self->stopped_) co_await self->pause_.wait(now() + pause);
    }
}

}  // namespace lichenlanding::transport
