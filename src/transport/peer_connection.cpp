#include "transport/peer_connection.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/websocket.hpp>
#include <list>

#include "transport/bounded_parser.hpp"
#include "transport/compression.hpp"
#include "transport/log.hpp"
#include "transport/message_decoder.hpp"

namespace lichenlanding::transport {
namespace {

constexpr Nanos kHeartbeatInterval = 600 * kMillisecond;
constexpr Nanos kUnacknowledgedTimeout = 2100 * kMillisecond;  // TCP_USER_TIMEOUT
constexpr Nanos kDialTimeout = 900 * kMillisecond;
constexpr Nanos kInitialDialBackoff = 50 * kMillisecond;
constexpr Nanos kMaxDialBackoff = 800 * kMillisecond;
constexpr Nanos kReconnectDelay = 25 * kMillisecond;  // after an established connection has ended
// A machine that is down drops the SYN, which the kernel resends only after a second. A short first timeout
// and a new attempt reach the machine sooner once it is back.
constexpr Nanos kInitialDialTimeout = 150 * kMillisecond;
constexpr Nanos kAcceptRetryDelay = 10 * kMillisecond;  // after a failed accept, such as out of descriptors
// Limits the bytes buffered in the kernel, since later messages cannot overtake them.
constexpr int kMaxKernelSendBuffer = 128 << 10;
constexpr std::size_t kMaxQueuedBytes = 32 << 20;  // unless a single message is larger
// Of an accepted connection, until its first message has named its kind.
constexpr Nanos kHelloTimeout = 2100 * kMillisecond;
constexpr std::size_t kMaxConnectionsWithoutHello = 256;
constexpr std::size_t kMaxUpgradeHeaderBytes = 8 << 10;
constexpr std::size_t kMaxFrameBytes = kMaxUnchunkedBytes + 1024;
const std::string kHeartbeatBytes = "p\xf6";  // CBOR null, uncompressed; same in all versions

struct MessageLimits {
    std::size_t receivedBytes, decompressedBytes;
};
constexpr MessageLimits kMessageLimits{kMaxMessageBytes, 256 << 20};
constexpr MessageLimits kHelloLimits{1 << 20, 1 << 20};

// Returns nothing while the message is incomplete, and a discarded value if it cannot be decoded.
std::optional<Json> decodeFrame(ChunkReassembler& reassembler, std::string_view frame,
                                const MessageLimits& limits) {
    try {
        const auto compressed = reassembler.addFrame(frame, limits.receivedBytes);
        if (!compressed) return std::nullopt;
        return std::make_optional<Json>(decodeMessage(decompress(*compressed, limits.decompressedBytes)));
    } catch (const std::exception&) {  // nlohmann throws on excessive sizes even with exceptions disabled
        return std::make_optional<Json>(Json::value_t::discarded);
    }
}

// Removes the others from the list.
std::size_t countWithoutHello(std::list<std::weak_ptr<PeerConnection>>& connections) {
    connections.remove_if([](const auto& entry) {
        const auto connection = entry.lock();
        return !connection || !connection->kind.empty();
    });
    return connections.size();
}

}  // namespace

struct PeerConnection::Stream {
    beast::websocket::stream<beast::tcp_stream> ws;
    explicit Stream(tcp::socket&& socket) : ws(std::move(socket)) {
        ws.binary(true);
        ws.read_message_max(kMaxFrameBytes);
        ws.auto_fragment(false);
        ErrorCode ignored;
        tcpSocket().set_option(asio::socket_base::send_buffer_size(kMaxKernelSendBuffer), ignored);
        configureSocket(tcpSocket(), kUnacknowledgedTimeout);
    }
    tcp::socket& tcpSocket() { return beast::get_lowest_layer(ws).socket(); }
    void setTimeout(Nanos timeout) { beast::get_lowest_layer(ws).expires_after(toDuration(timeout)); }
    void clearTimeout() { beast::get_lowest_layer(ws).expires_never(); }
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
    const bool wasEmpty = sendQueue_.empty();
    sendQueue_.push(std::move(encoded));
    if (!wasEmpty && sendQueue_.bytes() > kMaxQueuedBytes) {
        log("peer_connection_overloaded", {{"peer", peer}, {"step", "send"}, {"bytes", sendQueue_.bytes()}});
        return close();
    }
    if (!writing_) {
        writing_ = true;
        spawn(io_, "write to peer", write(shared_from_this()));
    }
}

void PeerConnection::close() {
    if (!open_) return;
    open_ = false;
    ErrorCode ignored;
    stream_->tcpSocket().close(ignored);
}

Task<> PeerConnection::write(std::shared_ptr<PeerConnection> self) {
    const auto stream = self->stream_;
    while (self->open_ && !self->sendQueue_.empty()) {
        const auto frame = self->sendQueue_.next();
        ErrorCode code;
        co_await stream->ws.async_write(asio::buffer(*frame), withErrorCode(code));
        self->lastSent_ = now();
        if (code) self->close();
    }
    self->writing_ = false;
}

Task<> PeerConnection::heartbeat(std::shared_ptr<PeerConnection> self) {
    static const auto kBytes = std::make_shared<const std::string>(kHeartbeatBytes);
    while (self->open_) {
        co_await sleep(self->heartbeatInterval_);
        if (self->awaitsHello() && now() > self->helloDeadline_) {
            self->close();
        } else if (now() - self->lastReceived_ > self->heartbeatInterval_ * 7 / 2) {
            if (self->open_) log("peer_connection_lost", {{"peer", self->peer}, {"step", "heartbeat"}});
            self->close();
        } else if (now() - self->lastSent_ > self->heartbeatInterval_ / 2) {
            self->send(kBytes);
        }
    }
}

// Runs a connection from the completed WebSocket handshake until it is closed.
Task<> PeerConnection::run(std::shared_ptr<PeerConnection> self, std::shared_ptr<Callbacks> callbacks) {
    self->open_ = true;
    self->lastReceived_ = self->lastSent_ = now();
    spawn(self->io_, "heartbeat", heartbeat(self));
    try {
        if (const auto hello = callbacks->makeHello(*self); !hello.is_null()) self->send(hello);
        co_await readMessages(self, callbacks);
    } catch (const std::exception& error) {
        log("peer_connection_failed", {{"peer", self->peer}, {"step", "read"}, {"error", error.what()}});
    }
    self->close();
    callbacks->onClosed(*self);
}

Task<> PeerConnection::readMessages(std::shared_ptr<PeerConnection> self,
                                    std::shared_ptr<Callbacks> callbacks) {
    const auto stream = self->stream_;
    beast::flat_buffer buffer;
    ChunkReassembler reassembler;
    while (self->open_) {
        ErrorCode code;
        co_await stream->ws.async_read(buffer, withErrorCode(code));
        if (code) co_return;
        self->lastReceived_ = now();
        const auto message =
            decodeFrame(reassembler, {static_cast<const char*>(buffer.data().data()), buffer.size()},
                        self->awaitsHello() ? kHelloLimits : kMessageLimits);
        buffer.consume(buffer.size());
        if (message && !self->deliver(*callbacks, *message)) co_return;
    }
}

// Returns false if the connection must be closed.
bool PeerConnection::deliver(const Callbacks& callbacks, const Json& message) {
    if (message.is_discarded()) {
        log("peer_message_rejected", {{"peer", peer}, {"step", "read"}});
        return false;
    }
    if (!message.is_object()) return true;  // a heartbeat
    try {
        callbacks.onMessage(*this, message);
    } catch (const std::exception& error) {
        log("peer_message_rejected", {{"peer", peer}, {"step", "message"}, {"error", error.what()}});
        return false;
    }
    return true;
}

Task<> PeerConnection::accept(std::shared_ptr<PeerConnection> self, std::shared_ptr<Callbacks> callbacks) {
    self->stream_->setTimeout(kDialTimeout);
    const auto code = co_await acceptUpgrade(self);
    if (code) co_return;
    self->stream_->clearTimeout();
    if (callbacks->expectsHello) self->helloDeadline_ = now() + kHelloTimeout;
    co_await run(self, callbacks);
}

// Beast's own accept doesn't limit the header as a whole. A peer sends nothing behind its request before it
// has the response.
Task<ErrorCode> PeerConnection::acceptUpgrade(std::shared_ptr<PeerConnection> self) {
    auto& ws = self->stream_->ws;
    beast::flat_buffer buffer;
    limitReadBuffer(buffer, kMaxUpgradeHeaderBytes);
    BoundedParser<true, beast::http::empty_body> parser({kMaxUpgradeHeaderBytes});
    ErrorCode code;
    co_await beast::http::async_read(ws.next_layer(), buffer, parser, withErrorCode(code));
    if (!code && buffer.size() > 0) code = make_error_code(boost::system::errc::bad_message);
    if (!code) co_await ws.async_accept(parser.get(), withErrorCode(code));
    co_return code;
}

Task<> servePeerConnections(asio::io_context& io, tcp::acceptor& acceptor,
                            std::shared_ptr<PeerConnection::Callbacks> callbacks) {
    std::list<std::weak_ptr<PeerConnection>> withoutHello;
    while (acceptor.is_open()) {
        ErrorCode code;
        auto socket = co_await acceptor.async_accept(withErrorCode(code));
        if (code == asio::error::operation_aborted) co_return;
        if (code) {
            co_await sleep(kAcceptRetryDelay);
            continue;
        }
        auto connection = std::make_shared<PeerConnection>(io, "unnamed");
        connection->stream_ = std::make_shared<PeerConnection::Stream>(std::move(socket));
        if (callbacks->expectsHello) withoutHello.push_back(connection);
        spawn(io, "accept peer", PeerConnection::accept(std::move(connection), callbacks));
        while (countWithoutHello(withoutHello) >= kMaxConnectionsWithoutHello)
            co_await sleep(kAcceptRetryDelay);
    }
}

Dialer::Dialer(asio::io_context& io, std::string address,
               std::shared_ptr<PeerConnection::Callbacks> callbacks)
    : io_(io), address_(std::move(address)), callbacks_(std::move(callbacks)), retryRequested_(io) {}

void Dialer::start() { spawn(io_, "dial peer", run(shared_from_this())); }

void Dialer::stop() {
    stopped_ = true;
    if (connection_) connection_->close();
}

Task<> Dialer::run(std::shared_ptr<Dialer> self) {
    const auto endpoint = parseAddress(self->address_);
    Nanos backoff = kInitialDialBackoff;
    Nanos timeout = kInitialDialTimeout;
    while (!self->stopped_) {
        const auto connection = co_await dial(self, endpoint, timeout);
        if (connection) {
            backoff = kReconnectDelay;
            timeout = kInitialDialTimeout;
            self->connection_ = connection;
            co_await PeerConnection::run(connection, self->callbacks_);
        } else {
            timeout = std::min(timeout * 2, kDialTimeout);
        }
        if (!self->stopped_) co_await self->retryRequested_.wait(now() + backoff);
        backoff = std::min(backoff * 2, kMaxDialBackoff);
    }
}

// Returns null if the connection or handshake failed, or the dialer was stopped meanwhile.
Task<std::shared_ptr<PeerConnection>> Dialer::dial(std::shared_ptr<Dialer> self, tcp::endpoint endpoint,
                                                   Nanos timeout) {
    beast::tcp_stream stream(self->io_);
    stream.expires_after(toDuration(timeout));
    ErrorCode code;
    co_await stream.async_connect(endpoint, withErrorCode(code));
    if (code) co_return nullptr;
    auto connection = std::make_shared<PeerConnection>(self->io_, self->address_);
    connection->stream_ = std::make_shared<PeerConnection::Stream>(stream.release_socket());
    connection->stream_->setTimeout(kDialTimeout);
    co_await connection->stream_->ws.async_handshake(self->address_, "/", withErrorCode(code));
    if (code || self->stopped_) co_return nullptr;
    connection->stream_->clearTimeout();
    co_return connection;
}

}  // namespace lichenlanding::transport
