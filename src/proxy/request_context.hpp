/// The state of one client request from its receipt to its response.
#pragma once

#include "proxy/upstream.hpp"
#include "transport/bounded_parser.hpp"

namespace lichenlanding::proxy {

using RequestParser = transport::BoundedParser<true>;

/// Shared by the connection, which reads the request and writes the response, and the request's handler. Used
/// from one thread: the proxy's event loop.
struct RequestContext {
    Request request;
    limits::MemoryBudget::Share fieldMemory;     ///< for the fields of `request`
    limits::MemoryBudget::Share handlingMemory;  ///< for the header of `request`, and for its handling
    limits::MemoryBudget::Share requestMemory;   ///< for the body of `request`
    Response response;
    limits::MemoryBudget::Share responseFieldMemory;  ///< for the fields of `response`
    limits::MemoryBudget::Share responseMemory;       ///< for the body of `response`
    bool responseReady = false;                       ///< `response` (and `unreadResponse`) may be written
    bool closesConnection = false;                    ///< the connection is closed after this response
    bool omitsResponseBody = false;                   ///< HEAD: the response has no body
    /// For a request body that is too large to buffer: the parser that reads the rest; `request` holds the
    /// first part. Null for others.
    std::shared_ptr<RequestParser> upload;
    bool uploadStarted = false;  ///< part of the rest was read, so that no further attempt is possible
    bool uploadEnded = false;    ///< the relay of the rest has ended
    /// The rest of a response that is too large to buffer; null: none.
    std::unique_ptr<UnreadBody> unreadResponse;
    routing::RoutedRequest routed;
    std::shared_ptr<const config::Configuration> configuration;  ///< keeps `routed.route` alive
    /// Called if the client disconnects before the response; may be empty.
    std::function<void()> onClientDisconnected;

    /// Frees the memory of the response once it is written: attempts that are still running keep the request.
    void releaseResponse() {
        response = Response();
        responseFieldMemory.release();
        responseMemory.release();
    }
};

}  // namespace lichenlanding::proxy
