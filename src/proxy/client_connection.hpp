/// One client connection: requests are read ahead (pipelining) and answered in the order of their arrival.
#pragma once

#include <deque>

#include "proxy/http_server_context.hpp"
#include "proxy/request_context.hpp"
#include "routing/local_reply.hpp"

namespace lichenlanding::proxy {

/// The limits of the configuration in force, or the defaults before there is one.
config::ClientLimits clientLimits(const routing::Router& router);
/// The greatest header that is accepted under `limits`.
std::size_t headerLimit(const config::ClientLimits& limits);

/// Runs at most two coroutines: one reads requests, the other writes responses. Only the reader reads the
/// socket (during the upload of a large body, the body's relay). It keeps reading and discarding after the
/// last request, in order to notice when the client disconnects; unanswered requests are then notified
/// (RequestContext::onClientDisconnected). A half-close counts as a disconnect: the two cannot be told apart.
/// The server enforces the deadlines by calling the predicates below periodically.
///
/// Memory: the header, the first kUnsharedBodyBytes of the body and the handling of one request belong to the
/// connection. Whatever is beyond that needs a share of the server's buffers: without one, a body is streamed
/// instead of buffered, and no further request is read before the earlier ones are answered.
///
/// Used from one thread: the server's event loop.
class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
  public:
    ClientConnection(transport::tcp::socket&& accepted, HttpServerContext& server, std::uint64_t number);

    /// Reads requests and starts a handler for each, until the client or the proxy ends the connection.
    static transport::Task<> readRequests(std::shared_ptr<ClientConnection> self);

    /// Called when the response of `request` is complete. It is written after the responses to all earlier
    /// requests.
    void onResponseReady(const std::shared_ptr<RequestContext>& request);

    /// Closes the connection immediately and drops unwritten responses.
    void close();
    /// Closes the connection and removes it from the server. Called by the coroutine that ends last, and
    /// after an exception in one of the connection's tasks: a defect ends one connection, not the process.
    void finish();
    /// Cancels the read in progress. Requests that were received completely are still served.
    void cancelRead();
    /// Cancels the read in progress because its deadline has passed. Replies 408 if part of a request was
    /// received.
    void timeOutRead();

    std::uint64_t number() const { return number_; }
    bool closed() const { return closed_; }
    /// The client has closed its side or the connection is closed: no further attempts are sent to hosts for
    /// it.
    bool clientDisconnected() const { return clientDisconnected_; }
    /// Called when the relay of a large request body has ended; the reader resumes.
    void onUploadEnded() { stateChanged_.notify(); }
    /// No request is being read, handled or answered.
    bool isIdle() const { return waitingForRequest_ && requests_.empty() && !writing_ && !lastResponseSent_; }
    Nanos idleSince() const { return idleSince_; }  ///< meaningful while isIdle()
    /// Whether the socket has received bytes that were not read yet.
    bool hasUnreadBytes();
    /// The client has not accepted response data, or the host has not delivered the rest of a response, in
    /// time.
    bool isStalled(Nanos now) const;
    /// The connection has exceeded its idle timeout. `idleTimeout` is the value of the current configuration.
    bool isIdleTooLong(Nanos now, Nanos idleTimeout);
    /// A request, or the client's close after the last response, was not received in time.
    bool isReadOverdue(Nanos now);

    /// Public for the body relays (body_relay.hpp), which run in place of the reader or the writer.
    transport::tcp::socket socket;
    transport::beast::flat_buffer buffer;  ///< received bytes that are not parsed yet
    Nanos readDeadline = 0;                ///< deadline of the read in progress; 0: none
    Nanos writeStarted = 0;                ///< start of the write in progress; 0: none
    /// The host connection that the writer is reading a response from, with its deadline. Null while it reads
    /// from none.
    transport::tcp::socket* upstreamSocket = nullptr;
    Nanos upstreamDeadline = 0;

  private:
    struct IncomingRequest {
        std::shared_ptr<RequestParser> parser;
        std::string body;
        limits::MemoryBudget::Share fieldMemory, handlingMemory, bodyMemory;
        transport::ErrorCode error;
    };

    transport::Task<bool> waitForBytes();
    transport::Task<> readRequest(IncomingRequest& incoming);
    transport::Task<> sendContinue(IncomingRequest& incoming);
    bool discard(const IncomingRequest& incoming);
    bool reject(const IncomingRequest& incoming);
    bool discardsInput() const { return lastRequestRead_ || lastResponseChosen_; }
    transport::Task<> awaitUpload(std::shared_ptr<RequestContext> request);
    void accountForHeader(IncomingRequest& incoming);
    bool mayReadNextRequest() const;
    transport::Task<bool> awaitPipelineCapacity();
    bool hasPeerHungUp();
    void onClientDisconnected();
    std::shared_ptr<RequestContext> accept(IncomingRequest& incoming);

    static transport::Task<> writeResponses(std::shared_ptr<ClientConnection> self);
    transport::Task<transport::ErrorCode> writeResponse(std::shared_ptr<RequestContext> request, bool last);
    void startLingering();

    void startIdle(Nanos idleTimeout);

    HttpServerContext& server_;
    const std::uint64_t number_;
    std::deque<std::shared_ptr<RequestContext>> requests_;  // read but not answered, in order of arrival
    transport::AsyncEvent stateChanged_;  // a request was answered or uploaded, or the connection was closed
    bool reading_ = true;                 // the reader coroutine is running
    bool writing_ = false;                // the writer coroutine is running
    bool waitingForRequest_ = false;      // the reader is waiting for the first byte of a request
    bool timedOut_ = false;               // the read was cancelled by timeOutRead()
    bool lastRequestRead_ = false;        // all further input is discarded
    bool lastResponseChosen_ = false;     // the last response was started; later requests are not run
    bool lastResponseSent_ = false;
    bool clientDisconnected_ = false;
    bool closed_ = false;
    Nanos idleSince_ = 0;
    Nanos idleTimeout_ = 0;  // the configured value when the connection became idle
};

}  // namespace lichenlanding::proxy
