// Control planes and proxies as processes: machines are killed, lose their disks, stand still and come back.
#include "support/cluster_fixture.hpp"

using namespace cluster;

class ClusterTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ClusterTest);
    CPPUNIT_TEST(survivesLossOfMachines);
    CPPUNIT_TEST(restartsAllAtOnceWithItsState);
    CPPUNIT_TEST(frozenProxyNeverGoesBack);
    CPPUNIT_TEST(leaseMovesWhenItsHolderDies);
    CPPUNIT_TEST(unconfirmedStateIsTakenAfterAWait);
    CPPUNIT_TEST_SUITE_END();

    static void open(Cluster& cluster) {
        for (const auto* name : {"c1", "c2", "c3", "e1", "e2"}) cluster.launch(name);
        for (const auto* name : {"c1", "c2", "c3"}) cluster.await(name, "register_synchronized");
        // Each has said that it is in contact: the first call at any of them is taken.
        CPPUNIT_ASSERT_EQUAL(200, cluster.replace("c2", Cluster::configuration(3, "/a/")));
        for (const auto* name : {"e1", "e2"}) cluster.await(name, "readiness_gained");
    }

  public:
    // A core machine dies, then a second, then one comes back with nothing on its disk.
    void survivesLossOfMachines() {
        Cluster cluster;
        open(cluster);
        const auto get = [&](const std::string& path) { return cluster.get("e1", path); };
        CPPUNIT_ASSERT_EQUAL(200, get("/r/1"));
        CPPUNIT_ASSERT_EQUAL(404, get("/b/1"));
        CPPUNIT_ASSERT_EQUAL(
            200,
            cluster.call(cluster.at("e2", cluster.front), http::verb::post, "/w/1", "body", "once").first);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), cluster.ran.count("once"));
        for (const auto* name : {"c1", "c2", "c3"})
            CPPUNIT_ASSERT_EQUAL(Cluster::configuration(3, "/a/"), cluster.rpc(name, "config.read").second);
        // Two bodies under one number at two control nodes: one of them is it, everywhere and for good.
        const auto one = Cluster::configuration(4, "/b/");
        const auto other = Cluster::configuration(4, "/c/");
        CPPUNIT_ASSERT_EQUAL(200, cluster.replace("c1", one));
        const auto clash = cluster.rpc("c3", "config.replace", other);
        CPPUNIT_ASSERT_EQUAL(409, clash.first);
        CPPUNIT_ASSERT(clash.second.find("00000004") != std::string::npos);
        for (const auto* name : {"c1", "c2", "c3"}) {
            CPPUNIT_ASSERT_EQUAL(200, cluster.replace(name, one));
            CPPUNIT_ASSERT_EQUAL(409, cluster.replace(name, other));
            CPPUNIT_ASSERT_EQUAL(one, cluster.rpc(name, "config.read").second);
        }
        CPPUNIT_ASSERT_EQUAL(
            200, cluster.replace("c2", Cluster::configuration(2, "/old/")));  // old: taken, changes nothing
        CPPUNIT_ASSERT_EQUAL(400,
                             cluster.rpc("c2", "config.replace", "{\"config_version\":\"00000009\"").first);
        cluster.until("the proxy uses version 4", [&] { return get("/b/1") == 200 && get("/a/1") == 404; });
        cluster.stop(cluster.programs["c1"], SIGKILL);
        const auto five = Cluster::configuration(5, "/five/");
        CPPUNIT_ASSERT_EQUAL(200, cluster.replace("c2", five));  // two of three take it
        CPPUNIT_ASSERT_EQUAL(five, cluster.rpc("c3", "config.read").second);
        cluster.stop(cluster.programs["c3"], SIGKILL);
        CPPUNIT_ASSERT_EQUAL(503, cluster.replace("c2", Cluster::configuration(6, "/six/")));
        CPPUNIT_ASSERT_EQUAL(503, cluster.rpc("c2", "config.read").first);
        // Clients are served meanwhile, by what was acknowledged last.
        cluster.until("the proxy uses version 5", [&] { return get("/five/1") == 200; });
        cluster.launch("c3", false);
        cluster.until("version 5 or 6 is read again",
                      [&] { return cluster.rpc("c3", "config.read").first == 200; });
        std::filesystem::remove_all(cluster.folder + "/c1");
        cluster.launch("c1", false);
        cluster.await("c1", "membership_gained");
        cluster.stop(cluster.programs["c2"], SIGKILL);
        // Orders of before are known again by control nodes that have been down, one with an empty disk.
        int again = 503;
        cluster.until("the order of version 4 is answered", [&] {
            again = cluster.replace("c1", one);
            return again != 503;
        });
        CPPUNIT_ASSERT_EQUAL(200, again);
        CPPUNIT_ASSERT_EQUAL(409, cluster.replace("c1", other));
        cluster.until("the disk that was lost stands for another",
                      [&] { return cluster.replace("c1", Cluster::configuration(7, "/seven/")) == 200; });
        cluster.until("the proxy uses version 7", [&] { return get("/seven/1") == 200; });
    }

    // All processes die at once and come back with their disks; orders and configurations are still there. A
    // proxy leaves in order.
    void restartsAllAtOnceWithItsState() {
        Cluster cluster;
        open(cluster);
        const std::string order = R"({"service_name":"s","target_version":"v2","deadline":"60s"})";
        for (const auto* name : {"c1", "c2"})
            CPPUNIT_ASSERT_EQUAL(200, cluster.rpc(name, "rollouts.begin", order).first);
        CPPUNIT_ASSERT_EQUAL(400, cluster.rpc("c2", "rollouts.begin", R"({"service_name":"s"})").first);
        CPPUNIT_ASSERT_EQUAL(404, cluster.rpc("c2", "rollouts.read&of=other").first);
        // Its age is a span, written down as it grows, and not lost when all restart.
        const auto age = [&](const std::string& name) {
            const auto status = cluster.status(name);
            return status.at("rollouts").empty() ? 0 : status.at("rollouts").at(0).at("age").get<int>();
        };
        cluster.until("the order's age is written", [&] { return age("c1") > 0; });
        const auto written = age("c1");
        for (auto& [_, program] : cluster.programs) cluster.stop(program, SIGKILL);
        for (const auto* name : {"c1", "c2", "c3", "e1"}) cluster.launch(name, false);
        cluster.await("e1", "readiness_gained");
        const auto read = cluster.rpc("c3", "rollouts.read&of=s");
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"state":"in_progress","target_version":"v2"})"), read.second);
        CPPUNIT_ASSERT_EQUAL(Cluster::configuration(3, "/a/"), cluster.rpc("c3", "config.read").second);
        const auto status = cluster.status("c1");
        CPPUNIT_ASSERT_EQUAL(std::string("00000003"), status.at("configuration").get<std::string>());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), status.at("rollouts").size());
        CPPUNIT_ASSERT(age("c1") >= written);
        CPPUNIT_ASSERT_EQUAL(200, cluster.readiness("e1"));
        auto& proxy = cluster.programs["e1"];
        kill(proxy.id, SIGHUP);
        cluster.await("e1", "settings_reloaded");
        kill(proxy.id, SIGTERM);
        cluster.await("e1", "drain_started");
        CPPUNIT_ASSERT_EQUAL(503, cluster.readiness("e1"));
        CPPUNIT_ASSERT_EQUAL(200, cluster.get("e1", "/r/1"));
        cluster.await("e1", "proxy_stopped");
        cluster.stop(proxy, 0);
        CPPUNIT_ASSERT(WIFEXITED(proxy.status) && WEXITSTATUS(proxy.status) == 0);
        // A stopped control node's disk can be read.
        cluster.stop(cluster.programs["c2"], SIGKILL);
        const auto says = [&](const std::vector<std::string>& words) {
            Program tool;
            cluster.spawn(tool, words, "X=");
            cluster.stop(tool, 0);
            while (tool.lines.empty()) CPPUNIT_ASSERT(cluster.io.run_one_for(std::chrono::seconds(8)) > 0);
            while (cluster.io.poll() > 0) {  // the rest of what it wrote before it ended
            }
            CPPUNIT_ASSERT_EQUAL(0, WEXITSTATUS(tool.status));
            std::string all;
            for (const auto& line : tool.lines) all += line.value("text", line.dump()) + "\n";
            return all;
        };
        const auto store = cluster.folder + "/c2/promptbook";
        CPPUNIT_ASSERT(says({"store", "check", store}).find("all checksums right") != std::string::npos);
        CPPUNIT_ASSERT(says({"store", "show", store}).find("version 00000003,") != std::string::npos);
        CPPUNIT_ASSERT(says({"store", "show", store}).find("remembered 00000003\n") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(Json::parse(Cluster::configuration(3, "/a/")),
                             Json::parse(says({"store", "export", store})));
        const auto shown = says({"status", cluster.at("c1", cluster.control)});
        CPPUNIT_ASSERT_MESSAGE(shown, shown.find(", in contact") != std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(shown, shown.find("\nlease list: ") != std::string::npos);
    }

    // A proxy stands still while a route is dropped and another is added, and wakes up with its old view.
    void frozenProxyNeverGoesBack() {
        Cluster cluster;
        open(cluster);
        const auto get = [&](const std::string& path) { return cluster.get("e1", path); };
        CPPUNIT_ASSERT_EQUAL(200, get("/a/1"));
        auto& proxy = cluster.programs["e1"];
        kill(proxy.id, SIGSTOP);
        CPPUNIT_ASSERT_EQUAL(200, cluster.replace("c1", Cluster::configuration(8, "/eight/")));
        cluster.await("c1", "peer_connection_lost");  // two seconds on, a control node has given it up
        kill(proxy.id, SIGCONT);
        cluster.await("e1", "standstill_detected");
        // How soon is a matter of this machine's speed (150 ms are waited for); it never goes back.
        cluster.until("the proxy uses version 8", [&] { return get("/a/1") == 404; });
        CPPUNIT_ASSERT_EQUAL(200, get("/eight/1"));
        for (int at = 0; at < 20; ++at) CPPUNIT_ASSERT_EQUAL(404, get("/a/1"));
    }

    // The holder of the lease for the endpoint list is killed, and comes back as another: terms rise, one has
    // it at a time.
    void leaseMovesWhenItsHolderDies() {
        Cluster cluster;
        open(cluster);
        const auto lease = [&](const std::string& name) {
            return cluster.status(name).at("duties").value("list", Json{{"mine", false}, {"term", 0}});
        };
        std::string holder;
        cluster.until("one holds the lease", [&] {
            for (const auto* name : {"c1", "c2", "c3"})
                if (lease(name).at("mine")) holder = name;
            return !holder.empty();
        });
        const auto first = lease(holder).at("term").get<int>();
        std::vector<std::string> others;
        for (const auto* name : {"c1", "c2", "c3"})
            if (name != holder) others.emplace_back(name);
        cluster.stop(cluster.programs[holder], SIGKILL);
        cluster.until("another holds it", [&] {
            const auto one = lease(others[0]);
            const auto two = lease(others[1]);
            return (one.at("mine") || two.at("mine")) && one.at("term") > first &&
                   one.at("term") == two.at("term");
        });
        const auto nextTerm = lease(others[0]).at("term").get<int>();
        CPPUNIT_ASSERT_EQUAL(first + 1, nextTerm);
        cluster.pods.erase("i-2");  // its list is followed
        cluster.until("it has told of a pod that went", [&] {
            const auto& told = lease(others[0]).at("mine") ? others[0] : others[1];
            const auto pods = cluster.status(told).at("pods");
            return pods.contains("s") && pods.at("s").at("v1").at(0) == 1;
        });
        cluster.launch(holder, false);
        cluster.await(holder, "quorum_contact_established");
        cluster.until("it knows of the term", [&] { return lease(holder).at("term") == nextTerm; });
        CPPUNIT_ASSERT(!lease(holder).at("mine").get<bool>());
    }

    // Two of three core machines are gone: a proxy that starts takes what the third says only after a wait,
    // and has no pods from it; when there is contact again all is sure.
    void unconfirmedStateIsTakenAfterAWait() {
        Cluster cluster;
        open(cluster);
        for (const auto* name : {"c1", "c3", "e1", "e2"}) cluster.stop(cluster.programs[name], SIGKILL);
        cluster.await("c2", "quorum_contact_lost");
        cluster.launch("e2", false);
        cluster.await("e2", "control_plane_contact_lost");
        const auto taken = cluster.await("e2", "unconfirmed_state_accepted");
        CPPUNIT_ASSERT_EQUAL(503, cluster.readiness("e2"));
        CPPUNIT_ASSERT_EQUAL(503, cluster.rpc("c2", "config.read").first);
        cluster.launch("c1", false);
        cluster.await("e2", "readiness_gained",
                      cluster.await("e2", "control_plane_contact_established", taken) - 1);
        CPPUNIT_ASSERT_EQUAL(200, cluster.get("e2", "/r/1"));
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ClusterTest);
