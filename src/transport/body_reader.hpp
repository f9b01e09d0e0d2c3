/// Reading of HTTP bodies block by block, with a parser of Beast's buffer_body.
#pragma once

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/read.hpp>
#include <string>

#include "transport/event_loop.hpp"

namespace lichenlanding::transport {

constexpr std::size_t kBodyBlockBytes = 16 << 10;

/// Number of bytes to offer a parser for the next read. One more than the remaining length, if that is known:
/// with an exact fit Beast ends the read before it has recognised the end of the body, and the next read
/// would wait for bytes that never come.
template <typename Parser>
std::size_t readSize(const Parser& parser) {
    const auto left = parser.content_length_remaining();
    return left && *left <= kBodyBlockBytes ? static_cast<std::size_t>(*left) + 1 : kBodyBlockBytes;
}

/// Reads the next block of a body and appends it to `body`. Returns the connection's error, if any, or the
/// parser's (BoundedParser::countBody). All arguments must outlive the call.
template <typename Stream, typename Parser>
Task<ErrorCode> readBodyBlock(Stream& stream, beast::flat_buffer& buffer, Parser& parser, std::string& body) {
    const auto offset = body.size();
    body.resize(offset + readSize(parser));
    parser.get().body().data = body.data() + offset;
    parser.get().body().size = body.size() - offset;
    ErrorCode error;
    const auto parsed = co_await beast::http::async_read(stream, buffer, parser, withErrorCode(error));
    body.resize(body.size() - parser.get().body().size);
    if (error == beast::http::error::need_buffer) error = {};
    if (!error) error = parser.countBody(parsed, body.size() - offset);
    co_return error;
}

}  // namespace lichenlanding::transport
