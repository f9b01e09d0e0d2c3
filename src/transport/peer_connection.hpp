/// A held connection between two processes of the gateway: messages (JSON values, carried as CBOR) both ways
/// over one WebSocket of Boost.Beast. It sends heartbeats by itself and is given up when the other side falls
/// silent: a machine without power or behind a cut says nothing at all.
///
/// Everything runs on the thread of its io_context. A PeerConnection is kept alive by its own coroutines
/// until it has ended; owners that keep it longer see open() false. It is never opened again: Dialer makes a
/// new one.
#pragma once

#include <any>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>

#include "transport/chunks.hpp"
#include "transport/event_loop.hpp"

namespace lichenlanding::transport {

using Json = nlohmann::json;

class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
  public:
    /// What an owner is told of its connections. All are called on the thread of the io_context.
    struct Callbacks {
        std::function<Json(PeerConnection&)> makeHello;               // the first message; may be null
        std::function<void(PeerConnection&, const Json&)> onMessage;  // each in order, but no heartbeat
        std::function<void(PeerConnection&)> onClosed;                // once, where makeHello was called
    };

    PeerConnection(asio::io_context& io, std::string peer);

    /// Queues a message. Nothing happens on a closed connection; a queue that grows too long closes it.
    void send(const Json& message);
    /// A message serialised once, to be sent on many connections.
    static EncodedMessage encode(const Json& message);
    void send(EncodedMessage encoded);
    /// At once: what is queued is dropped. onClosed is called later, by the connection's own coroutine.
    void close();
    /// From now on. The connection is given up after three and a half intervals of silence, so both sides
    /// have to set the same.
    void setHeartbeatInterval(Nanos interval) { heartbeatInterval_ = interval; }
    bool open() const { return open_; }
    std::size_t queuedBytes() const { return sendQueue_.bytes(); }  // of messages not yet written whole

    std::string peer;  // address, or the name that the other side has given; the owner may set it
    std::string kind;  // of the other side (messages/wire_names.hpp); set by the owner
    std::any data;     // the owner's

  private:
    friend class Dialer;
    friend Task<> servePeerConnections(asio::io_context& /*io*/, tcp::acceptor& /*acceptor*/,
                                       std::shared_ptr<PeerConnection::Callbacks> /*callbacks*/);
    // Coroutines are handed what keeps them: the first line of one may run after its object's end otherwise.
    static Task<> accept(asio::io_context& io, tcp::socket socket, std::shared_ptr<Callbacks> callbacks);
    static Task<> run(std::shared_ptr<PeerConnection> self, std::shared_ptr<Callbacks> callbacks);
    static Task<> readMessages(std::shared_ptr<PeerConnection> self, std::shared_ptr<Callbacks> callbacks);
    static Task<> write(std::shared_ptr<PeerConnection> self);
    static Task<> heartbeat(std::shared_ptr<PeerConnection> self);
    bool deliver(const Callbacks& callbacks, const Json& message);

    asio::io_context& io_;
    struct Stream;
    std::shared_ptr<Stream> stream_;
    SendQueue sendQueue_;
    bool open_ = false, writing_ = false;
    Nanos lastReceived_ = 0, lastSent_ = 0, heartbeatInterval_;
};

/// Takes connections as long as the acceptor is open.
Task<> servePeerConnections(asio::io_context& io, tcp::acceptor& acceptor,
                            std::shared_ptr<PeerConnection::Callbacks> callbacks);

/// Keeps one connection to an address: dials again after each end, with a pause that grows up to a second.
class Dialer : public std::enable_shared_from_this<Dialer> {
  public:
    Dialer(asio::io_context& io, std::string address, std::shared_ptr<PeerConnection::Callbacks> callbacks);
    /// Throws ParseError, to the log, where the address is none.
    void start();
    void stop();
    /// The other side has just been heard of, so it is up: no pause before the next dial.
    void retryNow() { pause_.notify(); }
    const std::string& address() const { return address_; }
    /// Null where there is none that is open.
    std::shared_ptr<PeerConnection> connection() const {
        return connection_ && connection_->open() ? connection_ : nullptr;
    }

  private:
    static Task<> run(std::shared_ptr<Dialer> self);
    static Task<std::shared_ptr<PeerConnection>> dial(std::shared_ptr<Dialer> self, tcp::endpoint to,
                                                      Nanos timeout);

    asio::io_context& io_;
    std::string address_;
    std::shared_ptr<PeerConnection::Callbacks> callbacks_;
    std::shared_ptr<PeerConnection> connection_;
    AsyncEvent pause_;
    bool stopped_ = false;
};

}  // namespace lichenlanding::transport
