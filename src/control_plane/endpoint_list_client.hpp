// The platform's HTTP API for the list of endpoints: one connection, kept open from page to page.
#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "config/bootstrap_settings.hpp"
#include "discovery/endpoint_set.hpp"
#include "transport/event_loop.hpp"

namespace lichenlanding::control_plane {

/// A page of the list.
struct EndpointListPage {
    std::vector<discovery::Endpoint> endpoints;
    std::optional<std::string> nextToken;  ///< null: it is the last one
};
/// Throws nlohmann::json::exception on a body of another shape.
EndpointListPage decodeEndpointListPage(const std::string& body);

/// Used by one coroutine, on the event loop's thread.
class EndpointListClient {
  public:
    using Response = boost::beast::http::response<boost::beast::http::string_body>;

    /// `boot` names the platform's address, and outlives this object.
    EndpointListClient(transport::asio::io_context& io, const config::BootstrapSettings& boot);

    /// Connects where there is no connection. `token` of the page, "" for the first one. Throws
    /// boost::system::system_error where the platform can't be reached or doesn't answer in time; then
    /// reset() comes before the next request.
    transport::Task<Response> requestPage(const std::string& token);
    void reset();

  private:
    transport::asio::io_context& io_;
    const config::BootstrapSettings& boot_;
    std::unique_ptr<transport::beast::tcp_stream> stream_;
    transport::beast::flat_buffer buffer_;
    bool connected_ = false;
};

}  // namespace lichenlanding::control_plane
