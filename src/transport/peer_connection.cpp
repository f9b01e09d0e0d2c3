#include "transport/peer_connection.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/websocket.hpp>

#include "transport/compression.hpp"
#include "transport/log.hpp"

namespace lichenlanding::transport {
namespace {

constexpr Nanos kHeartbeatInterval = 600 * kMillisecond;
constexpr Nanos kSilenceLimit = 2100 * kMillisecond;  // as long as bytes may stay without acknowledgement
constexpr Nanos kDialTimeout = 900 * kMillisecond, kMaxDialPause = 800 * kMillisecond;
// A machine that is down drops the opening packet, which is sent again after a second: a short first wait and
// a new connection find it sooner once it is back.
constexpr Nanos kFirstDialTimeout = 150 * kMillisecond;
// Of bytes on their way in the kernel: what is sent next waits behind them.
constexpr int kMaxKernelSendBuffer = 128 << 10;
constexpr std::size_t kMaxQueuedBytes = 2 * kMaxMessageBytes;
const std::string kHeartbeatBytes = "p\xf6";  // CBOR null

}  // namespace

struct PeerConnection::Stream {
    beast::websocket::stream<beast::tcp_stream> ws;
    explicit Stream(tcp::socket&& socket) : ws(std::move(socket)) {
        ws.binary(true);
        ws.read_message_max(kMaxUnchunkedBytes + 1024);  // a frame; large messages come in pieces
        ws.auto_fragment(false);
        ErrorCode ignored;
        beast::get_lowest_layer(ws).socket().set_option(
            asio::socket_base::send_buffer_size(kMaxKernelSendBuffer), ignored);
        configureSocket(beast::get_lowest_layer(ws).socket(), kSilenceLimit);
    }
};

PeerConnection::PeerConnection(asio::io_context& io, std::string peer_)
    : peer(std::move(peer_)), io_(io), heartbeatInterval_(kHeartbeatInterval) {}

EncodedMessage PeerConnection::encode(const Json& message) {
    std::string bytes;
    Json::to_cbor(message, bytes);
    return std::make_shared<const std::string>(compress(bytes));
}

void PeerConnection::send(const Json& message) { send(encode(message)); }

void PeerConnection::send(EncodedMessage encoded) {
    if (!open_) return;
    sendQueue_.push(std::move(encoded));
    if (sendQueue_.bytes() > kMaxQueuedBytes) {
        log("link_behind", {{"peer", peer}, {"step", "send"}, {"bytes", sendQueue_.bytes()}});
        return close();
    }
    if (!writing_) {
        writing_ = true;
        spawn(io_, "link write", write(shared_from_this()));
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
    while (self->open_ && !self->sendQueue_.empty()) {
        const auto bytes = self->sendQueue_.next();
        ErrorCode code;
        co_await stream->ws.async_write(asio::buffer(*bytes), withErrorCode(code));
        self->lastSent_ = now();
        if (code) self->close();
    }
    self->writing_ = false;
}

Task<> PeerConnection::heartbeat(std::shared_ptr<PeerConnection> self) {
    static const auto bytes = std::make_shared<const std::string>(kHeartbeatBytes);
    while (self->open_) {
        co_await sleep(self->heartbeatInterval_);
        if (now() - self->lastReceived_ > self->heartbeatInterval_ * 7 / 2) {
            if (self->open_) log("link_silent", {{"peer", self->peer}, {"step", "beat"}});
            self->close();
        } else if (now() - self->lastSent_ > self->heartbeatInterval_ / 2) {
            self->send(bytes);
        }
    }
}

Task<> PeerConnection::run(std::shared_ptr<PeerConnection> self, std::shared_ptr<Callbacks> callbacks) {
    const auto stream = self->stream_;
    self->open_ = true, self->lastReceived_ = self->lastSent_ = now();
    spawn(self->io_, "link beat", heartbeat(self));
    if (const auto first = callbacks->makeHello(*self); !first.is_null()) self->send(first);
    beast::flat_buffer buffer;
    ChunkReassembler assembly;
    while (self->open_) {
        ErrorCode code;
        co_await stream->ws.async_read(buffer, withErrorCode(code));
        if (code) break;
        self->lastReceived_ = now();
        Json message(Json::value_t::discarded);
        try {
            const std::string_view frame(static_cast<const char*>(buffer.data().data()), buffer.size());
            const auto compressed = assembly.addFrame(frame);
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
            if (message.is_object()) callbacks->onMessage(*self, message);
        } catch (const Json::exception& wrong) {
            log("link_spoilt", {{"peer", self->peer}, {"step", "message"}, {"error", wrong.what()}});
            break;
        }
    }
    self->close();
    callbacks->onClosed(*self);
}

Task<> PeerConnection::accept(asio::io_context& io, tcp::socket socket,
                              std::shared_ptr<Callbacks> callbacks) {
    auto connection = std::make_shared<PeerConnection>(io, "unnamed");
    connection->stream_ = std::make_shared<Stream>(std::move(socket));
    beast::get_lowest_layer(connection->stream_->ws).expires_after(toDuration(kDialTimeout));
    ErrorCode code;
    co_await connection->stream_->ws.async_accept(withErrorCode(code));
    if (code) co_return;
    beast::get_lowest_layer(connection->stream_->ws).expires_never();
    co_await run(connection, callbacks);
}

Task<> servePeerConnections(asio::io_context& io, tcp::acceptor& acceptor,
                            std::shared_ptr<PeerConnection::Callbacks> callbacks) {
    while (acceptor.is_open()) {
        ErrorCode code;
        auto socket = co_await acceptor.async_accept(withErrorCode(code));
        if (code == asio::error::operation_aborted) co_return;
        if (code) co_await sleep(10 * kMillisecond);
        else spawn(io, "link", PeerConnection::accept(io, std::move(socket), callbacks));
    }
}

Dialer::Dialer(asio::io_context& io, std::string address,
               std::shared_ptr<PeerConnection::Callbacks> callbacks)
    : io_(io), address_(std::move(address)), callbacks_(std::move(callbacks)), pause_(io) {}

void Dialer::start() { spawn(io_, "dial", run(shared_from_this())); }

void Dialer::stop() {
    stopped_ = true;
    if (connection_) connection_->close();
}

Task<> Dialer::run(std::shared_ptr<Dialer> self) {
    const auto at = parseAddress(self->address_);
    Nanos patience = kFirstDialTimeout;
    for (Nanos pause = 50 * kMillisecond; !self->stopped_; pause = std::min(pause * 2, kMaxDialPause)) {
        beast::tcp_stream dialled(self->io_);
        dialled.expires_after(toDuration(std::exchange(patience, std::min(patience * 2, kDialTimeout))));
        ErrorCode code;
        co_await dialled.async_connect(at, withErrorCode(code));
        if (!code) {
            auto connection = std::make_shared<PeerConnection>(self->io_, self->address_);
            connection->stream_ = std::make_shared<PeerConnection::Stream>(dialled.release_socket());
            auto& ws = connection->stream_->ws;
            beast::get_lowest_layer(ws).expires_after(toDuration(kDialTimeout));
            co_await ws.async_handshake(self->address_, "/", withErrorCode(code));
            if (!code && !self->stopped_) {
                beast::get_lowest_layer(ws).expires_never();
                pause = 25 * kMillisecond, patience = kFirstDialTimeout;
                self->connection_ = connection;
                co_await PeerConnection::run(connection, self->callbacks_);
            }
        }
        if (!self->stopped_) co_await self->pause_.wait(now() + pause);
    }
}

}  // namespace lichenlanding::transport
