#include "sidecar/response_parser.hpp"

#include <strings.h>

#include <algorithm>
#include <utility>

#include "sidecar/messages.hpp"
#include "text.hpp"

namespace lichenlanding::sidecar {
namespace {

constexpr std::size_t kMaxHeaderBytes = 16 * 1024;  // of one response and the 1xx responses before it

bool equalIgnoringCase(std::string_view one, std::string_view other) {
    return one.size() == other.size() && strncasecmp(one.data(), other.data(), one.size()) == 0;
}

std::string_view trimmed(std::string_view text) {
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
    return text;
}

template <typename Predicate>
bool all(std::string_view text, Predicate&& predicate) {
    return std::all_of(text.begin(), text.end(), predicate);
}

bool isDigit(char character) { return character >= '0' && character <= '9'; }
bool isValueCharacter(char character) {
    return character == '\t' || (character >= ' ' && character != 127) || character < 0;
}
bool isNameCharacter(char character) {
    return isDigit(character) || (character >= 'a' && character <= 'z') ||
           (character >= 'A' && character <= 'Z') ||
           std::string_view("!#$%&'*+-.^_`|~").find(character) != std::string_view::npos;
}

}  // namespace

bool isHeaderName(std::string_view text) { return !text.empty() && all(text, isNameCharacter); }
bool isHeaderValue(std::string_view text) { return all(text, isValueCharacter); }
bool isContentLength(std::string_view text) {
    return !text.empty() && text.size() <= 18 && all(text, isDigit);
}

ResponseParser::State ResponseParser::consume(evbuffer* input) {
    while (phase_ != Phase::end) {
        if (phase_ == Phase::body || phase_ == Phase::chunk) {
            if (remaining_ > 0 && evbuffer_get_length(input) == 0) return State::incomplete;
            readBody(input);
            if (remaining_ > 0) continue;
            phase_ = phase_ == Phase::body ? Phase::end : Phase::chunkEnd;
            continue;
        }
        std::size_t ending = 0;
        const auto found = evbuffer_search_eol(input, nullptr, &ending, EVBUFFER_EOL_CRLF_STRICT);
        const auto length = found.pos < 0 ? evbuffer_get_length(input) : static_cast<std::size_t>(found.pos);
        if (headerBytes_ + length > kMaxHeaderBytes) return State::malformed;
        if (found.pos < 0) return State::incomplete;
        if (phase_ != Phase::chunkSize && phase_ != Phase::chunkEnd) headerBytes_ += length + ending;
        std::string text(length, '\0');
        evbuffer_remove(input, text.data(), length);
        evbuffer_drain(input, ending);
        if (!isHeaderValue(text) || parseLine(text) == State::malformed) return State::malformed;
    }
    return State::complete;
}

ResponseParser::State ResponseParser::parseLine(std::string_view text) {
    switch (phase_) {
        case Phase::status:
            return parseStatus(text);
        case Phase::headers:
            if (text.empty()) return finishHeaders();
            return parseHeader(text) ? State::incomplete : State::malformed;
        case Phase::chunkSize:
            return parseChunkSize(text);
        case Phase::chunkEnd:
            phase_ = Phase::chunkSize;
            return text.empty() ? State::incomplete : State::malformed;
        default:  // trailer
            if (text.empty()) phase_ = Phase::end;
            return State::incomplete;
    }
}

ResponseParser::State ResponseParser::parseStatus(std::string_view text) {
    const auto protocol = text.substr(0, 9);
    closesConnection = framing_ == Framing::untilClose && protocol == "HTTP/1.0 ";
    if (protocol != "HTTP/1.1 " && !closesConnection) return State::malformed;
    if (text.size() < 12 || (text.size() > 12 && text[12] != ' ')) return State::malformed;
    if (!parse(text.substr(9, 3), statusCode)) return State::malformed;
    if (statusCode < 100 || statusCode > 599 || statusCode == 101) return State::malformed;
    phase_ = Phase::headers;
    return State::incomplete;
}

ResponseParser::State ResponseParser::parseChunkSize(std::string_view text) {
    const auto digits = text.substr(0, text.find(';'));
    const auto* const end = digits.data() + digits.size();
    std::uint32_t size = 0;
    const auto read = std::from_chars(digits.data(), end, size, 16);
    if (read.ec != std::errc() || read.ptr != end) return State::malformed;
    if (!onBody_ && received_ + size > maxBodyBytes_) return State::malformed;
    remaining_ = size;
    phase_ = size > 0 ? Phase::chunk : Phase::trailer;
    return State::incomplete;
}

bool ResponseParser::parseHeader(std::string_view text) {
    const auto colon = text.find(':');
    if (colon == std::string_view::npos || !isHeaderName(text.substr(0, colon))) return false;
    const auto name = text.substr(0, colon);
    const auto value = trimmed(text.substr(colon + 1));
    if (equalIgnoringCase(name, "Content-Length")) {
        if (std::exchange(lengthDeclared_, true) || !isContentLength(value) || !parse(value, remaining_))
            return false;
        return onBody_ || remaining_ <= maxBodyBytes_;
    }
    if (equalIgnoringCase(name, "Transfer-Encoding")) {
        if (std::exchange(lengthDeclared_, true) || !equalIgnoringCase(value, "chunked")) return false;
        chunked_ = true;
        return true;
    }
    if (equalIgnoringCase(name, "Connection"))
        closesConnection = closesConnection || equalIgnoringCase(value, "close");
    if (equalIgnoringCase(name, "Content-Type")) contentType = value;
    if (equalIgnoringCase(name, headers::kRejected)) rejected = value == "1";
    if (equalIgnoringCase(name, headers::kLoadReport)) loadReport = value;
    if (equalIgnoringCase(name, "Retry-After")) retryAfter = parseRetryAfter(value);
    return true;
}

ResponseParser::State ResponseParser::finishHeaders() {
    if (statusCode < 200) {  // an interim response; the final one follows
        const auto headerBytes = headerBytes_;
        *this = ResponseParser(maxBodyBytes_, std::move(onBody_), framing_);
        headerBytes_ = headerBytes;
        return State::incomplete;
    }
    if (statusCode == 204 || statusCode == 304) {
        remaining_ = 0;
    } else if (!lengthDeclared_) {
        if (framing_ == Framing::declared) return State::malformed;
        endsAtClose_ = true;
        closesConnection = true;
        remaining_ = maxBodyBytes_;
    }
    phase_ = chunked_ ? Phase::chunkSize : Phase::body;
    return State::incomplete;
}

ResponseParser::State ResponseParser::stateAtClose() const {
    return endsAtClose_ && phase_ == Phase::body ? State::complete : State::malformed;
}

void ResponseParser::readBody(evbuffer* input) {
    const auto length = std::min(remaining_, evbuffer_get_length(input));
    remaining_ -= length;
    received_ += length;
    const auto from = body.size();
    body.resize(from + length);
    evbuffer_remove(input, body.data() + from, length);
    if (onBody_ && length > 0) onBody_(std::exchange(body, {}));
}

}  // namespace lichenlanding::sidecar
