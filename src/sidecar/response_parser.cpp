#include "sidecar/response_parser.hpp"

#include <strings.h>

#include <algorithm>
#include <utility>

#include "sidecar/messages.hpp"
#include "text.hpp"

namespace lichenlanding::net {
namespace {

constexpr std::size_t longestHead = 16 * 1024;  // of one answer, with all 1xx ahead

bool same(std::string_view one, std::string_view other) {
    return one.size() == other.size() && strncasecmp(one.data(), other.data(), one.size()) == 0;
}

std::string_view trimmed(std::string_view text) {
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
    return text;
}

template <typename Each>
bool all(std::string_view text, Each&& each) {
    return std::all_of(text.begin(), text.end(), each);
}

bool digit(char letter) { return letter >= '0' && letter <= '9'; }
bool readable(char letter) { return letter == '\t' || (letter >= ' ' && letter != 127) || letter < 0; }
bool nameLetter(char letter) {
    return digit(letter) || (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z') ||
           std::string_view("!#$%&'*+-.^_`|~").find(letter) != std::string_view::npos;
}

}  // namespace

bool readableName(std::string_view text) { return !text.empty() && all(text, nameLetter); }
bool readableValue(std::string_view text) { return all(text, readable); }
bool readableLength(std::string_view text) { return !text.empty() && text.size() <= 18 && all(text, digit); }

Answer::State Answer::read(evbuffer* input) {
    while (at_ != At::end) {
        if (at_ == At::body || at_ == At::chunk) {
            if (left_ > 0 && evbuffer_get_length(input) == 0) return State::more;
            take(input);
            if (left_ > 0) continue;
            at_ = at_ == At::body ? At::end : At::chunkEnd;
            continue;
        }
        std::size_t ending = 0;
        const auto found = evbuffer_search_eol(input, nullptr, &ending, EVBUFFER_EOL_CRLF_STRICT);
        const auto length = found.pos < 0 ? evbuffer_get_length(input) : static_cast<std::size_t>(found.pos);
        if (headBytes_ + length > longestHead) return State::spoilt;
        if (found.pos < 0) return State::more;
        if (at_ != At::chunkSize && at_ != At::chunkEnd) headBytes_ += length + ending;
        std::string text(length, '\0');
        evbuffer_remove(input, text.data(), length);
        evbuffer_drain(input, ending);
        if (!readableValue(text) || line(text) == State::spoilt) return State::spoilt;
    }
    return State::whole;
}

Answer::State Answer::line(std::string_view text) {
    switch (at_) {
        case At::status:
            closes = framing_ == Framing::byClose && text.substr(0, 9) == "HTTP/1.0 ";
            if (text.size() < 12 || (text.substr(0, 9) != "HTTP/1.1 " && !closes) ||
                (text.size() > 12 && text[12] != ' ') || !parse(text.substr(9, 3), code) || code < 100 ||
                code > 599 || code == 101)
                return State::spoilt;
            at_ = At::head;
            return State::more;
        case At::head:
            if (text.empty()) return headEnds();
            return header(text) ? State::more : State::spoilt;
        case At::chunkSize: {
            const auto digits = text.substr(0, text.find(';'));
            const auto end = digits.data() + digits.size();
            std::uint32_t size = 0;
            const auto read = std::from_chars(digits.data(), end, size, 16);
            if (read.ec != std::errc() || read.ptr != end) return State::spoilt;
            if (!piece_ && taken_ + size > longestBody_) return State::spoilt;
            left_ = size;
            at_ = size > 0 ? At::chunk : At::trailer;
            return State::more;
        }
        case At::chunkEnd:
            at_ = At::chunkSize;
            return text.empty() ? State::more : State::spoilt;
        default:  // a trailer
            if (text.empty()) at_ = At::end;
            return State::more;
    }
}

bool Answer::header(std::string_view text) {
    const auto colon = text.find(':');
    if (colon == text.npos || !readableName(text.substr(0, colon))) return false;
    const auto name = text.substr(0, colon), value = trimmed(text.substr(colon + 1));
    if (same(name, "Content-Length")) {
        if (std::exchange(told_, true) || !readableLength(value) || !parse(value, left_)) return false;
        return piece_ || left_ <= longestBody_;
    }
    if (same(name, "Transfer-Encoding")) {
        if (std::exchange(told_, true) || !same(value, "chunked")) return false;
        return chunked_ = true;
    }
    if (same(name, "Connection")) closes = closes || same(value, "close");
    if (same(name, "Content-Type")) type = value;
    if (same(name, headers::notRun)) notRun = value == "1";
    if (same(name, headers::load)) load = value;
    if (same(name, "Retry-After")) retryAfter = readRetryAfter(value);
    return true;
}

Answer::State Answer::headEnds() {
    if (code < 200) {  // the answer itself comes behind it
        auto ahead = headBytes_;
        *this = Answer(longestBody_, std::move(piece_), framing_);
        headBytes_ = ahead;
        return State::more;
    }
    if (code == 204 || code == 304) left_ = 0;
    else if (!told_ && framing_ == Framing::told) return State::spoilt;
    else if (!told_) tillClose_ = closes = true, left_ = longestBody_;
    at_ = chunked_ ? At::chunkSize : At::body;
    return State::more;
}

Answer::State Answer::ended() const { return tillClose_ && at_ == At::body ? State::whole : State::spoilt; }

void Answer::take(evbuffer* input) {
    const auto length = std::min(left_, evbuffer_get_length(input));
    left_ -= length, taken_ += length;
    const auto from = body.size();
    body.resize(from + length);
    evbuffer_remove(input, body.data() + from, length);
    if (piece_ && length > 0) piece_(std::exchange(body, {}));
}

}  // namespace lichenlanding::net
