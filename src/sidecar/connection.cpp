#include "sidecar/connection.hpp"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <unistd.h>

#include <cerrno>
#include <stdexcept>
#include <utility>

#include "sidecar/messages.hpp"
#include "text.hpp"

namespace lichenlanding::sidecar {
namespace {

const char* methodName(evhttp_cmd_type method) {
    if (method == EVHTTP_REQ_GET) return "GET";
    return method == EVHTTP_REQ_POST ? "POST" : "DELETE";
}

}  // namespace

Address parseAddress(std::string_view text) {
    const auto colon = text.rfind(':');
    Address address{std::string(text.substr(0, colon)), 0};
    in_addr parsed{};
    if (colon == std::string_view::npos || !parse(text.substr(colon + 1), address.port) ||
        address.port == 0 || inet_pton(AF_INET, address.host.c_str(), &parsed) != 1)
        throw std::invalid_argument("not an IPv4 address with a port: " + std::string(text.substr(0, 60)));
    return address;
}

Connection::Connection(EventLoop& loop, Address address, std::size_t maxBodyBytes)
    : loop_(loop),
      address_(std::move(address)),
      maxBodyBytes_(maxBodyBytes),
      connectTimer_(loop,
                    [this] {
                        if (!connected_) closeWith(CallResult::connectTimeout);
                    }),
      responseTimer_(loop, [this] { closeWith(CallResult::timedOut); }) {}

// The socket is created here because libevent reports a lack of file descriptors like a refused connection.
bool Connection::connect() {
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0) return false;
    stream_.reset(bufferevent_socket_new(loop_.base(), descriptor, BEV_OPT_CLOSE_ON_FREE));
    if (!stream_) {
        close(descriptor);
        return false;
    }
    openStream(descriptor);
    return true;
}

void Connection::openStream(int descriptor) {
    const int enable = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enable, sizeof enable);
    bufferevent_setcb(
        stream_.get(),
        [](bufferevent*, void* self) {
            logExceptions([&] { static_cast<Connection*>(self)->onReadable(); });
        },
        nullptr,
        [](bufferevent*, short events, void* self) {
            logExceptions([&] { static_cast<Connection*>(self)->onEvent(events); });
        },
        this);
    bufferevent_enable(stream_.get(), EV_READ | EV_WRITE);
    sockaddr_in remote{};
    remote.sin_family = AF_INET;
    remote.sin_port = htons(address_.port);
    inet_pton(AF_INET, address_.host.c_str(), &remote.sin_addr);
    if (::connect(descriptor, reinterpret_cast<sockaddr*>(&remote), sizeof remote) != 0 &&
        errno != EINPROGRESS)
        loop_.post([this, alive = std::weak_ptr<char>(lifetime_)] {
            if (!alive.expired() && !connected_) onEvent(BEV_EVENT_ERROR);
        });
    else bufferevent_socket_connect(stream_.get(), nullptr, 0);
}

void Connection::call(const HttpRequest& request, Nanos connectTimeout, Nanos timeout, ResponseHandler onDone,
                      BodyHandler onBody, ResponseParser::Framing framing) {
    onDone_ = std::move(onDone);
    parser_ = ResponseParser(maxBodyBytes_, std::move(onBody), framing);
    if (!stream_ && !connect())
        return loop_.post([this, alive = std::weak_ptr<char>(lifetime_)] {
            if (!alive.expired()) closeWith(CallResult::noDescriptor);
        });
    write(request);
    if (!connected_) connectTimer_.start(connectTimeout);
    if (timeout > 0) responseTimer_.start(timeout);
}

void Connection::write(const HttpRequest& request) {
    std::string bytes = std::string(methodName(request.method)) + " " + request.path + " HTTP/1.1\r\n";
    for (const auto& [name, value] : request.headers) bytes += name + ": " + value + "\r\n";
    if (request.method != EVHTTP_REQ_GET || !request.body.empty())
        bytes += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    bytes += "\r\n" + request.body;
    evbuffer_add(bufferevent_get_output(stream_.get()), bytes.data(), bytes.size());
}

bool Connection::reusable() const {
    if (!usable_ || !stream_) return false;
    char first;
    return recv(bufferevent_getfd(stream_.get()), &first, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
           (errno == EAGAIN || errno == EWOULDBLOCK);
}

void Connection::closeWith(CallResult result) {
    usable_ = false;
    releaseStream();
    if (onDone_) finish({result});
}

void Connection::discard() {
    loop_.releaseLater(std::make_shared<ResponseHandler>(std::exchange(onDone_, nullptr)));
    closeWith(CallResult::cancelled);
    connectTimer_.stop();
    responseTimer_.stop();
}

// libevent keeps the stream alive while one of its callbacks runs.
void Connection::releaseStream() {
    if (stream_) bufferevent_setcb(stream_.get(), nullptr, nullptr, nullptr, nullptr);
    stream_.reset();
}

// A request whose last byte was not written was not executed; after that it may have been.
bool Connection::allWritten() const {
    return evbuffer_get_length(bufferevent_get_output(stream_.get())) == 0;
}

void Connection::onReadable() {
    if (!onDone_) {  // unexpected bytes are not part of the next call's response
        usable_ = false;
        if (onClose_) onClose_();
        return;
    }
    auto* input = bufferevent_get_input(stream_.get());
    const auto state = parser_.consume(input);
    if (!onDone_ || state == ResponseParser::State::incomplete) return;  // onBody may have ended the call
    if (state == ResponseParser::State::malformed) return closeWith(CallResult::malformedResponse);
    // After bytes that follow a response, or a response that precedes the end of the request, the connection
    // cannot be reused.
    const bool clean = allWritten() && evbuffer_get_length(input) == 0;
    if (parser_.closesConnection || !clean || !reusable()) usable_ = false;
    finish(takeResponse());
}

void Connection::onEvent(short events) {
    if (events & BEV_EVENT_CONNECTED) {
        connected_ = true;
        return connectTimer_.stop();
    }
    usable_ = false;
    const bool ended = connected_ && (events & BEV_EVENT_EOF);
    if (onDone_ && ended && parser_.stateAtClose() == ResponseParser::State::complete)
        return finish(takeResponse());
    if (onDone_) {
        if (!connected_) return closeWith(CallResult::connectionRefused);
        return closeWith(allWritten() ? CallResult::resetAfterSent : CallResult::resetBeforeSent);
    }
    if (onClose_) onClose_();
}

CallResponse Connection::takeResponse() {
    return {resultOfResponse(parser_.statusCode, parser_.rejected),
            parser_.statusCode,
            std::move(parser_.body),
            std::move(parser_.contentType),
            std::move(parser_.loadReport),
            parser_.retryAfter};
}

void Connection::finish(CallResponse response) {
    connectTimer_.stop();
    responseTimer_.stop();
    const auto onDone = std::exchange(onDone_, nullptr);
    onDone(std::move(response));
}

}  // namespace lichenlanding::sidecar
