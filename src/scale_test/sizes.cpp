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
double millis(Work work) {
    const Nanos began = now();
    work();
    return static_cast<double>(now() - began) / 1e6;
}

// On the wire, made for one connection, and read from one.
Json measured(const Json& message) {
    std::string packed;
    Json told;
    told["pack_ms"] = millis([&] {
        std::string bytes;
        Json::to_cbor(message, bytes);
        packed = compress(bytes);
    });
    told["bytes"] = packed.size();
    told["open_ms"] = millis([&] { [[maybe_unused]] const auto read = Json::from_cbor(decompress(packed)); });
    return told;
}

}  // namespace

Json sizes(const ScenarioConfig& plan) {
    Json all;
    const auto body = configuration(plan, 0);
    std::string compressed;
    const auto squeezing = millis([&] { compressed = compress(body); });
    auto& told = all["configuration"] =
        measured({{"t", "configuration"}, {"version", 1}, {"squeezed", messages::encodeBytes(compressed)}});
    told["squeeze_ms"] = squeezing;
    told["body_bytes"] = body.size();
    told["read_ms"] = millis([&] { [[maybe_unused]] const auto read = config::Configuration::parse(body); });

    Json list = Json::array();
    for (std::int64_t n = 0; n < plan.pods; ++n) list.push_back(messages::encode(pod(plan, n)));
    all["list"] =
        measured({{"t", "pods"}, {"change", 1}, {"stamp", 1}, {"set", list}, {"gone", Json::array()}});
    if (plan.pods > 0)
        all["pod_change"] = measured({{"t", "pods"},
                                      {"change", 1},
                                      {"stamp", 1},
                                      {"set", {list.front()}},
                                      {"gone", {pod(plan, 1).id}}});

    Json roster = Json::object();
    for (std::int64_t n = 0; n < plan.proxies; ++n)
        roster[hollowName(n)] = hollowAddress(n) + ":" + std::to_string(20000);
    all["roster"] = measured({{"t", proxy::wire::kRoster}, {proxy::wire::kRosterProxies, roster}});

    // One proxy's running totals of one service: some hundreds of outcomes on each of its routes.
    verdict::Totals totals;
    for (std::int64_t route = 0; route < std::max<std::int64_t>(plan.routes / plan.services, 1); ++route)
        for (int side = 0; side < 2; ++side) {
            auto& counts =
                totals["r-" + std::to_string(hashing::hash("route", std::to_string(route)) % 100'000'000)]
                      [static_cast<std::size_t>(side)];
            for (std::size_t bin = 0; bin < counts.bins.size(); ++bin)
                counts.bins[bin] = static_cast<std::uint32_t>(
                    hashing::hash(std::to_string(bin), std::to_string(route * 2 + side)) % 60);
        }
    all["counts"] = measured(encode(proxy::OutcomeCounts{hollowName(0), 1, 1, "s1\nv2", totals}));
    return all;
}

}  // namespace lichenlanding::scale_test
