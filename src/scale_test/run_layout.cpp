#include "scale_test/run_layout.hpp"

#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "transport/event_loop.hpp"

namespace lichenlanding::scale_test {
namespace {

using namespace transport;
using Json = nlohmann::json;

constexpr int kFirstPort = 20000, kPortsEnd = 32000;  // below the kernel's ephemeral ports
constexpr int kPortStep = 8, kMaxPortAttempts = 500;
constexpr std::int64_t kMaxSeeds = 3;
constexpr const char* kRegion = "region";

// Values of "role" in a settings file.
constexpr const char* kControlNodeRole = "prompter";
constexpr const char* kProxyRole = "foyer";

std::string formatAddress(const char* network, std::int64_t n, int port) {
    return network + std::to_string(n + 1) + ":" + std::to_string(port);
}

std::string writeFile(const std::string& folder, const std::string& name, const Json& settings) {
    const auto path = folder + "/" + name + ".json";
    std::ofstream(path) << settings.dump();
    return path;
}

bool isFree(int port) {
    asio::io_context io;
    for (int offset = 0; offset < kPortsPerNode; ++offset) {
        tcp::acceptor acceptor(io);
        ErrorCode error;
        acceptor.open(tcp::v4(), error);
        acceptor.bind({tcp::v4(), static_cast<unsigned short>(port + offset)}, error);
        if (error) return false;
    }
    return true;
}

}  // namespace

std::string RunLayout::controlNodeAddress(std::int64_t n, PortOffset port) const {
    return formatAddress("127.71.0.", n, port_ + port);
}

std::string RunLayout::proxyAddress(std::int64_t n, PortOffset port) const {
    return formatAddress("127.72.0.", n, port_ + port);
}

std::string RunLayout::controlNodeName(std::int64_t n) { return "control-node-" + std::to_string(n + 1); }

std::string RunLayout::proxyName(std::int64_t n) { return "proxy-" + std::to_string(n + 1); }

std::vector<std::string> RunLayout::seedAddresses(PortOffset port) const {
    std::vector<std::string> seeds;
    for (std::int64_t seed = 0; seed < std::min(scenario_.controlNodes, kMaxSeeds); ++seed)
        seeds.push_back(controlNodeAddress(seed, port));
    return seeds;
}

Json RunLayout::commonSettings(const std::string& name, std::int64_t n, const std::string& platform) const {
    Json zones = Json::object();
    for (std::int64_t zone = 0; zone < scenario_.zones; ++zone) zones[zoneName(zone)] = kRegion;
    return {
        {"node_name", name},
        {"zone", zoneName(n % scenario_.zones)},
        {"region", kRegion},
        {"zones", zones},
        {"internal_ports", {port_, port_}},
        {"seed_nodes", seedAddresses(kControlPlanePort)},
        {"heartbeat", std::to_string(kHeartbeatMs) + "ms"},
        {"fault_tolerance", {{"machines", (scenario_.controlNodes - 1) / 2}, {"zones", 0}, {"regions", 0}}},
        {"cloud_api", {{"address", platform}, {"rate_per_s", scenario_.listCallsPerSecond}}}};
}

std::string RunLayout::writeControlNodeSettings(const std::string& folder, std::int64_t n, bool bootstrap,
                                                const std::string& platform) const {
    const auto name = controlNodeName(n);
    const auto dataDirectory = folder + "/" + name;
    std::filesystem::create_directories(dataDirectory);
    auto settings = commonSettings(name, n, platform);
    settings.update({{"role", kControlNodeRole},
                     {"machine_class", "core"},
                     {"serves", Json::array({"control"})},
                     {"ip_address", hostOf(controlNodeAddress(n, kPeerPort))},
                     {"listen_addresses", {{"control_plane", controlNodeAddress(n, kControlPlanePort)}}},
                     {"bootstrap", bootstrap},
                     {"quorum_member", true},
                     {"limits", {{"disk_mb", 256}, {"memory_mb", 256}}},
                     {"data_dir", dataDirectory}});
    return writeFile(folder, name, settings);
}

std::string RunLayout::writeProxySettings(const std::string& folder, std::int64_t n,
                                          const std::string& platform) const {
    const auto name = proxyName(n);
    auto settings = commonSettings(name, n, platform);
    settings.update(
        {{"role", kProxyRole},
         {"machine_class", "edge"},
         {"serves", Json::array({"edge"})},
         {"ip_address", hostOf(proxyAddress(n, kPeerPort))},
         {"listen_addresses",
          {{"front_http", proxyAddress(n, kHttpPort)}, {"readiness", proxyAddress(n, kReadinessPort)}}},
         {"bootstrap", true},
         {"quorum_member", false},
         {"limits", {{"disk_mb", 0}, {"memory_mb", 256}}},
         {"data_dir", nullptr}});
    return writeFile(folder, name, settings);
}

int findFreePorts() {
    int port = kFirstPort + static_cast<int>(getpid()) * kPortStep % (kPortsEnd - kFirstPort);
    for (int attempt = 0; attempt < kMaxPortAttempts; ++attempt) {
        if (isFree(port)) return port;
        port = port + kPortStep < kPortsEnd ? port + kPortStep : kFirstPort;
    }
    throw std::runtime_error("scale-test: no consecutive free ports found");
}

}  // namespace lichenlanding::scale_test
