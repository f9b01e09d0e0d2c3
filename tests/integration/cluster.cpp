// Control planes and proxies as processes: machines are killed, lose their disks, stand still and come back.
#include "support/cluster_fixture.hpp"

using namespace cluster;

class HouseTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(HouseTest);
    CPPUNIT_TEST(machinesLost);
    CPPUNIT_TEST(allAtOnce);
    CPPUNIT_TEST(frozen);
    CPPUNIT_TEST(dutyGoesOn);
    CPPUNIT_TEST(outOfContact);
    CPPUNIT_TEST_SUITE_END();

    static void open(House& house) {
        for (const auto* name : {"c1", "c2", "c3", "e1", "e2"}) house.launch(name);
        for (const auto* name : {"c1", "c2", "c3"}) house.await(name, "register_synchronized");
        // Each has said that it is in contact: the first call at any of them is taken.
        CPPUNIT_ASSERT_EQUAL(200, house.replace("c2", House::configuration(3, "/a/")));
        for (const auto* name : {"e1", "e2"}) house.await(name, "readiness_gained");
    }

  public:
    // A core machine dies, then a second, then one comes back with nothing on its disk.
    void machinesLost() {
        House house;
        open(house);
        const auto get = [&](const std::string& path) { return house.get("e1", path); };
        CPPUNIT_ASSERT_EQUAL(200, get("/r/1"));
        CPPUNIT_ASSERT_EQUAL(404, get("/b/1"));
        CPPUNIT_ASSERT_EQUAL(
            200, house.call(house.at("e2", house.front), http::verb::post, "/w/1", "body", "once").first);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), house.ran.count("once"));
        for (const auto* name : {"c1", "c2", "c3"})
            CPPUNIT_ASSERT_EQUAL(House::configuration(3, "/a/"), house.rpc(name, "config.read").second);
        // Two bodies under one number at two control nodes: one of them is it, everywhere and for good.
        const auto one = House::configuration(4, "/b/"), other = House::configuration(4, "/c/");
        CPPUNIT_ASSERT_EQUAL(200, house.replace("c1", one));
        const auto clash = house.rpc("c3", "config.replace", other);
        CPPUNIT_ASSERT_EQUAL(409, clash.first);
        CPPUNIT_ASSERT(clash.second.find("00000004") != clash.second.npos);
        for (const auto* name : {"c1", "c2", "c3"}) {
            CPPUNIT_ASSERT_EQUAL(200, house.replace(name, one));
            CPPUNIT_ASSERT_EQUAL(409, house.replace(name, other));
            CPPUNIT_ASSERT_EQUAL(one, house.rpc(name, "config.read").second);
        }
        CPPUNIT_ASSERT_EQUAL(
            200, house.replace("c2", House::configuration(2, "/old/")));  // old: taken, changes nothing
        CPPUNIT_ASSERT_EQUAL(400,
                             house.rpc("c2", "config.replace", "{\"config_version\":\"00000009\"").first);
        house.until("the proxy uses version 4", [&] { return get("/b/1") == 200 && get("/a/1") == 404; });
        house.stop(house.programs["c1"], SIGKILL);
        const auto five = House::configuration(5, "/five/");
        CPPUNIT_ASSERT_EQUAL(200, house.replace("c2", five));  // two of three take it
        CPPUNIT_ASSERT_EQUAL(five, house.rpc("c3", "config.read").second);
        house.stop(house.programs["c3"], SIGKILL);
        CPPUNIT_ASSERT_EQUAL(503, house.replace("c2", House::configuration(6, "/six/")));
        CPPUNIT_ASSERT_EQUAL(503, house.rpc("c2", "config.read").first);
        // Clients are served meanwhile, by what was acknowledged last.
        house.until("the proxy uses version 5", [&] { return get("/five/1") == 200; });
        house.launch("c3", false);
        house.until("version 5 or 6 is read again",
                    [&] { return house.rpc("c3", "config.read").first == 200; });
        std::filesystem::remove_all(house.folder + "/c1");
        house.launch("c1", false);
        house.await("c1", "membership_gained");
        house.stop(house.programs["c2"], SIGKILL);
        // Orders of before are known again by control nodes that have been down, one with an empty disk.
        int again = 503;
        house.until("the order of version 4 is answered", [&] {
            again = house.replace("c1", one);
            return again != 503;
        });
        CPPUNIT_ASSERT_EQUAL(200, again);
        CPPUNIT_ASSERT_EQUAL(409, house.replace("c1", other));
        house.until("the disk that was lost stands for another",
                    [&] { return house.replace("c1", House::configuration(7, "/seven/")) == 200; });
        house.until("the proxy uses version 7", [&] { return get("/seven/1") == 200; });
    }

    // All processes die at once and come back with their disks; orders and configurations are still there. A
    // proxy leaves in order.
    void allAtOnce() {
        House house;
        open(house);
        const std::string order = R"({"service_name":"s","target_version":"v2","deadline":"60s"})";
        for (const auto* name : {"c1", "c2"})
            CPPUNIT_ASSERT_EQUAL(200, house.rpc(name, "rollouts.begin", order).first);
        CPPUNIT_ASSERT_EQUAL(400, house.rpc("c2", "rollouts.begin", R"({"service_name":"s"})").first);
        CPPUNIT_ASSERT_EQUAL(404, house.rpc("c2", "rollouts.read&of=other").first);
        // Its age is a span, written down as it grows, and not lost when all restart.
        const auto age = [&](const std::string& name) {
            const auto status = house.status(name);
            return status.at("rollouts").empty() ? 0 : status.at("rollouts").at(0).at("age").get<int>();
        };
        house.until("the order's age is written", [&] { return age("c1") > 0; });
        const auto written = age("c1");
        for (auto& [_, program] : house.programs) house.stop(program, SIGKILL);
        for (const auto* name : {"c1", "c2", "c3", "e1"}) house.launch(name, false);
        house.await("e1", "readiness_gained");
        const auto read = house.rpc("c3", "rollouts.read&of=s");
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"state":"in_progress","target_version":"v2"})"), read.second);
        CPPUNIT_ASSERT_EQUAL(House::configuration(3, "/a/"), house.rpc("c3", "config.read").second);
        const auto status = house.status("c1");
        CPPUNIT_ASSERT_EQUAL(std::string("00000003"), status.at("configuration").get<std::string>());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), status.at("rollouts").size());
        CPPUNIT_ASSERT(age("c1") >= written);
        CPPUNIT_ASSERT_EQUAL(200, house.readiness("e1"));
        auto& proxy = house.programs["e1"];
        kill(proxy.id, SIGHUP);
        house.await("e1", "settings_reloaded");
        kill(proxy.id, SIGTERM);
        house.await("e1", "drain_started");
        CPPUNIT_ASSERT_EQUAL(503, house.readiness("e1"));
        CPPUNIT_ASSERT_EQUAL(200, house.get("e1", "/r/1"));
        house.await("e1", "proxy_stopped");
        house.stop(proxy, 0);
        CPPUNIT_ASSERT(WIFEXITED(proxy.status) && WEXITSTATUS(proxy.status) == 0);
        // A stopped control node's disk can be read.
        house.stop(house.programs["c2"], SIGKILL);
        const auto says = [&](const std::vector<std::string>& words) {
            Program tool;
            house.spawn(tool, words, "X=");
            house.stop(tool, 0);
            while (tool.lines.empty()) CPPUNIT_ASSERT(house.io.run_one_for(std::chrono::seconds(8)) > 0);
            while (house.io.poll() > 0) {  // the rest of what it wrote before it ended
            }
            CPPUNIT_ASSERT_EQUAL(0, WEXITSTATUS(tool.status));
            std::string all;
            for (const auto& line : tool.lines) all += line.value("text", line.dump()) + "\n";
            return all;
        };
        const auto store = house.folder + "/c2/promptbook";
        CPPUNIT_ASSERT(says({"store", "check", store}).find("all checksums right") != std::string::npos);
        CPPUNIT_ASSERT(says({"store", "show", store}).find("version 00000003,") != std::string::npos);
        CPPUNIT_ASSERT(says({"store", "show", store}).find("remembered 00000003\n") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(Json::parse(House::configuration(3, "/a/")),
                             Json::parse(says({"store", "export", store})));
        const auto shown = says({"status", house.at("c1", house.control)});
        CPPUNIT_ASSERT_MESSAGE(shown, shown.find(", in contact") != shown.npos);
        CPPUNIT_ASSERT_MESSAGE(shown, shown.find("\nlease list: ") != shown.npos);
    }

    // A proxy stands still while a route is dropped and another is added, and wakes up with its old view.
    void frozen() {
        House house;
        open(house);
        const auto get = [&](const std::string& path) { return house.get("e1", path); };
        CPPUNIT_ASSERT_EQUAL(200, get("/a/1"));
        auto& proxy = house.programs["e1"];
        kill(proxy.id, SIGSTOP);
        CPPUNIT_ASSERT_EQUAL(200, house.replace("c1", House::configuration(8, "/eight/")));
        house.await("c1", "peer_connection_lost");  // two seconds on, a control node has given it up
        kill(proxy.id, SIGCONT);
        house.await("e1", "standstill_detected");
        // How soon is a matter of this machine's speed (150 ms are waited for); it never goes back.
        house.until("the proxy uses version 8", [&] { return get("/a/1") == 404; });
        CPPUNIT_ASSERT_EQUAL(200, get("/eight/1"));
        for (int at = 0; at < 20; ++at) CPPUNIT_ASSERT_EQUAL(404, get("/a/1"));
    }

    // The holder of the duty for the list is killed, and comes back as another: terms rise, one has it at a
    // time.
    void dutyGoesOn() {
        House house;
        open(house);
        const auto duty = [&](const std::string& name) {
            return house.status(name).at("duties").value("list", Json{{"mine", false}, {"term", 0}});
        };
        std::string holder;
        house.until("one has the duty", [&] {
            for (const auto* name : {"c1", "c2", "c3"})
                if (duty(name).at("mine")) holder = name;
            return !holder.empty();
        });
        const auto first = duty(holder).at("term").get<int>();
        std::vector<std::string> others;
        for (const auto* name : {"c1", "c2", "c3"})
            if (name != holder) others.push_back(name);
        house.stop(house.programs[holder], SIGKILL);
        house.until("another has it", [&] {
            const auto one = duty(others[0]), two = duty(others[1]);
            return (one.at("mine") || two.at("mine")) && one.at("term") > first &&
                   one.at("term") == two.at("term");
        });
        const auto kSecond = duty(others[0]).at("term").get<int>();
        CPPUNIT_ASSERT_EQUAL(first + 1, kSecond);
        house.pods.erase("i-2");  // its list is followed
        house.until("it has told of a pod that went", [&] {
            const auto& told = duty(others[0]).at("mine") ? others[0] : others[1];
            const auto pods = house.status(told).at("pods");
            return pods.contains("s") && pods.at("s").at("v1").at(0) == 1;
        });
        house.launch(holder, false);
        house.await(holder, "quorum_contact_established");
        house.until("it knows of the term", [&] { return duty(holder).at("term") == kSecond; });
        CPPUNIT_ASSERT(!duty(holder).at("mine").get<bool>());
    }

    // Two of three core machines are gone: a proxy that starts takes what the third says only after a wait,
    // and has no pods from it; when there is contact again all is sure.
    void outOfContact() {
        House house;
        open(house);
        for (const auto* name : {"c1", "c3", "e1", "e2"}) house.stop(house.programs[name], SIGKILL);
        house.await("c2", "quorum_contact_lost");
        house.launch("e2", false);
        house.await("e2", "control_plane_contact_lost");
        const auto taken = house.await("e2", "unconfirmed_state_accepted");
        CPPUNIT_ASSERT_EQUAL(503, house.readiness("e2"));
        CPPUNIT_ASSERT_EQUAL(503, house.rpc("c2", "config.read").first);
        house.launch("c1", false);
        house.await("e2", "readiness_gained", house.await("e2", "control_plane_contact_established", taken) - 1);
        CPPUNIT_ASSERT_EQUAL(200, house.get("e2", "/r/1"));
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(HouseTest);
