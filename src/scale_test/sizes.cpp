#include "scale_test/sizes.hpp"

#include "config/configuration.hpp"
#include "hashing/rendezvous.hpp"
#include "messages/codec.hpp"
#include "proxy/peer_messages.hpp"
#include "scale_test/hollow.hpp"
#include "transport/compression.hpp"
#include "transport/event_loop.hpp"

namespace lichenlanding::scale_test {
namespace {

using namespace transport;
using Json = nlohmann::json;

template <typename Work>
double measureMilliseconds(Work work) {
    const Nanos start = now();
    work();
    return static_cast<double>(now() - start) / 1e6;
}

// The message's size on the wire, and the times to encode and decode it for one connection.
Json measureMessage(const Json& message) {
    std::string encoded;
    Json figures;
    figures["pack_ms"] = measureMilliseconds([&] {
        std::string bytes;
        Json::to_cbor(message, bytes);
        encoded = compress(bytes);
    });
    figures["bytes"] = encoded.size();
    figures["open_ms"] =
        measureMilliseconds([&] { [[maybe_unused]] const auto read = Json::from_cbor(decompress(encoded)); });
    return figures;
}

}  // namespace

Json sizes(const ScenarioConfig& scenario) {
    Json all;
    const auto body = buildConfiguration(scenario, 0);
    std::string compressed;
    const auto compressionMs = measureMilliseconds([&] { compressed = compress(body); });
    auto& figures = all["configuration"] = measureMessage(
        {{"t", "configuration"}, {"version", 1}, {"squeezed", messages::encodeBytes(compressed)}});
    figures["squeeze_ms"] = compressionMs;
    figures["body_bytes"] = body.size();
    figures["read_ms"] =
        measureMilliseconds([&] { [[maybe_unused]] const auto read = config::Configuration::parse(body); });

    Json list = Json::array();
    for (std::int64_t n = 0; n < scenario.pods; ++n)
        list.push_back(messages::encode(podEndpoint(scenario, n)));
    all["list"] =
        measureMessage({{"t", "pods"}, {"change", 1}, {"stamp", 1}, {"set", list}, {"gone", Json::array()}});
    if (scenario.pods > 0)
        all["pod_change"] = measureMessage({{"t", "pods"},
                                            {"change", 1},
                                            {"stamp", 1},
                                            {"set", {list.front()}},
                                            {"gone", {podEndpoint(scenario, 1).id}}});

    Json roster = Json::object();
    for (std::int64_t n = 0; n < scenario.proxies; ++n)
        roster[simulatedProxyName(n)] = simulatedProxyAddress(n) + ":" + std::to_string(20000);
    all["roster"] = measureMessage({{"t", proxy::wire::kRoster}, {proxy::wire::kRosterProxies, roster}});

    // Running totals of one proxy for one service, with some hundreds of outcomes on each route.
    verdict::Totals totals;
    for (std::int64_t route = 0; route < std::max<std::int64_t>(scenario.routes / scenario.services, 1);
         ++route)
        for (int side = 0; side < 2; ++side) {
            auto& counts =
                totals["r-" + std::to_string(hashing::hash("route", std::to_string(route)) % 100'000'000)]
                      [static_cast<std::size_t>(side)];
            for (std::size_t bin = 0; bin < counts.bins.size(); ++bin)
                counts.bins[bin] = static_cast<std::uint32_t>(
                    hashing::hash(std::to_string(bin), std::to_string(route * 2 + side)) % 60);
        }
    all["counts"] =
        measureMessage(encode(proxy::OutcomeCounts{simulatedProxyName(0), 1, 1, "s1\nv2", totals}));
    return all;
}

}  // namespace lichenlanding::scale_test
