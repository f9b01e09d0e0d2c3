/// A persistent connection between two processes of the gateway. It exchanges messages (JSON values, encoded
/// as CBOR) over a Boost.Beast WebSocket. It sends heartbeats and closes when nothing is received for too
/// long: a machine that lost power or is partitioned does not close its connections.
///
/// Runs on the thread of its io_context. The connection's own coroutines keep it alive until it is closed.
/// After that open() is false for good; Dialer creates a new connection.
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
    /// The owner's callbacks, called on the thread of the io_context.
    struct Callbacks {
        std::function<Json(PeerConnection&)> makeHello;  // returns the first message to send, or null
        std::function<void(PeerConnection&, const Json&)> onMessage;  // in order; not for heartbeats
        std::function<void(PeerConnection&)> onClosed;                // once, if makeHello was called
        /// Whether the owner sets PeerConnection::kind at the first message. Then the number, the time and
        /// the messages of accepted connections without a kind are limited.
        bool expectsHello = false;
    };

    PeerConnection(asio::io_context& io, std::string peer);

    /// Queues a message. No effect on a closed connection. Closes the connection if the queue exceeds its
    /// limit.
    void send(const Json& message);
    /// Serialises a message once, for sending on many connections.
    static EncodedMessage encode(const Json& message);
    void send(EncodedMessage encoded);
    /// Closes immediately and drops queued messages. onClosed is called later, by the connection's coroutine.
    void close();
    /// Applies from the next heartbeat. The connection is closed if nothing is received for three and a half
    /// intervals, so both sides must use the same interval.
    void setHeartbeatInterval(Nanos interval) { heartbeatInterval_ = interval; }
    bool open() const { return open_; }
    std::size_t queuedBytes() const { return sendQueue_.bytes(); }  // of messages not yet completely written

    std::string peer;  // for logs: the address, or the peer's name once the owner has set it
    std::string kind;  // kind of the peer process (messages/wire_names.hpp); set by the owner
    std::any data;     // at the owner's disposal

  private:
    friend class Dialer;
    friend Task<> servePeerConnections(asio::io_context& /*io*/, tcp::acceptor& /*acceptor*/,
                                       std::shared_ptr<PeerConnection::Callbacks> /*callbacks*/);
    // The coroutines are static and take a shared_ptr: a member coroutine might start only after its object
    // is destroyed.
    static Task<> accept(std::shared_ptr<PeerConnection> self, std::shared_ptr<Callbacks> callbacks);
    static Task<ErrorCode> acceptUpgrade(std::shared_ptr<PeerConnection> self);
    static Task<> run(std::shared_ptr<PeerConnection> self, std::shared_ptr<Callbacks> callbacks);
    static Task<> readMessages(std::shared_ptr<PeerConnection> self, std::shared_ptr<Callbacks> callbacks);
    static Task<> write(std::shared_ptr<PeerConnection> self);
    static Task<> heartbeat(std::shared_ptr<PeerConnection> self);
    bool deliver(const Callbacks& callbacks, const Json& message);
    bool awaitsHello() const { return helloDeadline_ > 0 && kind.empty(); }

    asio::io_context& io_;
    struct Stream;
    std::shared_ptr<Stream> stream_;
    SendQueue sendQueue_;
    bool open_ = false, writing_ = false;
    Nanos lastReceived_ = 0, lastSent_ = 0, heartbeatInterval_;
    Nanos helloDeadline_ = 0;  // 0: none
};

/// Accepts connections until the acceptor is closed.
Task<> servePeerConnections(asio::io_context& io, tcp::acceptor& acceptor,
                            std::shared_ptr<PeerConnection::Callbacks> callbacks);

/// Maintains one connection to an address: reconnects after each close, with exponential backoff up to 800
/// ms.
class Dialer : public std::enable_shared_from_this<Dialer> {
  public:
    Dialer(asio::io_context& io, std::string address, std::shared_ptr<PeerConnection::Callbacks> callbacks);
    /// Starts connecting. An invalid address is only logged, as task_failed.
    void start();
    void stop();
    /// Skips the current backoff. To be called when there is evidence that the peer is up.
    void retryNow() { retryRequested_.notify(); }
    const std::string& address() const { return address_; }
    /// Null if there is no open connection.
    std::shared_ptr<PeerConnection> connection() const {
        return connection_ && connection_->open() ? connection_ : nullptr;
    }

  private:
    static Task<> run(std::shared_ptr<Dialer> self);
    static Task<std::shared_ptr<PeerConnection>> dial(std::shared_ptr<Dialer> self, tcp::endpoint endpoint,
                                                      Nanos timeout);

    asio::io_context& io_;
    std::string address_;
    std::shared_ptr<PeerConnection::Callbacks> callbacks_;
    std::shared_ptr<PeerConnection> connection_;
    AsyncEvent retryRequested_;
    bool stopped_ = false;
};

}  // namespace lichenlanding::transport
