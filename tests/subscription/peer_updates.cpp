// Updates among many proxies in virtual time: the real caches on a simulated network. Control nodes push
// changes; each proxy watches three others and repairs its copy by anti-entropy. Counts messages and bytes
// per proxy and the heartbeats until all copies agree. The random generator is seeded.
#include "hashing/rendezvous.hpp"
#include "messages/codec.hpp"
#include "support/subscription_fixture.hpp"
#include "support/transcript.hpp"

using namespace subscription_fixture;

namespace {

constexpr Nanos kMillisecond = 1'000'000, kSecond = 1000 * kMillisecond;
constexpr Nanos kHeartbeat = 1500 * kMillisecond;

// One control node (number 0) and proxies that subscribe to it. Links take 1 ms and lose messages.
class Network {
  public:
    Network(std::size_t proxies, std::uint64_t seed) : random(seed) {
        caches.emplace_back(ConfigurationCache::Subscriber{});
        names.emplace_back("control-node");
        std::vector<std::string> all;
        for (std::size_t at = 1; at <= proxies; ++at) {
            names.push_back("edge-" + std::to_string(at));
            all.push_back(names.back());
            caches.emplace_back(ConfigurationCache::Subscriber{});
            numbers[names.back()] = at;
        }
        for (std::size_t at = 1; at <= proxies; ++at)
            for (const auto& name : hashing::watchedPeers(all, names[at]))
                watchLinks.emplace_back(at, numbers[name]);
        sent.resize(proxies + 1), bytes.resize(proxies + 1), partitioned.resize(proxies + 1);
    }
    void send(std::size_t from, std::size_t to, const Json& message) {
        const auto size = Json::to_cbor(message).size();
        ++sent[from], bytes[from] += size;
        if (from * to == 0 && (partitioned[from] || partitioned[to]))
            return;  // partitioned from the control node
        if (loss > 0 && random() % 100 < static_cast<unsigned>(loss)) return;
        const Nanos delay = reordering ? static_cast<Nanos>(random() % 50) * kMillisecond : 0;
        inTransit_.emplace(std::pair(now + kMillisecond + delay, ++order_), std::tuple(from, to, message));
    }
    void broadcast(const Json& message) {
        if (message.is_null()) return;
        for (std::size_t to = 1; to < caches.size(); ++to) send(0, to, message);
    }
    // One heartbeat: digests to the watched proxies, then all messages that result.
    void round() {
        for (const auto& [from, to] : watchLinks) send(from, to, caches[from].digestMessage());
        deliverAll();
        now += kHeartbeat;
    }
    void deliverAll() {
        for (std::size_t steps = 0; !inTransit_.empty(); ++steps) {
            CPPUNIT_ASSERT_MESSAGE("messages never end", steps < 400 * caches.size());
            const auto [at, what] = *inTransit_.begin();
            inTransit_.erase(inTransit_.begin());
            now = std::max(now, at.first);
            const auto& [from, to, message] = what;
            const auto role = to == 0     ? ConfigurationCache::MessageSource::subscriber
                              : from == 0 ? ConfigurationCache::MessageSource::controlNode
                                          : ConfigurationCache::MessageSource::peerProxy;
            caches[to].handleMessage(message, role, now,
                                     [&, from = from, to = to](const Json& reply) { send(to, from, reply); });
        }
    }
    std::size_t countAgreeing() const {
        std::size_t count = 0;
        for (std::size_t at = 1; at < caches.size(); ++at) {
            const auto mine = caches[at].digestMessage();
            const auto theirs = caches[0].digestMessage();
            count += mine["configuration"] == theirs["configuration"] &&
                     mine["rollouts"] == theirs["rollouts"] && mine.value("sums", Json()) == theirs["sums"];
        }
        return count;
    }
    void resetCounts() { std::fill(sent.begin(), sent.end(), 0), std::fill(bytes.begin(), bytes.end(), 0); }
    std::size_t maxOf(const std::vector<std::size_t>& of) const {
        return *std::max_element(of.begin() + 1, of.end());
    }

    std::mt19937_64 random;
    std::vector<ConfigurationCache> caches;
    std::vector<std::string> names;
    std::map<std::string, std::size_t> numbers;
    std::vector<std::pair<std::size_t, std::size_t>> watchLinks;
    std::vector<std::size_t> sent, bytes;
    std::vector<bool> partitioned;
    int loss = 0;  // percent of the messages
    bool reordering = false;
    Nanos now = 100 * kSecond;

