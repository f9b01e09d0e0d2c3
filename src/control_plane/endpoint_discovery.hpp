// The duty for the platform's list: asks for it, whole, within the platform's rate, and pushes what changed.
#pragma once

#include "config/bootstrap_settings.hpp"
#include "subscription/configuration_cache.hpp"
#include "transport/event_loop.hpp"

namespace lichenlanding::control_plane {

class EndpointDiscovery {
  public:
    using Json = nlohmann::json;

    // `term`: of the duty while it is this control node's, else 0; `tell`: to all proxies. All outlive this.
    EndpointDiscovery(transport::asio::io_context& io, const config::BootstrapSettings& boot,
                      subscription::ConfigurationCache& cache, std::function<std::uint64_t()> term,
                      std::function<void(const Json&)> tell)
        : io_(io), boot_(boot), cache_(cache), term_(std::move(term)), tell_(std::move(tell)) {}

    transport::Task<> run();  // for good; off duty it only waits

    std::uint64_t requests() const { return requests_; }        // pages asked for
    std::uint64_t rateLimited() const { return rateLimited_; }  // of these, over the platform's rate

  private:
    Nanos callGap() const;
    void onListRead(const std::vector<discovery::Endpoint>& members, std::uint64_t term);

    transport::asio::io_context& io_;
    const config::BootstrapSettings& boot_;
    subscription::ConfigurationCache& cache_;
    std::function<std::uint64_t()> term_;
    std::function<void(const Json&)> tell_;
    std::uint64_t requests_ = 0, rateLimited_ = 0;
    Nanos compared_ = 0;
};

}  // namespace lichenlanding::control_plane
