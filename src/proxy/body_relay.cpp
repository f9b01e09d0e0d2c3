#include "proxy/body_relay.hpp"

#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/write.hpp>

#include "transport/body_reader.hpp"

namespace lichenlanding::proxy {

using namespace transport;

namespace {

// Writes one block of a body, either as a chunk or as it is.
Task<ErrorCode> writeBlock(tcp::socket& socket, const std::string& block, bool chunked) {
    ErrorCode error;
    if (chunked) {
        const auto chunk = http::make_chunk(asio::const_buffer(block.data(), block.size()));
        co_await asio::async_write(socket, chunk, withErrorCode(error));
    } else {
        co_await asio::async_write(socket, asio::buffer(block), withErrorCode(error));
    }
    co_return error;
}

Task<ErrorCode> writeLastChunk(tcp::socket& socket) {
    const auto last = http::make_chunk_last();
    ErrorCode error;
    co_await asio::async_write(socket, last, withErrorCode(error));
    co_return error;
}

Task<ErrorCode> writeResponseHead(tcp::socket& client, Response& response,
                                  const boost::optional<std::uint64_t>& contentLength) {
    if (contentLength) response.content_length(*contentLength);
    else response.chunked(true);
    http::response<http::empty_body, HeaderFields> head(http::response_header<HeaderFields>(response.base()));
    http::response_serializer<http::empty_body, HeaderFields> serializer(head);
    ErrorCode error;
    co_await http::async_write_header(client, serializer, withErrorCode(error));
    co_return error;
}

// Reads the next block of a host's response. The only time limit is the request's deadline.
Task<ErrorCode> readResponseBlock(ClientConnection& connection, RequestContext& request, std::string& block) {
    auto& parser = *request.unreadResponse->parser;
    auto& upstream = *request.unreadResponse->connection;
    block.clear();
    connection.writeStarted = 0;
    connection.upstreamSocket = &upstream.socket;
    connection.upstreamDeadline = request.routed.deadline;
    const auto error = co_await readBodyBlock(upstream.socket, upstream.buffer, parser, block);
    connection.upstreamSocket = nullptr;
    co_return error;
}

}  // namespace

Task<ErrorCode> relayRequestBody(std::shared_ptr<ClientConnection> connection,
                                 std::shared_ptr<RequestContext> request, tcp::socket& host) {
    request->uploadStarted = true;
    auto& parser = *request->upload;
    const bool chunked = !parser.content_length();
    auto error = co_await writeBlock(host, request->request.body(), chunked);
    while (!error && !parser.is_done()) {
        std::string block;
        connection->readDeadline = now() + kRequestBodyTimeout;
        error = co_await readBodyBlock(connection->socket, connection->buffer, parser, block);
        if (error || block.empty()) continue;
        error = co_await writeBlock(host, block, chunked);
    }
    connection->readDeadline = 0;
    request->uploadEnded = true;
    connection->onUploadEnded();
    if (!error && chunked) error = co_await writeLastChunk(host);
    co_return error;
}

Task<bool> relayResponseBody(std::shared_ptr<ClientConnection> connection,
                             std::shared_ptr<RequestContext> request) {
    auto& parser = *request->unreadResponse->parser;
    const auto contentLength = parser.content_length();
    const bool chunked = !contentLength;
    auto error = co_await writeResponseHead(connection->socket, request->response, contentLength);
    auto block = std::move(request->response.body());
    while (!error) {
        connection->writeStarted = now();
        if (!block.empty()) error = co_await writeBlock(connection->socket, block, chunked);
        if (error || parser.is_done()) break;
        error = co_await readResponseBlock(*connection, *request, block);
    }
    if (!error && chunked) error = co_await writeLastChunk(connection->socket);
    co_return !error;
}

}  // namespace lichenlanding::proxy