  private:
    std::map<std::pair<Nanos, std::uint64_t>, std::tuple<std::size_t, std::size_t, Json>> inTransit_;
    std::uint64_t order_ = 0;
};

void begin(Network& network, int count) {
    network.caches[0].setConfiguration(7, std::string(3000, 'c'));
    network.caches[0].setRollouts(0, "[]");
    network.caches[0].updateEndpoints(pods(0, count), 1);
    network.broadcast(network.caches[0].digestMessage());
    network.deliverAll();
    CPPUNIT_ASSERT_EQUAL(network.caches.size() - 1, network.countAgreeing());
}

}  // namespace

class PeerUpdatesTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PeerUpdatesTest);
    CPPUNIT_TEST(updatesReachProxiesCutOffFromControlNodes);
    CPPUNIT_TEST(cachesAgreeAfterLossAndReordering);
    CPPUNIT_TEST(removedEndpointsStayRemoved);
    CPPUNIT_TEST(costsStayWithinBounds);
    CPPUNIT_TEST(eachProxyWatchesThree);
    CPPUNIT_TEST_SUITE_END();

  public:
    // A third of the proxies lose every control node: they get the updates sent meanwhile from the proxies
    // that they watch.
    void updatesReachProxiesCutOffFromControlNodes() {
        Network network(12, 1);
        begin(network, 40);
        for (std::size_t at = 1; at <= 12; at += 3) network.partitioned[at] = true;
        network.caches[0].setConfiguration(9, "nine");
        network.broadcast(network.caches[0].versionsMessage());
        network.caches[0].setRollouts(3, "[3]");
        network.broadcast(network.caches[0].rolloutsMessage());
        auto listed = pods(2, 44, 6);
        network.broadcast(network.caches[0].updateEndpoints(listed, 1));
        network.deliverAll();
        CPPUNIT_ASSERT_EQUAL(std::size_t(8), network.countAgreeing());
        int rounds = 0;
        for (; rounds < 4 && network.countAgreeing() < 12; ++rounds) network.round();
        CPPUNIT_ASSERT_EQUAL(std::size_t(12), network.countAgreeing());
        CPPUNIT_ASSERT(rounds <= 2);
        for (std::size_t at = 1; at <= 12; ++at) {
            CPPUNIT_ASSERT_EQUAL(9U, network.caches[at].version());
            CPPUNIT_ASSERT(network.caches[at].endpoints().hasLeft(pod(0).id));
            CPPUNIT_ASSERT(network.caches[at].endpoints().endpoints().at(pod(4).id).draining);
        }
    }

    // A fifth of the messages is lost, others are duplicated by digests or reordered: in the end all copies
    // agree, for every seed.
    void cachesAgreeAfterLossAndReordering() {
        for (std::uint64_t seed = 1; seed <= 40; ++seed) {
            Network network(10, seed);
            begin(network, 30);
            network.loss = 20, network.reordering = true;
            for (int step = 1; step <= 8; ++step) {
                const int first = step;
                const int last = 30 + 2 * step;
                network.caches[0].setConfiguration(7 + static_cast<std::uint32_t>(step),
                                                   std::string(100, 'x'));
                network.broadcast(network.caches[0].versionsMessage());
                network.broadcast(
                    network.caches[0].updateEndpoints(pods(first, last, first + 2), 1 + step / 6));
                if (step % 2) network.deliverAll();
                network.round();
            }
            network.loss = 0;
            network.caches[0].updateEndpoints(pods(8, 46, 10), 2);
            network.broadcast(network.caches[0].digestMessage());
            network.deliverAll();
            for (int round = 0; round < 3; ++round) network.round();
            CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), std::size_t(10),
                                         network.countAgreeing());
        }
    }

    // A copy that was cut off for long never restores removed pods elsewhere, and draining pods stay
    // draining.
    void removedEndpointsStayRemoved() {
        Network network(6, 3);
        begin(network, 10);
        network.partitioned[1] = true;
        network.broadcast(network.caches[0].updateEndpoints(pods(3, 12, 5), 1));
        network.deliverAll();
        ConfigurationCache newProxy{
            ConfigurationCache::Subscriber{}};  // new, and first receives the digest of the old copy
        std::vector<Json> requests;
        newProxy.handleMessage(network.caches[1].digestMessage(),
                               ConfigurationCache::MessageSource::peerProxy, network.now,
                               [&](Json reply) { requests.push_back(std::move(reply)); });
        const auto exchange = [&](ConfigurationCache& from, ConfigurationCache::MessageSource role,
                                  const std::vector<Json>& messages) {
            std::vector<Json> answers;
            for (const auto& message : messages)
                from.handleMessage(message, ConfigurationCache::MessageSource::peerProxy, network.now,
                                   [&](Json reply) { answers.push_back(std::move(reply)); });
            std::vector<Json> next;
            for (const auto& answer : answers)
                newProxy.handleMessage(answer, role, network.now,
                                       [&](Json reply) { next.push_back(std::move(reply)); });
            return next;
        };
        exchange(network.caches[1], ConfigurationCache::MessageSource::peerProxy, requests);
        CPPUNIT_ASSERT(newProxy.endpoints().endpoints().contains(pod(0).id));  // so far from the old copy
        requests.clear();
        newProxy.handleMessage(network.caches[2].digestMessage(),
                               ConfigurationCache::MessageSource::peerProxy, network.now,
                               [&](Json reply) { requests.push_back(std::move(reply)); });
        exchange(network.caches[2], ConfigurationCache::MessageSource::peerProxy, requests);
        CPPUNIT_ASSERT(newProxy.endpoints().endpoints() == network.caches[0].endpoints().endpoints());
        requests.clear();
        newProxy.handleMessage(network.caches[1].digestMessage(),
                               ConfigurationCache::MessageSource::peerProxy, network.now,
                               [&](Json reply) { requests.push_back(std::move(reply)); });
        exchange(network.caches[1], ConfigurationCache::MessageSource::peerProxy, requests);
        CPPUNIT_ASSERT(newProxy.endpoints().endpoints() == network.caches[0].endpoints().endpoints());
        CPPUNIT_ASSERT(!newProxy.endpoints().endpoints().contains(pod(0).id));
    }

    // What updates cost a proxy and the control node in fleets of three sizes, as stated in the design
    // document.
    void costsStayWithinBounds() {
        std::string transcript;
        for (const auto& [proxies, count] :
             std::vector<std::pair<std::size_t, int>>{{12, 38}, {88, 323}, {500, 2000}}) {
            Network network(proxies, 5);
            begin(network, count);
            const auto addLine = [&](const std::string& what) {
                transcript += "  " + what + ": a proxy sends " + std::to_string(network.maxOf(network.sent)) +
                              " messages, " + std::to_string(network.maxOf(network.bytes)) +
                              " bytes at most; the control node " + std::to_string(network.sent[0]) + ", " +
                              std::to_string(network.bytes[0]) + "\n";
                network.resetCounts();
            };
            transcript += std::to_string(proxies) + " proxies, " + std::to_string(count) + " pods\n";
            addLine("all start");
            network.round();
            addLine("a heartbeat without updates");
            network.broadcast(network.caches[0].updateEndpoints(pods(0, count + 1, 1), 1));
            network.deliverAll();
            addLine("two pods change");
            network.caches[0].setConfiguration(8, std::string(3000, 'd'));
            network.broadcast(network.caches[0].versionsMessage());
            network.deliverAll();
            addLine("a configuration of 3,000 bytes");
            for (std::size_t at = 1; at <= proxies; at += 10) network.partitioned[at] = true;
            network.broadcast(network.caches[0].updateEndpoints(pods(5, count + 5, 9), 1));
            network.deliverAll();
            network.resetCounts();
            int rounds = 0;
            while (network.countAgreeing() < proxies && rounds < 9) network.round(), ++rounds;
            CPPUNIT_ASSERT_EQUAL(proxies, network.countAgreeing());
            addLine("a tenth cut off, repaired in " + std::to_string(rounds) + " heartbeats");
        }
        approve("peer-updates-costs", transcript);
    }

    // Each proxy watches three others, and a removed proxy changes only the lists that contained it.
    void eachProxyWatchesThree() {
        std::vector<std::string> names;
        for (int at = 0; at < 88; ++at) names.push_back("edge-" + std::to_string(at));
        std::map<std::string, std::vector<std::string>> before;
        std::map<std::string, int> watchers;
        for (const auto& name : names) {
            before[name] = hashing::watchedPeers(names, name);
            CPPUNIT_ASSERT_EQUAL(std::size_t(3), before[name].size());
            for (const auto& other : before[name]) ++watchers[other];
        }
        const auto gone = names[17];
        auto left = names;
        std::erase(left, gone);
        int changed = 0;
        for (const auto& name : left) {
            const auto after = hashing::watchedPeers(left, name);
            const bool had = std::find(before[name].begin(), before[name].end(), gone) != before[name].end();
            if (!had) CPPUNIT_ASSERT(after == before[name]);
            changed += had;
        }
        CPPUNIT_ASSERT_EQUAL(watchers[gone], changed);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(PeerUpdatesTest);
