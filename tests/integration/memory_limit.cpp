// The gateway's processes stay within the memory and the descriptors of their machine, whatever clients and
// operators may send, and go on serving.
#include <sys/resource.h>

#include "support/cluster_fixture.hpp"
#include "support/process_memory.hpp"
#include "support/silent_clients.hpp"

using namespace cluster;

namespace {

constexpr long kControlPlaneMegabytes = 256;
constexpr long kProxyMegabytes = 260;

}  // namespace

class MemoryLimitTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(MemoryLimitTest);
    CPPUNIT_TEST(pipelinedBodiesStayWithinTheMemory);
    CPPUNIT_TEST(idleClientsLeaveDescriptorsForPods);
    CPPUNIT_TEST(nestedConfigurationStaysWithinTheMemory);
    CPPUNIT_TEST(configurationOfManyMistakesStaysWithinTheMemory);
    CPPUNIT_TEST(longRolloutOrderStaysWithinTheMemory);
    CPPUNIT_TEST(incompleteAdminRequestsStayWithinTheMemory);
    CPPUNIT_TEST(configurationReadsStayWithinTheMemory);
    CPPUNIT_TEST_SUITE_END();

    static void launchAll(Cluster& cluster) {
        raiseDescriptorLimit();
        cluster.memoryMegabytes = {{'c', kControlPlaneMegabytes}, {'e', kProxyMegabytes}};
        for (const auto* name : {"c1", "c2", "c3", "e1"}) cluster.launch(name);
        cluster.until("the first configuration is acknowledged",
                      [&] { return cluster.replace("c1", Cluster::configuration(1, "/first/")) == 200; });
        cluster.until("the proxy is ready", [&] { return cluster.readiness("e1") == 200; });
    }

    static void pump(Cluster& cluster) { cluster.io.run_for(std::chrono::milliseconds(10)); }

    // The process runs, and has stayed within its memory.
    static void checkMemory(Cluster& cluster, const std::string& name, long limit) {
        const auto peak = process_memory::megabytes(cluster.programs[name].id, "VmHWM");
        CPPUNIT_ASSERT_MESSAGE(name + " reached " + std::to_string(peak) + " MB", peak >= 0 && peak <= limit);
    }
    static void checkControlNode(Cluster& cluster) {
        checkMemory(cluster, "c1", kControlPlaneMegabytes);
        cluster.until("the configuration is read",
                      [&] { return cluster.rpc("c1", "config.read").first == 200; });
    }
    static void checkProxy(Cluster& cluster) {
        checkMemory(cluster, "e1", kProxyMegabytes);
        cluster.until("a request is served", [&] { return cluster.get("e1", "/r/1") == 200; });
    }

    static std::string repeated(const std::string& text, std::size_t times) {
        std::string all;
        all.reserve(text.size() * times);
        for (; times > 0; --times) all += text;
        return all;
    }

    // Sends an order that is no valid one, as a whole.
    static void sendInvalidOrder(Cluster& cluster, const std::string& call, const std::string& body) {
        const auto [status, answer] = cluster.rpc("c1", call, body);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(status) + " " + answer.substr(0, 100), status / 100 == 4);
    }

  public:
    // FAULT: clients that pipelined large bodies made the proxy exceed its memory.
    void pipelinedBodiesStayWithinTheMemory() {
        constexpr std::size_t kClients = 100;
        constexpr std::size_t kBodyBytes = 250'000;
        constexpr int kPipelined = 32;
        Cluster cluster;
        launchAll(cluster);
        cluster.podsHang = true;
        const auto request =
            "PUT /r/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: large\r\nX-Deadline-Ms: "
            "30000\r\nContent-Length: " +
            std::to_string(kBodyBytes) + "\r\n\r\n" + std::string(kBodyBytes, 'b');
        SilentClients clients(cluster.at("e1", cluster.front));
        clients.connect(kClients);
        clients.send(repeated(request, kPipelined), [&] { pump(cluster); });
        clients.close();
        cluster.podsHang = false;
        checkProxy(cluster);
    }

    // FAULT: idle clients took all descriptors, so that no request reached a pod.
    void idleClientsLeaveDescriptorsForPods() {
        constexpr int kDescriptors = 500;
        Cluster cluster;
        cluster.maxDescriptors = kDescriptors;
        launchAll(cluster);
        const rlimit limit{kDescriptors, kDescriptors};
        prlimit(cluster.programs["e1"].id, RLIMIT_NOFILE, &limit, nullptr);
        SilentClients clients(cluster.at("e1", cluster.front));
        clients.connect(kDescriptors + 100);
        SilentClients probes(cluster.at("e1", cluster.probe));
        probes.connect(kDescriptors + 100);
        cluster.until("a request is served", [&] { return cluster.get("e1", "/r/1") == 200; });
        CPPUNIT_ASSERT_EQUAL(200, cluster.readiness("e1"));
    }

    // FAULT: a configuration of nested lists became a tree of 80 times its size.
    void nestedConfigurationStaysWithinTheMemory() {
        constexpr std::size_t kBytes = 8 << 20;
        Cluster cluster;
        launchAll(cluster);
        sendInvalidOrder(cluster, "config.replace", std::string(kBytes, '['));
        sendInvalidOrder(cluster, "config.replace", R"({"resources":[)" + repeated("1,", kBytes / 2) + "1]}");
        sendInvalidOrder(
            cluster, "config.replace",
            R"({"resources":[{"spec":{"traffic_split":[)" + repeated("1,", kBytes / 2) + "1]}}]}");
        checkControlNode(cluster);
    }

    // FAULT: the mistakes of an invalid configuration took more memory than the configuration.
    void configurationOfManyMistakesStaysWithinTheMemory() {
        constexpr std::size_t kRoutes = 100'000;
        Cluster cluster;
        launchAll(cluster);
        const std::string route = R"({"resource_type":"route_table","metadata":{},"spec":{}})";
        sendInvalidOrder(
            cluster, "config.replace",
            R"({"config_version":"00000009","resources":[)" + repeated(route + ",", kRoutes) + route + "]}");
        checkControlNode(cluster);
    }

    // FAULT: an order for a rollout was kept and sent on at any length.
    void longRolloutOrderStaysWithinTheMemory() {
        constexpr std::size_t kNameBytes = 30 << 20;
        Cluster cluster;
        launchAll(cluster);
        const auto [status, answer] = cluster.rpc("c1", "rollouts.begin",
                                                  R"({"service_name":")" + std::string(kNameBytes, 'n') +
                                                      R"(","target_version":"v2","deadline":"12s"})");
        CPPUNIT_ASSERT_MESSAGE(std::to_string(status), status == 413 || status == 0);
        checkControlNode(cluster);
    }

    // FAULT: requests that were never completed were kept at any number and size.
    void incompleteAdminRequestsStayWithinTheMemory() {
        constexpr std::size_t kClients = 100;
        Cluster cluster;
        launchAll(cluster);
        SilentClients clients(cluster.at("c1", cluster.control));
        clients.connect(kClients);
        clients.send(
            "POST /api/rpc?call=config.replace HTTP/1.1\r\nHost: x\r\nContent-Length: 8000000\r\n\r\n" +
                std::string(7'000'000, 'b'),
            [&] { pump(cluster); });
        clients.close();
        checkControlNode(cluster);
    }

    // FAULT: each reader of a large configuration had a copy of its own.
    void configurationReadsStayWithinTheMemory() {
        constexpr std::size_t kReaders = 100;
        constexpr int kRoutes = 20'000;
        Cluster cluster;
        launchAll(cluster);
        cluster.until("a large configuration is acknowledged", [&] {
            return cluster.replace("c1", Cluster::configuration(2, "/p/", kRoutes)) == 200;
        });
        SilentClients readers(cluster.at("c1", cluster.control));
        readers.connect(kReaders);
        readers.send("POST /api/rpc?call=config.read HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n",
                     [&] { pump(cluster); });
        cluster.until("the readers are answered", [&] {
            pump(cluster);
            return cluster.status("c1")["calls"].get<std::size_t>() >= kReaders;
        });
        readers.close();
        checkControlNode(cluster);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(MemoryLimitTest);
