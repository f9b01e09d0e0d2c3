// A held connection between two sidecars of the gateway: messages (JSON values, carried as CBOR) both ways
// over one WebSocket of Boost.Beast. It beats by itself and is given up when the other side falls silent:
// a machine without power or behind a cut says nothing at all.
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
    // What is told of a link. `heard` never gets a beat.
    struct Callbacks {
        std::function<Json(PeerConnection&)> makeHello;               // the first message; may be null
        std::function<void(PeerConnection&, const Json&)> onMessage;  // each message, in order
        std::function<void(PeerConnection&)> onClosed;                // once, after opened
    };

    PeerConnection(asio::io_context& io, std::string peer);

    void send(const Json& message);
    // Serialised once for many links.
    static EncodedMessage encode(const Json& message);
    void send(EncodedMessage encoded);
    void close();
    // Beats so often from now on, and takes three and a half beats of silence for the end. Both sides set it.
    void setHeartbeatInterval(Nanos interval) { heartbeatInterval_ = interval; }
    bool open() const { return open_; }
    std::size_t queuedBytes() const { return sendQueue_.bytes(); }  // of messages not yet written

    std::string peer;  // address, or the name it has given
    std::string kind;  // "proxy", "control node"; set by the owner
    std::any data;     // the owner's

  private:
    friend class Dialer;
    friend Task<> servePeerConnections(asio::io_context&, tcp::acceptor&,
                                       std::shared_ptr<PeerConnection::Callbacks>);
    static Task<> accept(asio::io_context& io, tcp::socket socket, std::shared_ptr<Callbacks> callbacks);
    // Each is handed what keeps it: a coroutine's own first line may come after its object's end.
    static Task<> run(std::shared_ptr<PeerConnection> self,
                      std::shared_ptr<Callbacks> callbacks);  // an open WebSocket, to its end
    static Task<> write(std::shared_ptr<PeerConnection> self);
    static Task<> heartbeat(std::shared_ptr<PeerConnection> self);

    asio::io_context& io_;
    struct Stream;
    std::shared_ptr<Stream> stream_;
    SendQueue sendQueue_;
    bool open_ = false, writing_ = false;
    Nanos lastReceived_ = 0, lastSent_ = 0, heartbeatInterval_;
};

// Takes links as long as the acceptor is open.
Task<> servePeerConnections(asio::io_context& io, tcp::acceptor& acceptor,
                            std::shared_ptr<PeerConnection::Callbacks> callbacks);

// Keeps one link to an address: dials again after each end, with a pause that grows up to a second.
class Dialer : public std::enable_shared_from_this<Dialer> {
  public:
    Dialer(asio::io_context& io, std::string address, std::shared_ptr<PeerConnection::Callbacks> callbacks);
    void start();
    void stop();
    // The other side has just been heard of, so it is up: no pause before the next dial.
    void retryNow() { pause_.notify(); }
    const std::string& address() const { return address_; }
    std::shared_ptr<PeerConnection> connection() const {
        return connection_ && connection_->open() ? connection_ : nullptr;
    }

  private:
    static Task<> run(std::shared_ptr<Dialer> self);
    asio::io_context& io_;
    std::string address_;
    std::shared_ptr<PeerConnection::Callbacks> callbacks_;
    std::shared_ptr<PeerConnection> connection_;
    AsyncEvent pause_;
    bool stopped_ = false;
};

}  // namespace lichenlanding::transport
