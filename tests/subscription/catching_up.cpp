// The cost of catching up depends on the size of the state, not on the number of changes: bytes and messages
// of a restarted control node and a restarted proxy after 10, 300 and 1,100 changes; and the compressed size
// of a configuration of 24,000 routes on a slow link. Costs are counted, not timed.
#include <iostream>
#include <random>

#include "config/configuration.hpp"
#include "messages/codec.hpp"
#include "support/replica_node_fixture.hpp"
#include "support/subscription_fixture.hpp"
#include "transport/compression.hpp"

using namespace replica_fixture;
using subscription_fixture::ConfigurationCache, subscription_fixture::pods;

namespace {

struct Cost {
    std::size_t messages = 0, bytes = 0;
    void add(const Json& message) { ++messages, bytes += PeerConnection::encode(message)->size(); }
};

// An incompressible value, of the same size for every change.
std::string valueOf(int change) {
    std::string value(20'000, 'v');
    std::mt19937 random(static_cast<unsigned>(change));
    for (auto& byte : value) byte = static_cast<char>(random());
    return value;
}

// A realistic configuration with `routes` routes.
std::string configuration(int routes) {
    std::string all = R"({"config_version":"0000000c","resources":[)";
    for (int at = 0; at < routes; ++at) {
        const auto number = std::to_string(at);
        all += R"({"resource_type":"route_table","metadata":{"name":"r-)" + number +
               R"("},"spec":{"hostname":"h)" + std::to_string(at % 400) + R"(.example","path_prefix":"/p)" +
               number +
               R"(/","route_class":"idempotent","timeout":"2500ms","target_latency":"600ms","priority":2,)"
               R"("service_name":"s)" +
               std::to_string(at % 420) + R"(","max_attempts":2}},)";
    }
    for (int at = 0; at < 420; ++at)
        all +=
            R"({"resource_type":"service_table","metadata":{"name":"s)" + std::to_string(at) +
            R"("},"spec":{"health_check":"/health","max_connections":110,"protocol":"h1","tls_enabled":false}},)";
    all.back() = ']';
    return all + "}";
}

// The cost of the exchange between a control node and a proxy that has just connected.
Cost exchange(ConfigurationCache& controlNode, ConfigurationCache& proxy) {
    Cost cost;
    subscription_fixture::deliver(controlNode, proxy, controlNode.digestMessage(),
                                  ConfigurationCache::MessageSource::controlNode,
                                  [&](const Json& message) { cost.add(message); });
    return cost;
}

constexpr int kChanges[] = {10, 300, 1100};

// Checks the costs for all numbers of changes against the same bounds.
void expectBounded(const std::string& what, const std::vector<Cost>& costs, std::size_t messages,
                   std::size_t bytes) {
    for (const auto& cost : costs) {
        std::cerr << "  catching up, " << what << ": " << cost.messages << " messages, " << cost.bytes
                  << " bytes\n";
        CPPUNIT_ASSERT_MESSAGE(what, cost.messages <= messages);
        CPPUNIT_ASSERT_MESSAGE(what, cost.bytes <= bytes);
    }
}

}  // namespace

class CatchingUpTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CatchingUpTest);
    CPPUNIT_TEST(controlNodes);
    CPPUNIT_TEST(proxies);
    CPPUNIT_TEST(largeConfiguration);
    CPPUNIT_TEST_SUITE_END();

    static const std::string& value(const ControlNode& node) {
        return node.replica->known(control_plane::kConfigurationKey).value;
    }
    static bool votes(Cluster& cluster, const std::vector<int>& all) {
        return cluster.hasQuorumContact(all) && std::all_of(all.begin(), all.end(), [&](int at) {
                   return cluster.replica(at).isVotingMember();
               });
    }
    // Repeats the write until there is quorum contact.
    static void change(Cluster& cluster, int at, const std::string& to) {
        cluster.until("a change is accepted", [&] { return cluster.write(at, to, kSecond) == to; });
    }

  public:
    // The third of three machines is down while the two others accept all changes. It comes back with its old
    // disk or an empty one. Counts the messages that it and the others exchange until it has the newest
    // value.
    void controlNodes() {
        for (const bool empty : {false, true}) {
            std::vector<Cost> costs;
            for (const int count : kChanges) {
                Cluster machines(3);
                {
                    Cluster before(3, 3);
                    before.until("all three vote", [&] { return votes(before, {0, 1, 2}); });
                    change(before, 0, valueOf(0));
                    before.until("all three have the value", [&] {
                        return std::all_of(before.nodes.begin(), before.nodes.end(),
                                           [&](const auto& member) { return !value(*member).empty(); });
                    });
                    // The processes end; their disks are kept.
                    machines.port = before.port, machines.disks.swap(before.disks);
                }
                for (const int at : {0, 1}) machines.launch(at, false);
                for (int number = 1; number <= count; ++number) change(machines, number % 2, valueOf(number));
                if (empty) machines.disks[2].restore({});
                const auto newest = valueOf(count);
                machines.until("the two others have the newest value", [&] {
                    return value(*machines.nodes[0]) == newest && value(*machines.nodes[1]) == newest;
                });
                machines.launch(2, false);
                auto& cost = costs.emplace_back();
                const auto third = machines.nodes[2]->ownAddress();
                for (const auto& node : machines.nodes)
                    node->onDelivered = [&cost, third, all = node->ownAddress() == third](
                                            const PeerConnection& link, const Json& message) {
                        // Pings are sent regardless of what there is to catch up with.
                        const bool ping = message.at("t") == "ping" || message.at("t") == "pong";
                        if ((all || link.peer == third) && !ping) cost.add(message);
                    };
                machines.until("the third has the newest value",
                               [&] { return value(*machines.nodes[2]) == newest && votes(machines, {2}); });
            }
            // Proposals that collide are repeated, so the counts vary slightly between runs.
            expectBounded(empty ? "control node, empty disk" : "control node, old disk", costs, 100,
                          15 * valueOf(0).size());
        }
    }

    // A new proxy, and one that reconnects with old state, after a number of changes of the configuration and
    // as many of the list (40 pods at any time, each replaced in turn).
    void proxies() {
        std::vector<Cost> empty;
        std::vector<Cost> old;
        for (const int count : kChanges) {
            ConfigurationCache controlNode{{}};
            ConfigurationCache reconnecting{{}};
            controlNode.setConfiguration(1, valueOf(0));
            controlNode.setRollouts(0, "[]");
            controlNode.updateEndpoints(pods(10'000, 10'040), 1);
            exchange(controlNode, reconnecting);
            for (int change = 1; change <= count; ++change) {
                controlNode.setConfiguration(static_cast<std::uint32_t>(change + 1), valueOf(change));
                controlNode.setRollouts(change, "[]");
                controlNode.updateEndpoints(pods(10'000 + change, 10'040 + change),
                                            1 + static_cast<std::uint64_t>(change) / 100);
            }
            ConfigurationCache newProxy{{}};
            empty.push_back(exchange(controlNode, newProxy));
            old.push_back(exchange(controlNode, reconnecting));
            for (const auto* one : {&newProxy, &reconnecting}) {
                CPPUNIT_ASSERT(one->digestMessage() == controlNode.digestMessage());
                CPPUNIT_ASSERT(one->endpoints().endpoints() == controlNode.endpoints().endpoints());
            }
        }
        expectBounded("proxy, empty", empty, 5, 21'000);
        expectBounded("proxy, with old updates", old, 5, 22'000);
    }

    // 24,000 routes: their size on disk and on the wire, and that they are parsed.
    void largeConfiguration() {
        const auto body = configuration(24'000);
        const auto compressed = compress(body);
        const auto packed = PeerConnection::encode(
            Json{{"t", "configuration"}, {"squeezed", messages::encodeBytes(compressed)}});
        std::cerr << "  24,000 routes: " << body.size() << " bytes, compressed " << compressed.size()
                  << ", as a message " << packed->size() << "\n";
        CPPUNIT_ASSERT(compressed.size() * 8 < body.size());
        CPPUNIT_ASSERT(packed->size() > kMaxUnchunkedBytes);  // so it is sent in chunks
        CPPUNIT_ASSERT_EQUAL(std::size_t(24'000),
                             config::Configuration::parse(decompress(compressed)).routes.size());
        // The transfer time to a proxy on a link of 2 Mbit/s.
        const auto seconds = static_cast<double>(packed->size()) * 8 / 2e6;
        CPPUNIT_ASSERT(seconds < 3);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(CatchingUpTest);
