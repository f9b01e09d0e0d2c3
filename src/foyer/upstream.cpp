#include "foyer/upstream.hpp"

#include <sys/socket.h>

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/write.hpp>

#include "text.hpp"

namespace lichenlanding::foyer {
namespace {

using namespace wings;
using casting::End;

constexpr std::uint64_t answerAtMost = std::uint64_t{1} << 40;  // larger ones pass through in blocks
constexpr int surplusAtMost = 2;  // answers to other requests that are read past

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
    return parse(number, seconds) ? seconds * second : 0;
}

}  // namespace

void Attempt::abort() {
    if (done) return;
    overdue = true;
    Code ignored;
    if (line) line->socket.close(ignored);
}

std::shared_ptr<Line> Upstream::kept(const casting::Actor& actor, bool careful) {
    const auto at = places_.find(actor.listed.id);
    if (at == places_.end()) return nullptr;
    auto& idle = at->second.idle;
    while (!idle.empty()) {
        auto line = idle.back();
        const Nanos age = now() - line->idleSince;
        if (careful && !casting::surelyKept(age, line->idleFor)) return nullptr;  // and so are all before it
        idle.pop_back();
        if (age < line->idleFor && quiet(line->socket)) return line;
    }
    return nullptr;
}

void Upstream::keep(const std::shared_ptr<casting::Actor>& actor, std::shared_ptr<Line> line) {
    line->idleSince = now();
    auto& place = places_[actor->listed.id];
    place.actor = actor;
    place.idle.push_back(std::move(line));
}

void Upstream::sweep(Nanos now) {
    for (auto at = places_.begin(); at != places_.end();) {
        auto& place = at->second;
        while (!place.idle.empty() &&
               (place.actor->gone || now - place.idle.front()->idleSince > place.idle.front()->idleFor))
            place.idle.pop_front();
        at = place.idle.empty() ? places_.erase(at) : std::next(at);
    }
}

// One final answer, whole, or its first part with the rest to come.
Task<Code> Upstream::answer(std::shared_ptr<Attempt> attempt, std::shared_ptr<Line> line, bool head) {
    for (;;) {
        auto parser = std::make_unique<http::response_parser<http::buffer_body>>();
        parser->body_limit(answerAtMost);
        parser->skip(head);
        Code code;
        co_await http::async_read_header(line->socket, line->buffer, *parser, told(code));
        if (code) co_return code;
        if (parser->get().result_int() / 100 == 1) continue;  // an interim answer: no body
        std::string body;
        while (!parser->is_done() && body.size() < holdAtMost) {
            const auto had = body.size();
            body.resize(had + room(*parser));
            parser->get().body().data = body.data() + had;
            parser->get().body().size = body.size() - had;
            co_await http::async_read(line->socket, line->buffer, *parser, told(code));
            body.resize(body.size() - parser->get().body().size);
            if (code == http::error::need_buffer) code = {};
            if (code) co_return code;
        }
        attempt->response = Response(http::response_header<>(parser->get().base()));
        attempt->response.body() = std::move(body);
        attempt->rest.reset();
        if (!parser->is_done()) attempt->rest = std::make_unique<Rest>(Rest{line, std::move(parser)});
        co_return Code{};
    }
}

Task<> Upstream::call(std::shared_ptr<Attempt> attempt, std::shared_ptr<const Request> request,
                      Nanos deadline, bool careful, int linesAtMost, Tail tail) {
    auto& actor = *attempt->actor;
    attempt->began = now();
    auto line = kept(actor, careful);
    Code code;
    if (!line) {
        if (actor.lines >= linesAtMost) co_return;  // unreached
        line = std::make_shared<Line>(io_, attempt->actor);
        attempt->line = line;
        co_await line->socket.async_connect(endpoint(actor.listed.address), told(code));
        if (code || attempt->overdue) co_return;
        tune(line->socket, 3 * second);
    }
    attempt->line = line;
    attempt->connected = true;
    attempt->end = End::cut;
    const auto& id = (*request)["X-Attempt-Id"];
    // The head is copied with what this send alone says; the body is not.
    http::request<http::span_body<const char>> sent(http::request_header<>(request->base()));
    sent.body() = {request->body().data(), request->body().size()};
    sent.set("X-Deadline-Ms", std::to_string(std::max<Nanos>((deadline - now()) / ms, 1)));
    sent.set("X-Target-Instance", actor.listed.id);
    if (tail) {  // it writes the body
        http::request_serializer<http::span_body<const char>> serializer(sent);
        co_await http::async_write_header(line->socket, serializer, told(code));
        if (!code) code = co_await tail(line->socket);
    } else {
        co_await http::async_write(line->socket, sent, told(code));
    }
    bool whole = false, surplus = false;
    for (int read = 0; !code && read <= surplusAtMost; ++read) {
        code = co_await answer(attempt, line, request->method() == http::verb::head);
        if (code) {
            const bool unreadable =
                code.category() == make_error_code(http::error::end_of_stream).category() &&
                code != http::error::end_of_stream && code != http::error::partial_message;
            if (unreadable) attempt->end = End::spoilt;
            break;
        }
        const auto& response = attempt->response;
        const auto status = response.result_int();
        const auto theirs = response["X-Attempt-Id"];
        if (theirs != id && !theirs.empty() && !attempt->rest) {
            surplus = true;  // a late second answer to an earlier request, in the place of this one's
            continue;
        }
        const bool success = status / 100 == 2, turned = response.count("X-Not-Executed") > 0;
        // MIXED: a success is the pod's own only with its stamp, its id, and a length that shows it is whole.
        // REFUSED: what promises that nothing ran (408, 429, 503) is passed on only with the pod's word for
        // it.
        const bool stamped = theirs == id && response.count("X-Response-Seal") > 0 &&
                             response.count(http::field::content_encoding) == 0;
        const bool promises = status == 408 || status == 429 || status == 503;
        const bool bounded =
            response.has_content_length() || response.chunked() || status == 204 || status == 304;
        const bool own = bounded && (!success || stamped) && (!promises || turned);
        whole = true;
        attempt->end = !own            ? End::spoilt
                       : status == 421 ? End::elsewhere
                       : turned        ? End::turned
                                       : End::answered;
        break;
    }
    if (attempt->overdue && !whole) attempt->end = End::overdue;
    if (attempt->rest && attempt->end == End::answered) {
        attempt->line.reset();  // the answer's reader has it now
        co_return;
    }
    const bool reusable = whole && !surplus && !attempt->rest && attempt->end != End::spoilt &&
                          attempt->response.keep_alive() && line->buffer.size() == 0 && !actor.gone;
    if (reusable) {
        line->idleFor = casting::keptFor(keepAlive(attempt->response));
        keep(attempt->actor, line);
    } else {
        Code ignored;
        line->socket.close(ignored);
    }
    attempt->line.reset();
}

}  // namespace lichenlanding::foyer
