// A core machine loses its disk while the operator keeps changing the configuration, and comes back. Later than
// sync_time after that, another one loses its disk. The configuration that was acknowledged has to be read back.
// TROUBLE=0: the first of the two losses does not take place. QUIET=1: both do, but no further change is sent.
#include "stand.hpp"

using namespace stand;

namespace {

constexpr double kOrderInterval = 0.06;  // one order at a time, some 17 a second, 75 while the machine is back
constexpr double kSyncTime = 4;         // as in the settings
constexpr double kMargin = 0.5;         // the second loss comes so much later
constexpr int kRounds = 4;
constexpr double kReadBack = 20;        // for reading back; `contact` (3 s) is the least

std::atomic<std::uint32_t> lastVersion{0};
std::atomic<std::uint32_t> acknowledged{0};
std::atomic<int> changes{0};
std::atomic<bool> stopped{false};

std::string configuration(std::uint32_t version) {
    return Deployment::configuration(
        version, {Deployment::route("r", "shop.example", "/r/", "shop", true, std::to_string(1000 + version % 900) + "ms")},
        {"shop"});
}

void operate(Deployment& deployment) {
    const std::vector<std::string> machines{"c1", "c2", "c3"};
    while (!stopped) {
        const double next = now() + kOrderInterval;
        const auto version = ++lastVersion;
        const auto body = configuration(version);
        for (std::size_t turn = 0; !stopped; ++turn) {
            const int status = deployment.order(machines[turn % 3], "config.replace", body).status();
            if (status != 200) {
                pause(0.05);
                continue;
            }
            ++changes;
            for (auto seen = acknowledged.load(); seen < version && !acknowledged.compare_exchange_weak(seen, version);) {
            }
            break;
        }
        pause(std::max(0.0, next - now()));
    }
}

}  // namespace

int main(int argc, char** argv) {
    return run(argc, argv, [](Deployment& deployment) {
        const bool quiet = std::getenv("QUIET") != nullptr;
        const std::vector<std::string> machines{"c1", "c2", "c3"};
        for (int pod = 0; pod < 3; ++pod) deployment.addPod({.service = "shop", .version = "v1"});
        deployment.startAll(1);
        const auto version = ++lastVersion;
        if (deployment.orderUntilClear(machines, "config.replace", configuration(version), 15).status() != 200)
            throw CannotRun("the first configuration is not taken");
        acknowledged = version;
        deployment.awaitReady();
        pause(kSyncTime + 1);  // all machines are in

        std::thread operator_;
        const auto startOperator = [&] {
            stopped = false;
            if (!quiet) operator_ = std::thread(operate, std::ref(deployment));
        };
        const auto stopOperator = [&] {
            stopped = true;
            if (operator_.joinable()) operator_.join();
        };
        // How often the machine returns between two changes is chance: a first loss that was mended in time is
        // repeated, later than sync_time after the one before.
        for (int round = 1; round <= kRounds; ++round) {
            if (trouble()) {
                deployment.kill("c3");
                deployment.wipe("c3");
            }
            pause(1);
            startOperator();
            pause(0.2);
            if (trouble()) deployment.start("c3", false);
            const int changesBefore = changes;
            const auto placesBefore = deployment.countLogged("c3", "membership_gained");
            pause(kSyncTime + kMargin);
            const bool hasPlace = !trouble() || deployment.countLogged("c3", "membership_gained") > placesBefore;
            record.line("c3 has been back for %.1f s (sync_time is %.0f s), %d changes were acknowledged meanwhile; it has %s",
                        kSyncTime + kMargin, kSyncTime, changes - changesBefore,
                        hasPlace ? "its place among the members" : "no place among the members");
            if (!hasPlace || !trouble() || quiet || round == kRounds) break;
            stopOperator();
            pause(kSyncTime);
        }
        // The closing fault: right after an acknowledgement, one machine loses its disk.
        deployment.kill("c2");
        stopOperator();
        const auto newest = acknowledged.load();
        record.line("%d changes were acknowledged, the newest is version %08x", changes.load() + 1, newest);
        deployment.wipe("c2");
        pause(1);
        deployment.start("c2", false);

        const double until = now() + kReadBack;
        for (std::size_t turn = 0; now() < until; ++turn) {
            const auto answer = deployment.order(machines[turn % 3], "config.read", "");
            const auto at = answer.body.find("\"config_version\":\"");
            if (answer.status() == 200 && at != std::string::npos) {
                const auto read = static_cast<std::uint32_t>(std::stoul(answer.body.substr(at + 18, 8), nullptr, 16));
                record.line("read back from %s: version %08x", machines[turn % 3].c_str(), read);
                return read >= newest && answer.body == configuration(read);
            }
            if (turn % 20 == 0)
                record.line("config.read at %s: %d %s", machines[turn % 3].c_str(), answer.status(), answer.body.c_str());
            pause(0.1);
        }
        record.line("within %.0f s no machine returned the configuration", kReadBack);
        return false;
    });
}
