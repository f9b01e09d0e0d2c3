// Clients and operators of a soak test that send as much as they may and take as little as they can, in
// bursts: pipelined large bodies, requests whose responses nobody reads, connections without any request,
// incomplete and invalid configurations.
#pragma once

#include "soak/soak_world.hpp"

namespace soak {

class HeavyClients {
  public:
    HeavyClients(Cluster& cluster, Ledger& ledger, std::vector<std::string> proxies,
                 std::vector<std::string> controlNodes, std::uint32_t seed)
        : cluster_(cluster),
          ledger_(ledger),
          proxies_(std::move(proxies)),
          controlNodes_(std::move(controlNodes)),
          random_(seed) {}

    void start();
    void stop() { stopping_ = true; }
    bool ended() const { return running_ == 0; }

  private:
    struct Burst {
        std::string address;
        std::string bytes;  // sent on each connection; nothing is read
        int connections = 0;
    };
    Task<> run();
    Burst nextBurst();
    Burst pipelinedBodies(const std::string& proxy);
    Burst unreadResponses(const std::string& proxy);
    Burst invalidConfiguration(const std::string& controlNode);
    std::string request(const std::string& proxy, const std::string& method, std::size_t bodyBytes);
    Task<> sendOnAll(Burst burst);

    Cluster& cluster_;
    Ledger& ledger_;
    std::vector<std::string> proxies_, controlNodes_;
    std::mt19937 random_;
    std::uint64_t lastNumber_ = 0;
    int running_ = 0;
    bool stopping_ = false;
};

}  // namespace soak
