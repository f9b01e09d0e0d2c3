// Updates among many proxies in virtual time: the real caches, a scripted network. Control nodes push
// changes; proxies watch three others each and mend their copies. Counted, never timed: messages and bytes a
// proxy, rounds until all agree. Chance is seeded.
#include "hashing/rendezvous.hpp"
#include "messages/codec.hpp"
#include "support/subscription_fixture.hpp"
#include "support/transcript.hpp"

using namespace subscription_fixture;

namespace {

constexpr Nanos kMillisecond = 1'000'000, kSecond = 1000 * kMillisecond;
constexpr Nanos kHeartbeat = 1500 * kMillisecond;

// One control node (number 0) and proxies that it tells; links of 1 ms that lose what is cut.
class Network {
  public:
    Network(std::size_t proxies, std::uint64_t seed) : chance(seed) {
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
                watch.emplace_back(at, numbers[name]);
        sent.resize(proxies + 1), bytes.resize(proxies + 1), cut.resize(proxies + 1);
    }
    void send(std::size_t from, std::size_t to, const Json& message) {
        const auto size = Json::to_cbor(message).size();
        ++sent[from], bytes[from] += size;
        if (from * to == 0 && (cut[from] || cut[to])) return;  // cut off from the control node
        if (loss > 0 && chance() % 100 < static_cast<unsigned>(loss)) return;
        const Nanos late = disorder ? static_cast<Nanos>(chance() % 50) * kMillisecond : 0;
        way_.emplace(std::pair(now + kMillisecond + late, ++order_), std::tuple(from, to, message));
    }
    void all(const Json& message) {
        if (message.is_null()) return;
        for (std::size_t to = 1; to < caches.size(); ++to) send(0, to, message);
    }
    // One heartbeat: digests between watchers, then everything that follows from them.
    void round() {
        for (const auto& [from, to] : watch) send(from, to, caches[from].digestMessage());
        settle();
        now += kHeartbeat;
    }
    void settle() {
        for (std::size_t steps = 0; !way_.empty(); ++steps) {
            CPPUNIT_ASSERT_MESSAGE("messages go round for ever", steps < 400 * caches.size());
            const auto [at, what] = *way_.begin();
            way_.erase(way_.begin());
            now = std::max(now, at.first);
            const auto& [from, to, message] = what;
            const auto role = to == 0     ? ConfigurationCache::MessageSource::subscriber
                              : from == 0 ? ConfigurationCache::MessageSource::controlNode
                                          : ConfigurationCache::MessageSource::peerProxy;
            caches[to].handleMessage(message, role, now,
                                     [&, from = from, to = to](const Json& reply) { send(to, from, reply); });
        }
    }
    std::size_t agreeing() const {
        std::size_t count = 0;
        for (std::size_t at = 1; at < caches.size(); ++at) {
            const auto mine = caches[at].digestMessage();
            const auto its = caches[0].digestMessage();
            count += mine["configuration"] == its["configuration"] && mine["rollouts"] == its["rollouts"] &&
                     mine.value("sums", Json()) == its["sums"];
        }
        return count;
    }
    void forget() { std::fill(sent.begin(), sent.end(), 0), std::fill(bytes.begin(), bytes.end(), 0); }
    std::size_t most(const std::vector<std::size_t>& of) const {
        return *std::max_element(of.begin() + 1, of.end());
    }

    std::mt19937_64 chance;
    std::vector<ConfigurationCache> caches;
    std::vector<std::string> names;
    std::map<std::string, std::size_t> numbers;
    std::vector<std::pair<std::size_t, std::size_t>> watch;
    std::vector<std::size_t> sent, bytes;
    std::vector<bool> cut;
    int loss = 0;  // of a hundred messages
    bool disorder = false;
    Nanos now = 100 * kSecond;

  private:
    std::map<std::pair<Nanos, std::uint64_t>, std::tuple<std::size_t, std::size_t, Json>> way_;
    std::uint64_t order_ = 0;
};

void begin(Network& network, int count) {
    network.caches[0].setConfiguration(7, std::string(3000, 'c'));
    network.caches[0].setRollouts(0, "[]");
    network.caches[0].updateEndpoints(pods(0, count), 1);
    network.all(network.caches[0].digestMessage());
    network.settle();
    CPPUNIT_ASSERT_EQUAL(network.caches.size() - 1, network.agreeing());
}

}  // namespace

class PeerUpdatesTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(PeerUpdatesTest);
    CPPUNIT_TEST(updatesReachProxiesCutOffFromControlNodes);
    CPPUNIT_TEST(cachesAgreeAfterLossAndDisorder);
    CPPUNIT_TEST(removedEndpointsStayRemoved);
    CPPUNIT_TEST(costsStayWithinBounds);
    CPPUNIT_TEST(eachProxyWatchesThree);
    CPPUNIT_TEST_SUITE_END();

  public:
    // A third of the proxies lose every control node: what is told meanwhile reaches them by those they
    // watch.
    void updatesReachProxiesCutOffFromControlNodes() {
        Network network(12, 1);
        begin(network, 40);
        for (std::size_t at = 1; at <= 12; at += 3) network.cut[at] = true;
        network.caches[0].setConfiguration(9, "nine");
        network.all(network.caches[0].versionsMessage());
        network.caches[0].setRollouts(3, "[3]");
        network.all(network.caches[0].rolloutsMessage());
        auto listed = pods(2, 44, 6);
        network.all(network.caches[0].updateEndpoints(listed, 1));
        network.settle();
        CPPUNIT_ASSERT_EQUAL(std::size_t(8), network.agreeing());
        int rounds = 0;
        for (; rounds < 4 && network.agreeing() < 12; ++rounds) network.round();
        CPPUNIT_ASSERT_EQUAL(std::size_t(12), network.agreeing());
        CPPUNIT_ASSERT(rounds <= 2);
        for (std::size_t at = 1; at <= 12; ++at) {
            CPPUNIT_ASSERT_EQUAL(9U, network.caches[at].version());
            CPPUNIT_ASSERT(network.caches[at].endpoints().hasLeft(pod(0).id));
            CPPUNIT_ASSERT(network.caches[at].endpoints().endpoints().at(pod(4).id).draining);
        }
    }

    // Messages lost (a fifth), doubled by digests, out of order: in the end all hold the same, whatever the
    // seed.
    void cachesAgreeAfterLossAndDisorder() {
        for (std::uint64_t seed = 1; seed <= 40; ++seed) {
            Network network(10, seed);
            begin(network, 30);
            network.loss = 20, network.disorder = true;
            for (int step = 1; step <= 8; ++step) {
                const int first = step;
                const int last = 30 + 2 * step;
                network.caches[0].setConfiguration(7 + static_cast<std::uint32_t>(step),
                                                   std::string(100, 'x'));
                network.all(network.caches[0].versionsMessage());
                network.all(network.caches[0].updateEndpoints(pods(first, last, first + 2), 1 + step / 6));
                if (step % 2) network.settle();
                network.round();
            }
            network.loss = 0;
            network.caches[0].updateEndpoints(pods(8, 46, 10), 2);
            network.all(network.caches[0].digestMessage());
            network.settle();
            for (int round = 0; round < 3; ++round) network.round();
            CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), std::size_t(10), network.agreeing());
        }
    }

    // A copy that has been cut off for long offers nobody what is gone, and draining pods stay so.
    void removedEndpointsStayRemoved() {
        Network network(6, 3);
        begin(network, 10);
        network.cut[1] = true;
        network.all(network.caches[0].updateEndpoints(pods(3, 12, 5), 1));
        network.settle();
        ConfigurationCache young{
            ConfigurationCache::Subscriber{}};  // has just come up, and hears the old copy first
        std::vector<Json> asked;
        young.handleMessage(network.caches[1].digestMessage(), ConfigurationCache::MessageSource::peerProxy,
                            network.now, [&](Json reply) { asked.push_back(std::move(reply)); });
        const auto feed = [&](ConfigurationCache& from, ConfigurationCache::MessageSource role,
                              const std::vector<Json>& messages) {
            std::vector<Json> answers;
            for (const auto& message : messages)
                from.handleMessage(message, ConfigurationCache::MessageSource::peerProxy, network.now,
                                   [&](Json reply) { answers.push_back(std::move(reply)); });
            std::vector<Json> next;
            for (const auto& answer : answers)
                young.handleMessage(answer, role, network.now,
                                    [&](Json reply) { next.push_back(std::move(reply)); });
            return next;
        };
        feed(network.caches[1], ConfigurationCache::MessageSource::peerProxy, asked);
        CPPUNIT_ASSERT(young.endpoints().endpoints().contains(pod(0).id));  // the old copy's word, as yet
        asked.clear();
        young.handleMessage(network.caches[2].digestMessage(), ConfigurationCache::MessageSource::peerProxy,
                            network.now, [&](Json reply) { asked.push_back(std::move(reply)); });
        feed(network.caches[2], ConfigurationCache::MessageSource::peerProxy, asked);
        CPPUNIT_ASSERT(young.endpoints().endpoints() == network.caches[0].endpoints().endpoints());
        asked.clear();
        young.handleMessage(network.caches[1].digestMessage(), ConfigurationCache::MessageSource::peerProxy,
                            network.now, [&](Json reply) { asked.push_back(std::move(reply)); });
        feed(network.caches[1], ConfigurationCache::MessageSource::peerProxy, asked);
        CPPUNIT_ASSERT(young.endpoints().endpoints() == network.caches[0].endpoints().endpoints());
        CPPUNIT_ASSERT(!young.endpoints().endpoints().contains(pod(0).id));
    }

    // What updates cost a proxy and the control node, at three sizes: bounds that the design note states.
    void costsStayWithinBounds() {
        std::string seen;
        for (const auto& [proxies, count] :
             std::vector<std::pair<std::size_t, int>>{{12, 38}, {88, 323}, {500, 2000}}) {
            Network network(proxies, 5);
            begin(network, count);
            const auto line = [&](const std::string& what) {
                seen += "  " + what + ": a proxy sends " + std::to_string(network.most(network.sent)) +
                        " messages, " + std::to_string(network.most(network.bytes)) +
                        " bytes at most; the control node " + std::to_string(network.sent[0]) + ", " +
                        std::to_string(network.bytes[0]) + "\n";
                network.forget();
            };
            seen += std::to_string(proxies) + " proxies, " + std::to_string(count) + " pods\n";
            line("all start");
            network.round();
            line("a heartbeat without updates");
            network.all(network.caches[0].updateEndpoints(pods(0, count + 1, 1), 1));
            network.settle();
            line("two pods change");
            network.caches[0].setConfiguration(8, std::string(3000, 'd'));
            network.all(network.caches[0].versionsMessage());
            network.settle();
            line("a configuration of 3,000 bytes");
            for (std::size_t at = 1; at <= proxies; at += 10) network.cut[at] = true;
            network.all(network.caches[0].updateEndpoints(pods(5, count + 5, 9), 1));
            network.settle();
            network.forget();
            int rounds = 0;
            while (network.agreeing() < proxies && rounds < 9) network.round(), ++rounds;
            CPPUNIT_ASSERT_EQUAL(proxies, network.agreeing());
            line("a tenth cut off, mended in " + std::to_string(rounds) + " heartbeats");
        }
        approve("peer-updates-costs", seen);
    }

    // Each watches three, is watched by some, and one that goes changes few lists.
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
