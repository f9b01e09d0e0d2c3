#include "proxy/upstream.hpp"

#include <sys/socket.h>

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/write.hpp>

#include "text.hpp"

namespace lichenlanding::proxy {
namespace {

using namespace transport;
using routing::ResponseHead, routing::AttemptEvent;

constexpr std::uint64_t kAnswerAtMost = std::uint64_t{1} << 40;  // larger ones pass through in blocks
constexpr int kSurplusAtMost = 2;  // answers to other requests that are read past
constexpr std::uint32_t kHeadAtMost = 64 << 10;

// Nothing to read and not closed: the pod has neither ended it nor sent what belongs to no request.
bool quiet(tcp::socket& socket) {
    char byte;
    const auto read = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return read < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

// What the pod says of how long it keeps an idle connection; 0: nothing.
Nanos keepAlive(const Response& response) {
    const auto told = response.find(http::field::keep_alive);
    if (told == response.end()) return 0;
    const std::string_view text(told->value().data(), told->value().size());
    const auto at = text.find("timeout=");
    int seconds = 0;
    if (at == text.npos) return 0;
    auto number = text.substr(at + 8);
    number = number.substr(0, number.find_first_not_of("0123456789"));
    return parse(number, seconds) ? seconds * kSecond : 0;
}

// Where a body ends is told by a length, by chunks alone, or by having none. Any other coding of the transfer
// is one that is not undone here.
bool delimited(const Response& response) {
    const auto status = response.result_int();
    const auto codings = response.equal_range(http::field::transfer_encoding);
    if (codings.first != codings.second)
        return response.count(http::field::transfer_encoding) == 1 &&
               boost::beast::iequals(codings.first->value(), "chunked");
    return response.has_content_length() || status == 204 || status == 304;
}

ResponseHead headOf(const Response& response, boost::beast::string_view id) {
    ResponseHead answer;
    const auto theirs = response["X-Attempt-Id"];
    answer.status = static_cast<int>(response.result_int());
    // Two ids: the head of one answer in which another's began.
    answer.id = response.count("X-Attempt-Id") > 1 ? ResponseHead::Id::other
                : theirs.empty()                   ? ResponseHead::Id::none
                : theirs == id                     ? ResponseHead::Id::own
                                                   : ResponseHead::Id::other;
    answer.notExecuted = response.count("X-Not-Executed") > 0;
    answer.stamped = response.count("X-Response-Seal") > 0;
    answer.encoded = response.count(http::field::content_encoding) > 0;
    answer.delimited = delimited(response);
    return answer;
}

}  // namespace

void UpstreamRequest::abort() {
    if (!attempt->inFlight()) return;
    aborted = true;
    ErrorCode ignored;
    if (line) line->socket.close(ignored);
}

std::shared_ptr<UpstreamConnection> UpstreamClient::kept(const routing::UpstreamHost& actor, bool careful) {
    const auto at = places_.find(actor.listed.id);
    if (at == places_.end()) return nullptr;
    auto& idle = at->second.idle;
    while (!idle.empty()) {
        auto line = idle.back();
        const Nanos age = now() - line->idleSince;
        if (careful && !routing::safeToReuse(age, line->idleFor)) return nullptr;  // and so are all before it
        idle.pop_back();
        if (age < line->idleFor && quiet(line->socket)) return line;
    }
    return nullptr;
}

void UpstreamClient::keep(const std::shared_ptr<routing::UpstreamHost>& actor,
                          std::shared_ptr<UpstreamConnection> line) {
    line->idleSince = now();
    auto& place = places_[actor->listed.id];
    place.actor = actor;
    place.idle.push_back(std::move(line));
}

void UpstreamClient::sweep(Nanos now) {
    for (auto at = places_.begin(); at != places_.end();) {
        auto& place = at->second;
        while (!place.idle.empty() &&
               (place.actor->gone || now - place.idle.front()->idleSince > place.idle.front()->idleFor))
            place.idle.pop_front();
        at = place.idle.empty() ? places_.erase(at) : std::next(at);
    }
}

// One final answer, whole, or its first part with the rest to come.
Task<ErrorCode> UpstreamClient::answer(std::shared_ptr<UpstreamRequest> call,
                                       std::shared_ptr<UpstreamConnection> line, bool head) {
    for (;;) {
        auto parser = std::make_unique<http::response_parser<http::buffer_body>>();
        parser->header_limit(kHeadAtMost);
        parser->body_limit(kAnswerAtMost);
        parser->skip(head);
        ErrorCode code;
        co_await http::async_read_header(line->socket, line->buffer, *parser, withErrorCode(code));
        if (code) co_return code;
        if (parser->get().result_int() / 100 == 1) continue;  // an interim answer: no body
        std::string body;
        while (!parser->is_done() && body.size() < kHoldAtMost) {
            const auto had = body.size();
            body.resize(had + room(*parser));
            parser->get().body().data = body.data() + had;
            parser->get().body().size = body.size() - had;
            co_await http::async_read(line->socket, line->buffer, *parser, withErrorCode(code));
            body.resize(body.size() - parser->get().body().size);
            if (code == http::error::need_buffer) code = {};
            if (code) co_return code;
        }
        call->response = Response(http::response_header<>(parser->get().base()));
        call->response.body() = std::move(body);
        call->rest.reset();
        if (!parser->is_done())
            call->rest = std::make_unique<UnreadBody>(UnreadBody{line, std::move(parser)});
        co_return ErrorCode{};
    }
}

Task<> UpstreamClient::call(std::shared_ptr<UpstreamRequest> call, std::shared_ptr<const Request> request,
                            Nanos deadline, bool careful, int maxConnections, BodyWriter tail) {
    const auto& actor = *call->attempt->actor();
    call->began = now();
    if (call->aborted) co_return;  // unreached: nobody waits for it, and on a kept line it would be written
    auto line = kept(actor, careful);
    ErrorCode code;
    if (!line) {
        if (actor.lines >= maxConnections) co_return;  // unreached
        line = std::make_shared<UpstreamConnection>(io_, call->attempt->actor());
        call->line = line;
        co_await line->socket.async_connect(parseAddress(actor.listed.address), withErrorCode(code));
        if (code || call->aborted) {
            call->line.reset();
            co_return;
        }
        configureSocket(line->socket, 3 * kSecond);
    }
    call->line = line;
    call->attempt->on(AttemptEvent::written);
    call->end = AttemptEvent::cut;
    const auto id = (*request)["X-Attempt-Id"];
    // The head is copied with what this send alone says; the body is not.
    http::request<http::span_body<const char>> sent(http::request_header<>(request->base()));
    sent.body() = {request->body().data(), request->body().size()};
    sent.set("X-Deadline-Ms", std::to_string(std::max<Nanos>((deadline - now()) / kMillisecond, 1)));
    sent.set("X-Target-Instance", actor.listed.id);
    if (tail) {  // it writes the body
        http::request_serializer<http::span_body<const char>> serializer(sent);
        co_await http::async_write_header(line->socket, serializer, withErrorCode(code));
        if (!code) code = co_await tail(line->socket);
    } else {
        co_await http::async_write(line->socket, sent, withErrorCode(code));
    }
    bool whole = false, surplus = false;
    for (int read = 0; !code && read <= kSurplusAtMost; ++read) {
        code = co_await answer(call, line, request->method() == http::verb::head);
        if (code) {
            const bool unreadable =
                code.category() == make_error_code(http::error::end_of_stream).category() &&
                code != http::error::end_of_stream && code != http::error::partial_message;
            if (unreadable) call->end = AttemptEvent::spoilt;
            break;
        }
        const auto judged = routing::judge(headOf(call->response, id));
        if (!judged && !call->rest) {  // another request's: read past
            surplus = true;
            continue;
        }
        whole = true;
        call->end = judged.value_or(AttemptEvent::spoilt);
        break;
    }
    if (call->aborted && !whole) call->end = AttemptEvent::overdue;
    if (call->rest && call->end == AttemptEvent::answered) {
        call->line.reset();  // the answer's reader has it now
        co_return;
    }
    const bool reusable = whole && !surplus && !call->rest && call->end != AttemptEvent::spoilt &&
                          !call->aborted && call->response.keep_alive() && line->buffer.size() == 0 &&
                          !actor.gone;
    call->rest.reset();
    if (reusable) {
        line->idleFor = routing::idleLimit(keepAlive(call->response));
        keep(call->attempt->actor(), line);
    } else {
        ErrorCode ignored;
        line->socket.close(ignored);
    }
    call->line.reset();
}

}  // namespace lichenlanding::proxy
