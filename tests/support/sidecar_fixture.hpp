// A whole sidecar among stand-ins for pods, discovery and platform, on free loopback ports.
#pragma once

#include <chrono>
#include <memory>

#include "sidecar/sidecar.hpp"
#include "support/http_stand_in.hpp"
#include "support/policy_fixture.hpp"

/// The event loops of both sides run in this thread, one pass each, until a condition holds.
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
    /// Gives up only after far longer than anything here takes, so that a slow machine changes no result.
    template <typename Condition>
    void runUntil(Condition&& condition) {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(30);
        while (!condition()) {
            REQUIRE(std::chrono::steady_clock::now() < end);
            runOnce();
        }
    }
    /// Nothing until the response has come.
    using PendingResponse = std::shared_ptr<std::optional<sidecar::CallResponse>>;
    PendingResponse call(const sidecar::HttpRequest& request) {
        auto slot = std::make_shared<std::optional<sidecar::CallResponse>>();
        connections_.push_back(std::make_unique<sidecar::Connection>(loop, sidecar->address(), 1 << 20));
        connections_.back()->call(request, 5000 * kMs, 0,
                                  [slot](sidecar::CallResponse response) { *slot = std::move(response); });
        return slot;
    }
    PendingResponse sendRequest(const std::string& group, const char* budget = "20000m") {
        const bool read = group == "read";
        return call({read ? EVHTTP_REQ_GET : EVHTTP_REQ_POST,
                     "/" + group,
                     {{"Host", "origin.svc"},
                      {"X-Call-Id", "c-" + std::to_string(connections_.size())},
                      {"X-Call-Class", group},
                      {"X-Budget", budget},
                      {"Idempotency-Key", "k"}},
                     read ? "" : "extract"});
    }

    sidecar::EventLoop loop;
    std::optional<sidecar::TrustConfig> trust;
    std::function<void(sidecar::Config&)> changeConfig;  // before the sidecar starts
    HttpStandIn::Handler podHandler;
    std::string script;
    int attempts = 0;  // that pods have received
    std::stringstream trace;
    std::unique_ptr<HttpStandIn> discovery, platform;
    std::vector<std::unique_ptr<HttpStandIn>> pods;
    std::unique_ptr<sidecar::Sidecar> sidecar;

  private:
    std::vector<std::unique_ptr<sidecar::Connection>> connections_;
};
