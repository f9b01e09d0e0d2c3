#include "net/connection.hpp"

#include <arpa/inet.h>
#include <netinet/tcp.h>

#include <cerrno>
#include <stdexcept>

#include "net/messages.hpp"
#include "text.hpp"

namespace lichenlanding::net {

Address readAddress(std::string_view text) {
    const auto colon = text.rfind(':');
    Address address{std::string(text.substr(0, colon)), 0};
    in_addr parsed{};
    if (colon == text.npos || !parse(text.substr(colon + 1), address.port) || address.port == 0 ||
        inet_pton(AF_INET, address.host.c_str(), &parsed) != 1)
        throw std::invalid_argument("not an address: " + std::string(text.substr(0, 60)));
    return address;
}

Connection::Connection(Loop& loop, const Address& address, std::size_t longestBody)
    : loop_(loop),
      address_(address),
      connection_(evhttp_connection_base_bufferevent_new(loop.base(), nullptr, nullptr, address.host.c_str(),
                                                         address.port)),
      connectTimer_(loop,
                    [this] {
                        if (!connected_) end(Ending::neverUp);
                    }),
      timer_(loop, [this] { end(Ending::timedOut); }) {
    if (!connection_) throw std::runtime_error("cannot make a connection");
    // Whether a call's last byte was written decides between 'never ran' and 'may have run', and evhttp does
    // not tell. Its output buffer does: it fills once the connection is up and is empty once all is written.
    // A reset empties it too, but by then the descriptor is gone.
    const auto watch = [](evbuffer* output, const evbuffer_cb_info* info, void* context) {
        auto& self = *static_cast<Connection*>(context);
        auto* stream = evhttp_connection_get_bufferevent(self.connection_.get());
        if (!self.done_ || bufferevent_getfd(stream) < 0) return;
        if (info->n_added > 0 && !self.connected_) {
            self.connected_ = true;
            self.connectTimer_.stop();
            const int on = 1;
            setsockopt(bufferevent_getfd(stream), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        }
        if (info->n_deleted > 0 && evbuffer_get_length(output) == 0) self.written_ = true;
    };
    auto* stream = evhttp_connection_get_bufferevent(connection_.get());
    watch_ = evbuffer_add_cb(bufferevent_get_output(stream), watch, this);
    if (!watch_) throw std::runtime_error("cannot watch a connection");
    evhttp_connection_set_max_body_size(connection_.get(), static_cast<ev_ssize_t>(longestBody));
    evhttp_connection_set_closecb(
        connection_.get(),
        [](evhttp_connection*, void* context) {
            auto& self = *static_cast<Connection*>(context);
            self.alive_ = false;
            if (!self.done_ && self.closed_) guarded(self.closed_);
        },
        this);
}

void Connection::call(const Call& call, Nanos connectWithin, Nanos within, Done done, Piece piece) {
    done_ = std::move(done);
    piece_ = std::move(piece);
    written_ = garbled_ = false;
    auto* request = evhttp_request_new(
        [](evhttp_request* answer, void* context) {
            guarded([&] { static_cast<Connection*>(context)->answered(answer); });
        },
        this);
    if (!request) throw std::runtime_error("cannot make a request");
    evhttp_request_set_error_cb(request, [](evhttp_request_error error, void* context) {
        static_cast<Connection*>(context)->garbled_ =
            error == EVREQ_HTTP_INVALID_HEADER || error == EVREQ_HTTP_DATA_TOO_LONG;
    });
    if (piece_)
        evhttp_request_set_chunked_cb(request, [](evhttp_request* answer, void* context) {
            auto& self = *static_cast<Connection*>(context);
            auto* input = evhttp_request_get_input_buffer(answer);
            const auto length = evbuffer_get_length(input);
            const auto* bytes = reinterpret_cast<const char*>(evbuffer_pullup(input, -1));
            if (self.done_ && length > 0) guarded([&] { self.piece_({bytes, length}); });
        });
    auto* headers = evhttp_request_get_output_headers(request);
    for (const auto& [name, value] : call.headers) evhttp_add_header(headers, name.c_str(), value.c_str());
    if (!call.body.empty())
        evbuffer_add(evhttp_request_get_output_buffer(request), call.body.data(), call.body.size());
    if (!connected_) connectTimer_.in(connectWithin);
    if (within > 0) timer_.in(within);
    starting_ = true;
    errno = 0;
    const int failed = evhttp_make_request(connection_.get(), request, call.method, call.path.c_str());
    starting_ = false;
    if (failed && done_) finish({Ending::noRoom});
}

void Connection::end(Ending why) {
    alive_ = false;
    letGo();
    if (done_) finish({why});
}

void Connection::abandon() {
    loop_.bury(std::make_shared<std::pair<Done, Piece>>(std::exchange(done_, nullptr),
                                                        std::exchange(piece_, nullptr)));
    end(Ending::calledOff);
    connectTimer_.stop();
    timer_.stop();
}

// Frees the connection, and the call with it, without calling back. Not at once: this may be called from
// inside one of its callbacks, and evhttp looks at a connection after them.
void Connection::letGo() {
    if (!connection_) return;
    evhttp_connection_set_closecb(connection_.get(), nullptr, nullptr);
    evbuffer_remove_cb_entry(bufferevent_get_output(evhttp_connection_get_bufferevent(connection_.get())),
                             watch_);
    loop_.bury(std::shared_ptr<evhttp_connection>(connection_.release(), Release{}));
}

void Connection::answered(evhttp_request* answer) {
    if (!done_) return;
    const int code = answer ? evhttp_request_get_response_code(answer) : 0;
    if (code == 0) {  // no whole answer; evhttp has closed the connection
        const bool noRoom = !connected_ && (errno == EMFILE || errno == ENFILE || errno == ENOBUFS);
        alive_ = false;
        return finish({!connected_ ? noRoom ? Ending::noRoom : Ending::refused
                       : !written_ ? Ending::cutBefore
                       : garbled_  ? Ending::garbled
                                   : Ending::cutAfter});
    }
    auto* headers = evhttp_request_get_input_headers(answer);
    const auto* notRun = evhttp_find_header(headers, headers::notRun);
    const auto* load = evhttp_find_header(headers, headers::load);
    auto* input = evhttp_request_get_input_buffer(answer);
    const auto* type = evhttp_find_header(headers, "Content-Type");
    Return result{endingOfAnswer(code, notRun && std::string_view(notRun) == "1"),
                  code,
                  {},
                  type ? type : "",
                  load ? load : ""};
    result.body.resize(evbuffer_get_length(input));
    evbuffer_remove(input, result.body.data(), result.body.size());
    // An answer before the call was whole leaves the connection in no state for another.
    if (!written_ || bufferevent_getfd(evhttp_connection_get_bufferevent(connection_.get())) < 0)
        alive_ = false;
    finish(std::move(result));
}

void Connection::finish(Return result) {
    connectTimer_.stop();
    timer_.stop();
    auto done = std::exchange(done_, nullptr);
    // evhttp may fail a call while it is being made: its end is told once the caller is out of here.
    if (starting_) return loop_.later([done, result] { done(result); });
    done(std::move(result));
}

}  // namespace lichenlanding::net
