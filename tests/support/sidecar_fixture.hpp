// A complete sidecar with test servers as pods, discovery and platform, on free loopback ports.
#pragma once

#include <chrono>
#include <memory>

#include "sidecar/sidecar.hpp"
#include "support/http_stand_in.hpp"
#include "support/policy_fixture.hpp"

/// Runs the event loops of the sidecar and the test in this thread, one pass each, until a condition holds.
class SidecarFixture {
  public:
    ~SidecarFixture() {
        connections_.clear();
        pods.clear();
    }

    void start(int podCount, int descriptors = 1024, int maxInFlight = 1000) {
        sidecar::Config config;
        config.name = "n0";
        config.listen = {"127.0.0.1", 0};
        config.seed = 7;
        config.sockets = descriptors;
        config.settings = testSettings();
        config.settings.sidecarCount = 1;
        config.settings.connectTimeout = 5000 * kMs;
        config.settings.idleTimeout = 15000 * kMs;
        config.settings.clockGranularity = 5 * kMs;
        config.settings.maxInFlight = maxInFlight;
        const auto hold = [](auto& standIn, auto* request) { standIn.hold(request); };
        discovery = std::make_unique<HttpStandIn>(loop, hold);
        platform = std::make_unique<HttpStandIn>(loop, hold);
        config.discovery = discovery->address;
        config.platform = platform->address;
        config.endpoints.emplace();
        config.endpoints->complete = true;
        for (int pod = 0; pod < podCount; ++pod) {
            pods.push_back(std::make_unique<HttpStandIn>(loop, [this](auto& standIn, auto* request) {
                ++attempts;
                if (podHandler) return podHandler(standIn, request);
                standIn.respond(request, 200, "body");
            }));
            config.endpoints->entries.push_back(
                {"s-" + std::to_string(pod), pods.back()->address.text(), "a", 5});
        }
        config.rollout = sidecar::RolloutUpdate{5, 1, RolloutState::released, 1, 0};
        if (changeConfig) changeConfig(config);
        sidecar = std::make_unique<sidecar::Sidecar>(config, trust);
    }
    void runOnce() {
        loop.runOnce();
        if (sidecar) sidecar->loop().runOnce();
    }
    /// Fails after 30 s, far longer than any step takes, so that a slow machine does not change the result.
    template <typename Condition>
    void runUntil(Condition&& condition) {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(30);
        while (!condition()) {
            REQUIRE(std::chrono::steady_clock::now() < end);
            runOnce();
        }
    }
    /// Empty until the response has arrived.
    using PendingResponse = std::shared_ptr<std::optional<sidecar::CallResponse>>;
    PendingResponse call(const sidecar::HttpRequest& request) {
        auto pendingResponse = std::make_shared<std::optional<sidecar::CallResponse>>();
        connections_.push_back(std::make_unique<sidecar::Connection>(loop, sidecar->address(), 1 << 20));
        connections_.back()->call(request, 5000 * kMs, 0, [pendingResponse](sidecar::CallResponse response) {
            *pendingResponse = std::move(response);
        });
        return pendingResponse;
    }
    PendingResponse sendRequest(const std::string& group, const char* budget = "20000m") {
        const bool isRead = group == "read";
        return call({isRead ? EVHTTP_REQ_GET : EVHTTP_REQ_POST,
                     "/" + group,
                     {{"Host", "origin.svc"},
                      {"X-Call-Id", "c-" + std::to_string(connections_.size())},
                      {"X-Call-Class", group},
                      {"X-Budget", budget},
                      {"Idempotency-Key", "k"}},
                     isRead ? "" : "extract"});
    }

    sidecar::EventLoop loop;
    std::optional<sidecar::TrustConfig> trust;
    std::function<void(sidecar::Config&)> changeConfig;  // before the sidecar starts
    HttpStandIn::Handler podHandler;
    std::string podBehavior;  // for handlers that the test defines
    int attempts = 0;         // received by pods
    std::stringstream trace;
    std::unique_ptr<HttpStandIn> discovery, platform;
    std::vector<std::unique_ptr<HttpStandIn>> pods;
    std::unique_ptr<sidecar::Sidecar> sidecar;

  private:
    std::vector<std::unique_ptr<sidecar::Connection>> connections_;
};
