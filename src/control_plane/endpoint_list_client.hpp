// Client of the platform's HTTP API for the list of endpoints. Uses one connection, kept open between pages.
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
    std::optional<std::string> nextToken;  ///< null on the last page
};
/// Throws nlohmann::json::exception if a field is missing or has the wrong type.
EndpointListPage decodeEndpointListPage(const std::string& body);

/// Used by one coroutine, on the event loop's thread.
class EndpointListClient {
  public:
    using Response = boost::beast::http::response<boost::beast::http::string_body>;

    /// `boot` has the platform's address, and must outlive this object.
    EndpointListClient(transport::asio::io_context& io, const config::BootstrapSettings& boot);

    /// Requests the page with this token, "" for the first page. Connects if there is no connection. Throws
    /// boost::system::system_error if the platform cannot be reached or does not answer in time; call reset()
    /// before the next request then.
    transport::Task<Response> requestPage(const std::string& token);
    /// Closes the connection.
    void reset();

  private:
    transport::asio::io_context& io_;
    const config::BootstrapSettings& boot_;
    const std::uint64_t maxBodyBytes_;  // of a page
    std::unique_ptr<transport::beast::tcp_stream> stream_;
    transport::beast::flat_buffer buffer_;
    bool connected_ = false;
};

}  // namespace lichenlanding::control_plane
