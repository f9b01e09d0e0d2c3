#include "net/front.hpp"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>

#include <cstring>
#include <stdexcept>

#include "net/messages.hpp"

namespace lichenlanding::net {
namespace {

constexpr Nanos acceptAgain = 10'000'000;  // after descriptors ran out
constexpr Nanos lookAtIdle = 20'000'000;   // while closing
constexpr auto everyMethod = 0xffff;       // wrong ones are answered here, not by evhttp

}  // namespace

Caller::Caller(Front& front, evhttp_request* request)
    : front_(front), request_(request), connection_(evhttp_request_get_connection(request)) {
    auto* input = evhttp_request_get_input_buffer(request);
    body_.resize(evbuffer_get_length(input));
    evbuffer_remove(input, body_.data(), body_.size());
}

Caller::~Caller() {
    gone_ = nullptr;
    answer(500);
}

std::optional<std::string> Caller::header(const char* name) const {
    const auto* value = evhttp_find_header(evhttp_request_get_input_headers(request_), name);
    if (!value || !*value) return {};
    return value;
}

void Caller::answer(int code, const std::string& body, const std::string& type, Nanos retryAfter) {
    if (std::exchange(answered_, true)) return;
    if (connection_) front_.client(connection_).caller = nullptr;
    auto* headers = evhttp_request_get_output_headers(request_);
    evhttp_add_header(headers, "Content-Type", type.empty() ? "application/octet-stream" : type.c_str());
    if (retryAfter > 0) {
        char seconds[32];
        std::snprintf(seconds, sizeof seconds, "%.3f", static_cast<double>(retryAfter) / 1e9);
        evhttp_add_header(headers, "Retry-After", seconds);
    }
    // A table of descriptors that is nearly full is relieved of a connection, and so is a sidecar that stops.
    auto* stream = connection_ ? evhttp_connection_get_bufferevent(connection_) : nullptr;
    if (front_.closing_ || (stream && bufferevent_getfd(stream) >= front_.descriptors_ * 3 / 4))
        evhttp_add_header(headers, "Connection", "close");
    auto* output = evhttp_request_get_output_buffer(request_);
    if (!body.empty()) evbuffer_add(output, body.data(), body.size());
    evhttp_send_reply(request_, code, nullptr, nullptr);  // frees the request if the client has left
}

void Caller::left() {
    connection_ = nullptr;
    if (answered_) return;
    if (const auto gone = std::exchange(gone_, nullptr)) gone();
}

Front::Front(Loop& loop, const Address& listen, int descriptors, Took took, std::function<bool()> ready)
    : loop_(loop),
      took_(std::move(took)),
      ready_(std::move(ready)),
      descriptors_(descriptors),
      server_(evhttp_new(loop.base())),
      accept_(loop,
              [this] {
                  if (listener_) evconnlistener_enable(listener_);
              }),
      idle_(loop, [this] { closeIdle(); }) {
    if (!server_) throw std::runtime_error("cannot make a server");
    evhttp_set_max_body_size(server_.get(), longestBody);
    evhttp_set_max_headers_size(server_.get(), longestBody);
    evhttp_set_allowed_methods(server_.get(), everyMethod);
    evhttp_set_gencb(
        server_.get(),
        [](evhttp_request* request, void* self) {
            guarded([&] { static_cast<Front*>(self)->request(request); });
        },
        this);
    sockaddr_in where{};
    where.sin_family = AF_INET;
    where.sin_port = htons(listen.port);
    inet_pton(AF_INET, listen.host.c_str(), &where.sin_addr);
    listener_ = evconnlistener_new_bind(loop.base(), nullptr, nullptr,
                                        LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC,
                                        SOMAXCONN, reinterpret_cast<sockaddr*>(&where), sizeof where);
    if (!listener_)
        throw std::runtime_error("cannot listen on " + listen.text() + ": " + std::strerror(errno));
    const int on = 1;  // accepted connections inherit it
    setsockopt(evconnlistener_get_fd(listener_), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    evhttp_bind_listener(server_.get(), listener_);
    // Guards against a loop that spins on accept() while descriptors have run out.
    evconnlistener_set_error_cb(listener_, [](evconnlistener* listener, void* self) {
        evconnlistener_disable(listener);
        static_cast<Front*>(self)->accept_.in(acceptAgain);
        guarded(
            [] { log(Kind::overload, "cannot accept a connection: " + std::string(std::strerror(errno))); });
    });
}

Front::~Front() {
    while (!clients_.empty()) {
        auto& client = clients_.front();
        evhttp_connection_set_closecb(client.connection, nullptr, nullptr);
        gone(client);
    }
}

Address Front::address() const {
    sockaddr_in where{};
    socklen_t size = sizeof where;
    getsockname(evconnlistener_get_fd(listener_), reinterpret_cast<sockaddr*>(&where), &size);
    char host[INET_ADDRSTRLEN];
    inet_ntop(AF_INET, &where.sin_addr, host, sizeof host);
    return {host, ntohs(where.sin_port)};
}

void Front::request(evhttp_request* request) {
    auto caller = std::make_unique<Caller>(*this, request);
    auto* connection = caller->connection_;
    if (connection) {
        auto& client = this->client(connection);
        client.caller = caller.get();
        client.reading = false;
        watchForLeaving(client);
    }
    if (!evhttp_request_get_uri(request)) return caller->answer(400);  // broken HTTP
    const auto* uri = evhttp_request_get_evhttp_uri(request);
    const auto* path = uri ? evhttp_uri_get_path(uri) : nullptr;
    if (path && std::string_view(path) == paths::ready)
        return caller->answer(ready_() && !closing_ ? 200 : 503);
    took_(std::move(caller));
}

Front::Client& Front::client(evhttp_connection* connection) {
    auto [held, fresh] = found_.try_emplace(connection);
    if (fresh) {
        held->second = clients_.insert(clients_.end(), {*this, connection});
        auto* stream = evhttp_connection_get_bufferevent(connection);
        evbuffer_add_cb(bufferevent_get_input(stream), came, &*held->second);
    }
    return *held->second;
}

void Front::came(evbuffer*, const evbuffer_cb_info* info, void* client) {
    if (info->n_added > 0) static_cast<Client*>(client)->reading = true;
}

// While a hit is open its connection is still read, so that a client's leaving is seen; evhttp's own reader
// would end the program over bytes that come then (a client that does not wait for its answer).
void Front::watchForLeaving(Client& client) {
    auto* stream = evhttp_connection_get_bufferevent(client.connection);
    bufferevent_data_cb write = nullptr;
    bufferevent_event_cb happened = nullptr;
    void* context = nullptr;
    bufferevent_getcb(stream, nullptr, &write, &happened, &context);
    bufferevent_setcb(stream, nullptr, write, happened, context);
    bufferevent_setwatermark(stream, EV_READ, 0, 2 * longestBody);
    bufferevent_enable(stream, EV_READ);
    evhttp_connection_set_closecb(
        client.connection,
        [](evhttp_connection*, void* context) {
            auto& client = *static_cast<Client*>(context);
            guarded([&] { client.front.gone(client); });
        },
        &client);
}

void Front::gone(Client& client) {
    auto* caller = client.caller;
    const auto found = found_.find(client.connection);
    auto* stream = evhttp_connection_get_bufferevent(client.connection);
    evbuffer_remove_cb(bufferevent_get_input(stream), came, &client);
    clients_.erase(found->second);
    found_.erase(found);
    if (caller) caller->left();
}

void Front::closeAfterAnswers() {
    closing_ = true;
    closeIdle();
}

// A connection between hits is closed only if nothing lies unread on it, nor part of a hit read by evhttp:
// what a client is writing may be whole by the time the close reaches it.
void Front::closeIdle() {
    std::vector<evhttp_connection*> idle;
    for (auto& client : clients_) {
        auto* stream = evhttp_connection_get_bufferevent(client.connection);
        int unread = 0;
        if (client.caller || client.reading || ioctl(bufferevent_getfd(stream), FIONREAD, &unread) != 0 ||
            unread > 0)
            continue;
        if (evbuffer_get_length(bufferevent_get_input(stream)) == 0 &&
            evbuffer_get_length(bufferevent_get_output(stream)) == 0)
            idle.push_back(client.connection);
    }
    for (auto* connection : idle) evhttp_connection_free(connection);
    idle_.in(lookAtIdle);
}

void Front::closeDoor() {
    if (listener_) evconnlistener_disable(listener_);
}

bool Front::anyWaiting() const {
    pollfd waiting{evconnlistener_get_fd(listener_), POLLIN, 0};
    return poll(&waiting, 1, 0) > 0;
}

}  // namespace lichenlanding::net
