#include "proxy/http_server.hpp"

#include <sys/socket.h>

#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "text.hpp"
#include "transport/log.hpp"

namespace lichenlanding::proxy {
namespace {

using namespace transport;
using routing::AttemptEvent;

constexpr std::size_t kAheadAtMost = 32;  // requests of one connection that are read and unanswered
constexpr Nanos kConnectWithin = 250 * kMillisecond;  // a pod's connection comes up, or it is left
constexpr Nanos kBodyWithin = 30 * kSecond;           // a request's body
constexpr Nanos kCloseWithin = 20 * kMillisecond;     // a connection that was closed here has ended its call
constexpr Nanos kUnreadFor = 10 * kSecond;            // a client that does not take its answers
constexpr Nanos kStartWithin = 150 * kMillisecond, kStartLook = 10 * kMillisecond;
constexpr Nanos kLingerFor = 300 * kMillisecond;  // after the last answer, for what is still on its way
constexpr Nanos kWhileUnready =
    300 * kMillisecond;  // told to clients that come before the first configuration
constexpr Nanos kClientTimeUnlessTold = 60 * kSecond;

std::string_view view(boost::beast::string_view text) { return {text.data(), text.size()}; }

Response own(int status, const char* reason, Nanos retryAfter = 0) {
    Response response(static_cast<http::status>(status), 11);
    response.set(http::field::content_type, "application/json");
    if (retryAfter > 0) {
        char text[16];
        std::snprintf(text, sizeof text, "%.3f", static_cast<double>(retryAfter) / 1e9);
        response.set(http::field::retry_after, text);
    }
    response.body() = std::string("{\"error\":\"") + reason + "\"}\n";
    return response;
}

// What goes from end to end whatever Connection names.
bool endToEnd(boost::beast::string_view name) {
    for (const auto* kept : {"Host", "Content-Length", "Content-Encoding", "X-Attempt-Id", "X-Response-Seal"})
        if (boost::beast::iequals(name, kept)) return true;
    return false;
}

// Headers that concern one connection alone, and those that Connection names.
template <typename Fields>
void strip(Fields& fields) {
    std::string list;
    const auto named = fields.equal_range(http::field::connection);
    for (auto at = named.first; at != named.second; ++at) list += std::string(at->value()) + ",";
    for (auto name : split(list, ',')) {
        const auto first = name.find_first_not_of(" \t");
        if (first == name.npos) continue;
        name = name.substr(first, name.find_last_not_of(" \t") - first + 1);
        const boost::beast::string_view field(name.data(), name.size());
        if (!endToEnd(field)) fields.erase(field);
    }
    for (const auto field :
         {http::field::connection, http::field::keep_alive, http::field::proxy_connection, http::field::te,
          http::field::trailer, http::field::transfer_encoding, http::field::upgrade, http::field::expect})
        fields.erase(field);
}

// UNASKED: a request whose end or whose id another reader could see elsewhere than we do. Beast takes a
// coding of the transfer that it doesn't know for none, and what follows for the next request.
template <typename Fields>
bool ambiguous(const Fields& fields) {
    const auto codings = fields.count(http::field::transfer_encoding);
    return codings > 1 || fields.count(http::field::host) > 1 || fields.count("X-Attempt-Id") > 1 ||
           (codings == 1 && !boost::beast::iequals(fields[http::field::transfer_encoding], "chunked"));
}

// Whether the client has ended its side, and all that it sent is read.
bool ended(tcp::socket& socket) {
    char byte;
    return ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

}  // namespace

struct HttpServer::RequestContext {
    Request request;
    Response response;
    bool ready = false;
    bool last = false;  // its connection ends with the answer
    bool skipBody = false;
    // A request's body that is too large to hold: its first part is in the request, the rest comes through
    // here.
    std::shared_ptr<http::request_parser<http::buffer_body>> upload;
    bool uploading = false;            // some of the rest has been taken: it cannot go to another pod
    std::unique_ptr<UnreadBody> rest;  // of an answer that is too large to hold
    routing::RoutedRequest way;
    std::shared_ptr<const config::Configuration> configuration;  // keeps the route
    std::shared_ptr<AsyncEvent> bell;
    std::vector<std::shared_ptr<UpstreamRequest>> calls;
};

struct HttpServer::ClientConnection {
    ClientConnection(tcp::socket&& taken, asio::io_context& io) : socket(std::move(taken)), room(io) {}
    tcp::socket socket;
    beast::flat_buffer buffer;
    std::deque<std::shared_ptr<RequestContext>> queue;
    AsyncEvent room;
    std::uint64_t number = 0;
    bool writing = false, dead = false, idle = false;
    bool readerIn = true;                // the reading coroutine runs
    bool closing = false;                // the last answer is chosen: what comes behind it counts as not read
    bool away = false;                   // the last answer is out
    Nanos readBy = 0, writingSince = 0;  // 0: nothing is being read, nothing is being written
    Nanos restingSince = 0, restFor = 0;
    bool late = false;  // what it was to have read by then has not come
    // The pod whose rest of an answer is waited for, and until when.
    tcp::socket* fetching = nullptr;
    Nanos fetchBy = 0;

