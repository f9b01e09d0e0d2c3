#include "sidecar/http_server.hpp"

#include <arpa/inet.h>
#include <event2/keyvalq_struct.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <cstring>
#include <stdexcept>

#include "sidecar/messages.hpp"

namespace lichenlanding::net {
namespace {

constexpr Nanos lookEvery = 20'000'000;
constexpr Nanos silentSoon = 200'000'000;     // a client with a hit to send has said something by then
constexpr Nanos wholeWithin = 2'400'000'000;  // a request, from the connection's start or its own first byte
constexpr std::size_t longestHead = 16 * 1024;
constexpr std::size_t aheadAtMost = 4 * 1024;  // read of what a client sends before it has its answer
constexpr auto everyMethod = 0xffff;           // wrong ones are answered here, not by evhttp

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

bool Caller::begin(const std::string& type, Nanos retryAfter) {
    if (std::exchange(answered_, true)) return false;
    if (connection_) front_.answered(*front_.held(connection_));
    auto* headers = evhttp_request_get_output_headers(request_);
    evhttp_add_header(headers, "Content-Type", type.empty() ? "application/octet-stream" : type.c_str());
    if (retryAfter > 0) {
        char seconds[32];
        std::snprintf(seconds, sizeof seconds, "%.3f", static_cast<double>(retryAfter) / 1e9);
        evhttp_add_header(headers, "Retry-After", seconds);
    }
    if (front_.closing_ || last_) evhttp_add_header(headers, "Connection", "close");
    return true;
}

void Caller::answer(int code, const std::string& body, const std::string& type, Nanos retryAfter) {
    if (!begin(type, retryAfter)) return;
    auto* output = evhttp_request_get_output_buffer(request_);
    if (!body.empty()) evbuffer_add(output, body.data(), body.size());
    evhttp_send_reply(request_, code, nullptr, nullptr);  // frees the request if the client has left
}

void Caller::answer(int code, std::shared_ptr<const std::string> body, const std::string& type) {
    if (!begin(type, 0)) return;
    auto* held = new std::shared_ptr<const std::string>(std::move(body));
    evbuffer_add_reference(
        evhttp_request_get_output_buffer(request_), (*held)->data(), (*held)->size(),
        [](const void*, std::size_t, void* holder) {
            delete static_cast<std::shared_ptr<const std::string>*>(holder);
        },
        held);
    evhttp_send_reply(request_, code, nullptr, nullptr);
}

void Caller::refuse(int code) {
    last_ = true;
    answer(code);
}

void Caller::left() {
    connection_ = nullptr;
    if (answered_) return;
    if (const auto gone = std::exchange(gone_, nullptr)) gone();
}

Front::Front(Loop& loop, const Address& listen, std::size_t connectionsAtEase, std::size_t connectionsAtMost,
             Took took, std::function<bool()> ready)
    : loop_(loop),
      took_(std::move(took)),
      ready_(std::move(ready)),
      ease_(connectionsAtEase),
      most_(connectionsAtMost),
      server_(evhttp_new(loop.base())),
      look_(loop, [this] { look(); }) {
    if (!server_) throw std::runtime_error("cannot make a server");
    evhttp_set_max_body_size(server_.get(), longestBody);
    evhttp_set_max_headers_size(server_.get(), longestHead);
    evhttp_set_allowed_methods(server_.get(), everyMethod);
    evhttp_set_gencb(
        server_.get(),
        [](evhttp_request* request, void* self) {
            guarded([&] { static_cast<Front*>(self)->request(request); });
        },
        this);
    evhttp_set_bevcb(
        server_.get(),
        [](event_base* base, void* context) {
            auto* stream = bufferevent_socket_new(base, -1, 0);
            auto& self = *static_cast<Front*>(context);
            if (!stream) return stream;
            bufferevent_incref(stream);
            guarded([&] { self.loop_.later([&self, stream] { self.joined(stream); }); });
            return stream;
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
    // Guards against a loop that spins on accept() while descriptors have run out; look() lets it accept
    // again. The listener is evhttp's, and so is what this is called with: it is no Front.
    evconnlistener_set_error_cb(listener_, [](evconnlistener* listener, void*) {
        evconnlistener_disable(listener);
        guarded(
            [] { log(Kind::overload, "cannot accept a connection: " + std::string(std::strerror(errno))); });
    });
    look_.in(lookEvery);
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

// evhttp has just accepted a connection, which it tells nobody; it is the argument of its own callbacks.
void Front::joined(bufferevent* stream) {
    void* context = nullptr;
    bufferevent_getcb(stream, nullptr, nullptr, nullptr, &context);
    const bool freed = bufferevent_decref(stream);
    auto* connection = static_cast<evhttp_connection*>(context);
    if (freed || !connection) return;
    if (clients_.size() >= ease_ && !makeRoom() && clients_.size() >= most_) {
        log(Kind::overload, std::to_string(clients_.size()) + " connections of clients: no more are taken");
        return evhttp_connection_free(connection);
    }
    const auto at = clients_.insert(clients_.end(), {*this, connection, loop_.now()});
    found_.emplace(connection, at);
    evbuffer_add_cb(bufferevent_get_input(stream), came, &*at);
    evhttp_connection_set_closecb(
        connection,
        [](evhttp_connection*, void* context) {
            auto& client = *static_cast<Client*>(context);
            guarded([&] { client.front.gone(client); });
        },
        &*at);
}

void Front::request(evhttp_request* request) {
    auto caller = std::make_unique<Caller>(*this, request);
    bool whole = readable(request);
    if (caller->connection_) {
        auto& client = *held(caller->connection_);
        auto* stream = evhttp_connection_get_bufferevent(client.connection);
        // A client sends one request at a time: what lies behind it belongs to it, and its length is wrong.
        whole = whole && evbuffer_get_length(bufferevent_get_input(stream)) == 0;
        client.caller = caller.get();
        client.reading = false;
        marks(client);
        watchForLeaving(client);
    }
    if (!whole) return caller->refuse(400);
    const auto* path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request));
    if (path && std::string_view(path) == paths::ready)
        return caller->answer(ready_() && !closing_ ? 200 : 503);
    took_(std::move(caller));
}

// What evhttp lets pass, though it can be read in two ways: two lengths, a length and chunks (the body may
// hide another request), a body where the method has none, names and values that no pod could read.
bool Front::readable(evhttp_request* request) {
    const auto* uri = evhttp_request_get_uri(request);
    if (!uri || *uri != '/' || !evhttp_request_get_evhttp_uri(request)) return false;  // broken HTTP
    for (const auto* letter = uri; *letter; ++letter)
        if (*letter <= ' ' || *letter == 127) return false;
    int framings = 0;
    const auto same = [](const evkeyval& one, const char* name) {
        return evutil_ascii_strcasecmp(one.key, name) == 0;
    };
    const auto* headers = evhttp_request_get_input_headers(request);
    for (const auto* one = headers->tqh_first; one; one = one->next.tqe_next) {
        if (!readableName(one->key) || !readableValue(one->value)) return false;
        for (const auto* other = one->next.tqe_next; other; other = other->next.tqe_next)
            if (same(*one, other->key) && meantOnce(one->key)) return false;
        const bool length = same(*one, "Content-Length"), chunks = same(*one, "Transfer-Encoding");
        framings += length || chunks;
        if (length && !readableLength(one->value)) return false;
        if (chunks && evutil_ascii_strcasecmp(one->value, "chunked") != 0) return false;
    }
    const bool bodiless = evhttp_request_get_command(request) != EVHTTP_REQ_POST;
    const auto* length = evhttp_find_header(headers, "Content-Length");
    return framings == 0 || (framings == 1 && (!bodiless || (length && std::string_view(length) == "0")));
}

Front::Clients::iterator Front::held(evhttp_connection* connection) { return found_.at(connection); }

void Front::answered(Client& client) {
    auto* stream = evhttp_connection_get_bufferevent(client.connection);
    client.caller = nullptr;
    client.reading = evbuffer_get_length(bufferevent_get_input(stream)) > 0;
    bufferevent_setwatermark(stream, EV_READ, 0, 0);
    marks(client);
}

void Front::marks(Client& client) {
    client.since = loop_.now();
    clients_.splice(clients_.end(), clients_, held(client.connection));
}

void Front::came(evbuffer*, const evbuffer_cb_info* info, void* client) {
    auto& from = *static_cast<Client*>(client);
    if (info->n_added == 0 || from.reading) return;
    from.reading = true;
    // Its time to send a request counts from its first byte, but the first one's from the connection's start.
    if (!std::exchange(from.silent, false) && !from.caller) from.front.marks(from);
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
    bufferevent_setwatermark(stream, EV_READ, 0, aheadAtMost);
    bufferevent_enable(stream, EV_READ);
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

void Front::closeAfterAnswers() { closing_ = true; }

// Between hits, with nothing unread on it, nor part of a hit read by evhttp: what a client is writing may be
// whole by the time a close reaches it.
bool Front::idle(const Client& client) const {
    auto* stream = evhttp_connection_get_bufferevent(client.connection);
    int unread = 0;
    return !client.caller && !client.reading && ioctl(bufferevent_getfd(stream), FIONREAD, &unread) == 0 &&
           unread == 0 && evbuffer_get_length(bufferevent_get_output(stream)) == 0;
}

// For a new connection one makes room that nobody misses: first the longest silent of those that have never
// said a word, then the longest idle. Guards against clients that connect and say nothing, and against those
// that ask once and stay. Harm: a client that comes back later connects anew.
bool Front::makeRoom() {
    const auto now = loop_.now();
    auto pick = std::find_if(clients_.begin(), clients_.end(), [&](auto& client) {
        return client.silent && now - client.since > silentSoon && idle(client);
    });
    if (pick == clients_.end())
        pick = std::find_if(clients_.begin(), clients_.end(), [&](auto& client) { return idle(client); });
    if (pick == clients_.end()) return false;
    evhttp_connection_free(pick->connection);
    return true;
}

void Front::look() {
    look_.in(lookEvery);
    evconnlistener_enable(listener_);
    const auto now = loop_.now();
    std::vector<evhttp_connection*> over;
    for (auto& client : clients_) {
        // While closing, a client that does not read its answer must not hold the process either.
        const bool unfinished = !client.caller && (client.silent || client.reading || closing_);
        if ((unfinished && now - client.since > wholeWithin) || (closing_ && idle(client)))
            over.push_back(client.connection);
    }
    for (auto* connection : over) evhttp_connection_free(connection);
}

bool Front::anyWaiting() const {
    pollfd waiting{evconnlistener_get_fd(listener_), POLLIN, 0};
    return poll(&waiting, 1, 0) > 0;
}

}  // namespace lichenlanding::net
