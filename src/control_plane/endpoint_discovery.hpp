// Polls the platform's list of endpoints, within its rate limit, while this process holds the lease for that,
// and sends changes to proxies.
#pragma once

#include "config/bootstrap_settings.hpp"
#include "control_plane/endpoint_list_client.hpp"
#include "subscription/configuration_cache.hpp"
#include "transport/event_loop.hpp"

namespace lichenlanding::control_plane {

/// Runs on the event loop's thread.
class EndpointDiscovery {
  public:
    using Json = nlohmann::json;

    /// `term` returns the term of the lease while this process holds it, else 0. `broadcast` sends to all
    /// proxies. All must outlive this object.
    EndpointDiscovery(transport::asio::io_context& io, const config::BootstrapSettings& boot,
                      subscription::ConfigurationCache& cache, std::function<std::uint64_t()> term,
                      std::function<void(const Json&)> broadcast)
        : io_(io), boot_(boot), cache_(cache), term_(std::move(term)), broadcast_(std::move(broadcast)) {}

    /// Never returns. Idle while this process does not hold the lease.
    transport::Task<> run();

    std::uint64_t requests() const { return requests_; }        ///< pages requested
    std::uint64_t rateLimited() const { return rateLimited_; }  ///< of these, answered with status 429

  private:
    struct EndpointList {
        std::vector<discovery::Endpoint> endpoints;
        int requests = 0;
        bool complete = false;
    };

    Nanos requestGap() const;
    Nanos pollInterval(int pages) const;
    transport::Task<EndpointList> readList(EndpointListClient& client, std::uint64_t term);
    transport::Task<> readPages(EndpointListClient& client, std::uint64_t term, EndpointList& list);
    bool shouldRetryPage(std::uint64_t term, bool firstPage, Nanos startedAt);
    void onListRead(const std::vector<discovery::Endpoint>& endpoints, std::uint64_t term);

    transport::asio::io_context& io_;
    const config::BootstrapSettings& boot_;
    subscription::ConfigurationCache& cache_;
    std::function<std::uint64_t()> term_;
    std::function<void(const Json&)> broadcast_;
    std::uint64_t requests_ = 0, rateLimited_ = 0;
    bool restarted_ = false;  // reading was restarted since the last complete list
    Nanos digestSentAt_ = 0;
};

}  // namespace lichenlanding::control_plane