    // The time in which a client may take the connection up again begins with the last answer.
    void rest(Nanos now, Nanos idleTimeout) { restingSince = now, restFor = idleTimeout; }
    bool resting() const { return idle && queue.empty() && !writing && !away; }
    // Bytes that have come and that the reader's turn will take up.
    bool waiting() {
        ErrorCode code;
        return socket.available(code) > 0 && !code;
    }

    void kill() {
        dead = true;
        ErrorCode ignored;
        socket.close(ignored);
        if (fetching) fetching->close(ignored);
        room.notify();
    }
};

HttpServer::HttpServer(asio::io_context& io, routing::Router& router, UpstreamClient& upstream,
                       std::function<bool()> awake)
    : io_(io), router_(router), upstream_(upstream), awake_(std::move(awake)) {}
HttpServer::~HttpServer() = default;

Task<> HttpServer::serve(tcp::acceptor& acceptor) {
    while (acceptor.is_open()) {
        ErrorCode code;
        auto socket = co_await acceptor.async_accept(withErrorCode(code));
        if (code == asio::error::operation_aborted) co_return;
        if (code) {
            log("accept_failed", {{"step", "accept"}, {"error", code.message()}});
            co_await sleep(20 * kMillisecond);
            continue;
        }
        ErrorCode ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        auto session = std::make_shared<ClientConnection>(std::move(socket), io_);
        session->number = ++arrivals_;
        sessions_[session->number] = session;
        spawn(io_, "client", read(session));
    }
}

void HttpServer::drain() { draining_ = true; }

void HttpServer::closeIdle() {
    ending_ = true;
    std::vector<std::shared_ptr<ClientConnection>> idle;
    for (const auto& [_, session] : sessions_)
        if (session->resting() && !session->waiting()) idle.push_back(session);
    for (const auto& session : idle) {
        // Not closed: what has been read, and whose turn has not come, is still served.
        ErrorCode ignored;
        session->socket.cancel(ignored);
    }
}

void HttpServer::sweep(Nanos now) {
    const Nanos idleTimeout = router_.configuration() ? router_.configuration()->clientLimits.idleTimeout : 0;
    std::vector<std::shared_ptr<ClientConnection>> late, deaf;
    for (const auto& [_, session] : sessions_) {
        if (session->fetching && now > session->fetchBy) deaf.push_back(session);
        else if (session->writing && !session->away && session->writingSince > 0 &&
                 now - session->writingSince > kUnreadFor)
            deaf.push_back(session);
        else if (session->resting()) {
            // A change of the time binds those that rest already only where it is longer.
            const Nanos restFor = std::max(session->restFor, idleTimeout);
            if (now - session->restingSince > restFor && !session->waiting()) late.push_back(session);
        } else if (session->readBy > 0 && now > session->readBy && session->queue.empty() &&
                   (!session->writing || session->away) && (session->away || !session->waiting())) {
            late.push_back(session);
        }
    }
    for (const auto& session : deaf) session->kill();
    for (const auto& session : late) {
        session->late = true;
        ErrorCode ignored;
        session->socket.cancel(ignored);
    }
}

// Adds what comes next of a request's body.
Task<ErrorCode> HttpServer::readBlock(std::shared_ptr<ClientConnection> session,
                                      http::request_parser<http::buffer_body>& parser, std::string& body) {
    const auto had = body.size();
    body.resize(had + room(parser));
    parser.get().body().data = body.data() + had;
    parser.get().body().size = body.size() - had;
    ErrorCode code;
    co_await http::async_read(session->socket, session->buffer, parser, withErrorCode(code));
    body.resize(body.size() - parser.get().body().size);
    if (code == http::error::need_buffer) code = {};
    co_return code;
}

// The rest of a large body, from the client to the pod, block by block.
Task<ErrorCode> HttpServer::upload(std::shared_ptr<ClientConnection> session,
                                   std::shared_ptr<RequestContext> exchange, tcp::socket& pod) {
    exchange->uploading = true;
    auto& parser = *exchange->upload;
    const bool chunked = !parser.content_length();
    const auto& held = exchange->request.body();
    ErrorCode code;
    if (chunked) {
        const auto first = http::make_chunk(asio::const_buffer(held.data(), held.size()));
        co_await asio::async_write(pod, first, withErrorCode(code));
    } else {
        co_await asio::async_write(pod, asio::buffer(held), withErrorCode(code));
    }
    while (!code && !parser.is_done()) {
        std::string block;
        session->readBy = now() + kBodyWithin;
        code = co_await readBlock(session, parser, block);
        if (code || block.empty()) continue;
        if (chunked) {
            const auto next = http::make_chunk(asio::const_buffer(block.data(), block.size()));
            co_await asio::async_write(pod, next, withErrorCode(code));
        } else {
            co_await asio::async_write(pod, asio::buffer(block), withErrorCode(code));
        }
    }
    session->readBy = 0;
    if (!code && chunked) {
        const auto last = http::make_chunk_last();
        co_await asio::async_write(pod, last, withErrorCode(code));
    }
    co_return code;
}

// The rest of a large answer, from the pod to the client. False where either has broken off: then the
// connection ends, so that what was cut short does not look whole.
Task<bool> HttpServer::passOn(std::shared_ptr<ClientConnection> session,
                              std::shared_ptr<RequestContext> exchange) {
    auto& parser = *exchange->rest->parser;
    auto& line = *exchange->rest->line;
    auto& response = exchange->response;
    const bool chunked = !parser.content_length();
    chunked ? response.chunked(true) : response.content_length(*parser.content_length());
    http::response<http::empty_body> head(http::response_header<>(response.base()));
    http::response_serializer<http::empty_body> serializer(head);
    ErrorCode code;
    co_await http::async_write_header(session->socket, serializer, withErrorCode(code));
    auto block = std::move(response.body());
    while (!code) {
        session->writingSince = now();
        if (chunked && !block.empty()) {
            const auto next = http::make_chunk(asio::const_buffer(block.data(), block.size()));
            co_await asio::async_write(session->socket, next, withErrorCode(code));
        } else if (!block.empty()) {
            co_await asio::async_write(session->socket, asio::buffer(block), withErrorCode(code));
        }
        if (code || parser.is_done()) break;
        block.resize(room(parser));
        parser.get().body().data = block.data(), parser.get().body().size = block.size();
        // A pod's silence is no reason to end the answer before its time is over.
        session->writingSince = 0;
        session->fetching = &line.socket, session->fetchBy = exchange->way.deadline;
        co_await http::async_read(line.socket, line.buffer, parser, withErrorCode(code));
        session->fetching = nullptr;
        block.resize(block.size() - parser.get().body().size);
        if (code == http::error::need_buffer) code = {};
    }
    if (!code && chunked) {
        const auto last = http::make_chunk_last();
        co_await asio::async_write(session->socket, last, withErrorCode(code));
    }
    co_return !code;
}

Task<> HttpServer::read(std::shared_ptr<ClientConnection> session) {
    const auto bounds = [&] {
        return router_.configuration() ? router_.configuration()->clientLimits : config::ClientLimits{};
    };
    const auto answer = [&](Response response) {
        auto exchange = std::make_shared<RequestContext>();
        exchange->response = std::move(response);
        exchange->last = true;
        session->queue.push_back(exchange);
        ready(session, exchange);
    };
    while (!session->dead) {
        ErrorCode code;
        if (session->closing) session->buffer.consume(session->buffer.size());
        if (session->buffer.size() == 0) {
            session->idle = true;
            if (!session->away) session->readBy = 0, session->rest(now(), bounds().idleTimeout);
            const auto space = session->buffer.prepare(4096);
            const auto read = co_await session->socket.async_read_some(space, withErrorCode(code));
            session->idle = false;
            if (code) break;
            if (session->closing) continue;
            session->buffer.commit(read);
        }
        const auto limits = bounds();  // in force as the request begins, after a rest
        auto parser = std::make_shared<http::request_parser<http::buffer_body>>();
        parser->header_limit(static_cast<std::uint32_t>(limits.headerBytes));
        parser->body_limit(static_cast<std::uint64_t>(limits.bodyBytes));
        session->readBy = now() + limits.headerTimeout;
        co_await http::async_read_header(session->socket, session->buffer, *parser, withErrorCode(code));
        std::string body;
        if (!code && !parser->is_done()) {
            session->readBy = now() + kBodyWithin;
            const bool asks = boost::beast::iequals(parser->get()[http::field::expect], "100-continue");
            // Behind the answers that are due first.
            while (asks && !session->queue.empty() && !session->dead)
                co_await session->room.wait(now() + kSecond);
            if (asks && !session->closing && !session->dead) {
                static const std::string text = "HTTP/1.1 100 Continue\r\n\r\n";
                co_await asio::async_write(session->socket, asio::buffer(text), withErrorCode(code));
            }
            while (!code && !parser->is_done() && body.size() < kHoldAtMost)
                code = co_await readBlock(session, *parser, body);
        }
        if (!session->away) session->readBy = 0;
        if (session->closing) {
            // It counts as not read, whatever it is, and is sent again elsewhere: to run it would be to run
            // it twice.
            if (code && code.category() != make_error_code(http::error::bad_version).category()) break;
            session->buffer.consume(session->buffer.size());
            continue;
        }
        if (!code && ambiguous(parser->get())) {
            answer(own(400, "the request's end or id is ambiguous"));
            break;
        }
        if (code) {
            if (session->late && !session->dead) answer(own(408, "request not read in time"));
            else if (code == http::error::header_limit)
                answer(own(431, "header is larger than max_header_bytes"));
            else if (code == http::error::body_limit) answer(own(413, "body is larger than max_body_bytes"));
            else if (code.category() == make_error_code(http::error::bad_version).category() &&
                     code != http::error::end_of_stream && code != http::error::partial_message)
                answer(own(400, "request cannot be read"));
            break;
        }
        auto exchange = std::make_shared<RequestContext>();
        exchange->request = Request(http::request_header<>(parser->get().base()));
        exchange->request.body() = std::move(body);
        exchange->last = !exchange->request.keep_alive() || (draining_ && ending_);
        if (!parser->is_done()) exchange->upload = parser, exchange->last = true;
        exchange->skipBody = exchange->request.method() == http::verb::head;
        session->queue.push_back(exchange);
        spawn(io_, "request", play(session, exchange));
        if (exchange->last) break;
        while (session->queue.size() >= kAheadAtMost && !session->dead)
            co_await session->room.wait(now() + kSecond);
    }
    session->readerIn = false;
    if (session->dead || (session->queue.empty() && !session->writing)) {
        session->kill();
        sessions_.erase(session->number);
    }
}

void HttpServer::ready(const std::shared_ptr<ClientConnection>& session,
                       const std::shared_ptr<RequestContext>& exchange) {
    exchange->ready = true;
    if (session->writing || !session->queue.front()->ready) return;
    session->writing = true;
    session->writingSince = now();  // before the writer's turn comes: the sweep looks at both
    spawn(io_, "answer", write(session));
}

Task<> HttpServer::write(std::shared_ptr<ClientConnection> session) {
    while (!session->dead && !session->queue.empty() && session->queue.front()->ready) {
        const auto exchange = session->queue.front();
        auto& response = exchange->response;
        // Leaving: the last answer of what has been read says so.
        const bool last = (exchange->last || draining_) && session->queue.size() == 1;
        session->closing = last;
        strip(response);
        response.version(11);
        response.keep_alive(!last);
        if (!exchange->skipBody && !exchange->rest && response.result_int() != 204 &&
            response.result_int() != 304)
            response.content_length(response.body().size());
        http::response_serializer<http::string_body> serializer(response);
        if (exchange->skipBody) serializer.split(true);
        session->writingSince = now();
        ErrorCode code;
        if (exchange->rest) {
            if (!co_await passOn(session, exchange)) code = asio::error::broken_pipe;
        } else if (exchange->skipBody)
            co_await http::async_write_header(session->socket, serializer, withErrorCode(code));
        else co_await http::async_write(session->socket, serializer, withErrorCode(code));
        session->queue.pop_front();
        session->writingSince = 0;
        if (code) {
            session->kill();
            break;
        }
        if (session->queue.empty() && router_.configuration())
            session->rest(now(), router_.configuration()->clientLimits.idleTimeout);
        session->room.notify();
        if (last) {
            ErrorCode ignored;
            session->socket.shutdown(tcp::socket::shutdown_send, ignored);
            // What the client has sent meanwhile is read away for a moment: closing on it would reset the
            // connection under an answer that may not have arrived. One coroutine reads, never two.
            session->away = true;
            session->readBy = now() + kLingerFor;
            char bytes[1024];
            while (!session->readerIn && !code && !session->dead)
                co_await session->socket.async_read_some(asio::buffer(bytes), withErrorCode(code));
            break;
        }
    }
    session->writing = false;
    if (session->dead || (!session->readerIn && session->queue.empty())) {
        session->kill();
        sessions_.erase(session->number);
    }
}

Task<> HttpServer::send(std::shared_ptr<ClientConnection> session, std::shared_ptr<RequestContext> exchange,
                        std::shared_ptr<UpstreamRequest> call) {
    auto& way = exchange->way;
    auto& attempt = *call->attempt;
    auto& actor = *attempt.actor();
    BodyWriter tail;
    if (exchange->upload)
        tail = [this, session, exchange](tcp::socket& pod) { return upload(session, exchange, pod); };
    try {
        co_await upstream_.call(call, std::shared_ptr<const Request>(exchange, &exchange->request),
                                way.deadline, !way.route->repeatable, router_.maxConnections(actor), tail);
    } catch (const std::exception& error) {
        call->end =
            attempt.state() == routing::AttemptState::unsent ? AttemptEvent::unreached : AttemptEvent::cut;
        call->line.reset(), call->rest.reset();
        log("send_failed", {{"step", "send"}, {"peer", actor.listed.address}, {"error", error.what()}});
    }
    const auto at = now();
    const auto& response = call->response;
    if (const auto load = response.find("X-Instance-Load"); load != response.end()) {
        const auto parts = split(view(load->value()), ',');
        int running = 0, waiting = 0;
        if (parts.size() >= 2 && parse(parts[0], running) && parse(parts[1], waiting))
            router_.reported(actor, running, waiting, at);
    }
    const auto status = static_cast<int>(response.result_int());
    try {
        router_.ended(way, attempt, call->end, status, at - call->began, at);
    } catch (const std::logic_error& error) {
        // A fault of ours, told by the table. What is not known counts as run.
        ++outOfOrder;
        log("attempt_out_of_order",
            {{"step", "send"}, {"peer", actor.listed.address}, {"error", error.what()}});
        if (attempt.inFlight())
            router_.ended(way, attempt,
                          attempt.state() == routing::AttemptState::unsent ? AttemptEvent::unreached
                                                                           : AttemptEvent::cut,
                          status, at - call->began, at);
    }
    exchange->bell->notify();
}

// The client has its answer. What has not been written is left; what is with a pod may run on, and ends with
// the request's time at the latest.
Task<> HttpServer::settle(std::shared_ptr<RequestContext> exchange) {
    const auto& way = exchange->way;
    for (const auto& call : exchange->calls)
        if (call->attempt->state() == routing::AttemptState::unsent) call->abort();
    while (routing::inFlight(way.attempts) > 0) {
        co_await exchange->bell->wait(std::max(way.deadline, now() + kCloseWithin));
        if (now() < way.deadline) continue;
        for (const auto& call : exchange->calls) call->abort();
    }
}

Task<> HttpServer::play(std::shared_ptr<ClientConnection> session, std::shared_ptr<RequestContext> exchange) {
    auto& request = exchange->request;
    const auto finish = [&](Response response, std::uint64_t& count) {
        ++count;
        exchange->response = std::move(response);
        ready(session, exchange);
    };
    // A proxy that has just come up, or stood still, waits a moment for what control nodes are about to tell
    // it.
    const bool stood = !awake_();
    for (const Nanos until = now() + kStartWithin; !(router_.ready() && awake_()) && now() < until;)
        co_await sleep(kStartLook);
    if (stood && !session->dead && ended(session->socket))
        co_return finish(own(503, "its client has gone", kWhileUnready), refused);
    if (!router_.configuration()) co_return finish(own(503, "no configuration yet", kWhileUnready), refused);
    if (request["X-Attempt-Id"].empty()) co_return finish(own(400, "X-Attempt-Id is missing"), refused);
    Nanos clientTime = kClientTimeUnlessTold;
    if (const auto told = view(request["X-Deadline-Ms"]); !told.empty()) {
        double millis = 0;
        if (!parse(told, millis) || !(millis >= 0))
            co_return finish(own(400, "X-Deadline-Ms is no number"), refused);
        clientTime = static_cast<Nanos>(std::min(millis, 6e5) * 1e6);
    }
    exchange->configuration = router_.configuration();
    auto& way = exchange->way;
    if (!router_.begin(way, view(request[http::field::host]), view(request.target()), now(), clientTime))
        co_return finish(own(404, "no route"), refused);
    strip(request);
    const auto method = request.method();
    if (exchange->upload && exchange->upload->content_length())
        request.content_length(*exchange->upload->content_length());
    else if (exchange->upload) request.chunked(true);
    else if (!request.body().empty() ||
             (method != http::verb::get && method != http::verb::head && method != http::verb::delete_))
        request.content_length(request.body().size());
    exchange->bell = std::make_shared<AsyncEvent>(io_);
    const auto answerOf = [&](const std::shared_ptr<UpstreamRequest>& call) {
        exchange->rest = std::move(call->rest);
        finish(std::move(call->response), served);
    };
    std::shared_ptr<UpstreamRequest> fallback;  // an answer of a pod that another attempt might better
    std::vector<bool> looked;                   // by call: its end was looked at
    std::size_t seen = 0;                       // of these
    Nanos hedgeAt = way.deadline;
    bool wanted = true, aborted = false;  // another attempt, if routing has one; all were ended
    for (;;) {
        if (wanted && !exchange->uploading && !session->dead) {
            if (auto attempt = router_.next(way, now())) {
                auto call = std::make_shared<UpstreamRequest>(std::move(attempt));
                call->began = now();
                exchange->calls.push_back(call);
                looked.push_back(false);
                hedgeAt = exchange->upload ? way.deadline : router_.hedgeAt(way, now());
                spawn(io_, "send", send(session, exchange, call));
            } else if (!exchange->upload) {
                // For want of budget or of pods, and maybe not for long.
                hedgeAt = router_.nextHedgeCheckAt(way, now());
            }
        }
        wanted = false;
        if (routing::inFlight(way.attempts) == 0 && seen == exchange->calls.size())
            break;  // given up, at once
        Nanos until = aborted ? now() + kCloseWithin : std::min(way.deadline, hedgeAt);
        for (const auto& call : exchange->calls)
            if (call->attempt->state() == routing::AttemptState::unsent && !call->aborted)
                until = std::min(until, call->began + kConnectWithin);
        const bool rang = co_await exchange->bell->wait(until);
        const auto at = now();
        if (!rang) {
            for (const auto& call : exchange->calls)
                if (at >= way.deadline || (call->attempt->state() == routing::AttemptState::unsent &&
                                           at >= call->began + kConnectWithin))
                    call->abort();
            aborted = at >= way.deadline;
            if (aborted && exchange->uploading) session->kill();  // its client may send no more
            if (at >= hedgeAt && !aborted) hedgeAt = way.deadline, wanted = true;
        }
        for (std::size_t index = 0; index < exchange->calls.size(); ++index) {
            const auto& call = exchange->calls[index];
            if (call->attempt->inFlight() || looked[index]) continue;
            looked[index] = true, ++seen;
            if (call->end == AttemptEvent::answered &&
                (call->response.result_int() < 500 || !way.route->repeatable)) {
                answerOf(call);
                co_return co_await settle(exchange);
            }
            if (call->end == AttemptEvent::answered) fallback = call;
            if (routing::inFlight(way.attempts) == 0) wanted = true;
        }
    }
    if (fallback) co_return answerOf(fallback);
    const auto refusal = router_.refusal(way);
    finish(own(refusal.status, refusal.status == 503 ? "no pod can take it now" : "the pod's answer was lost",
               refusal.retryAfter),
           refusal.status == 503 ? refused : failed);
}

}  // namespace lichenlanding::proxy
