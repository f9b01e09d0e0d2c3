// A rollout is rolled back and read as such. Then other services are rolled out, and all processes of the core are
// killed and started again with their disks. The first rollout has to be read as before.
// TROUBLE=0: no other service is rolled out.
#include "stand.hpp"

using namespace stand;

namespace {

constexpr int kServices = 8;  // besides the first one: eight orders may be under way at once
constexpr int kRounds = 5;
const std::string kDeadline = "6s";  // the pods of the new versions get no requests: undecided, so rolled back

std::string beginBody(const std::string& service, const std::string& version) {
    return "{\"service_name\":\"" + service + "\",\"target_version\":\"" + version + "\",\"deadline\":\"" + kDeadline + "\"}";
}

}  // namespace

int main(int argc, char** argv) {
    return run(argc, argv, [](Deployment& deployment) {
        const std::vector<std::string> machines{"c1", "c2", "c3"};
        std::vector<std::string> services{"shop"};
        for (int number = 1; number <= kServices; ++number) services.push_back("service-" + std::to_string(number));
        std::vector<std::string> routes;
        for (const auto& service : services) {
            for (int pod = 0; pod < 2; ++pod) deployment.addPod({.service = service, .version = "v1"});
            routes.push_back(Deployment::route(service, "shop.example", "/" + service + "/", service, true));
        }
        deployment.startAll(3);
        if (deployment.orderUntilClear(machines, "config.replace", Deployment::configuration(1, routes, services), 15).status() !=
            200)
            throw CannotRun("the first configuration is not taken");
        deployment.awaitReady();

        const auto read = [&](const std::string& service) {
            return deployment.orderUntilClear(machines, "rollouts.read&of=" + service, "", 10);
        };
        const auto begin = [&](const std::string& service, const std::string& version) {
            const int status =
                deployment.orderUntilClear(machines, "rollouts.begin", beginBody(service, version), 5).status();
            record.line("rollouts.begin %s %s: %d", service.c_str(), version.c_str(), status);
            if (status != 200) throw CannotRun("a rollout is not acknowledged");
        };
        // Reads until no rollout of these services is in progress.
        const auto awaitEnds = [&](const std::vector<std::string>& of) {
            for (const auto& service : of)
                for (const double until = now() + 12;;) {
                    const auto answer = read(service);
                    if (answer.status() == 200 && answer.body.find("in_progress") == std::string::npos) break;
                    if (now() > until) throw CannotRun("a rollout of " + service + " does not end");
                    pause(0.1);
                }
        };

        begin("shop", "v2");
        awaitEnds({"shop"});
        const auto before = read("shop");
        record.line("rollouts.read shop: %d %s", before.status(), before.body.c_str());
        if (before.body.find("rolled_back") == std::string::npos) throw CannotRun("the first rollout is not rolled back");

        const std::vector<std::string> others(services.begin() + 1, services.end());
        for (int round = 0; round < kRounds && trouble(); ++round) {
            for (const auto& service : others) begin(service, "v" + std::to_string(round + 2));
            awaitEnds(others);
            const auto answer = read("shop");
            record.line("%d other rollouts have ended; rollouts.read shop: %d %s", (round + 1) * kServices, answer.status(),
                        answer.body.c_str());
        }

        // The closing fault.
        for (const auto& machine : machines) deployment.kill(machine);
        pause(0.5);
        for (const auto& machine : machines) deployment.start(machine, false);
        const auto after = read("shop");
        record.line("after all processes of the core were killed, rollouts.read shop: %d %s", after.status(),
                    after.body.c_str());
        if (after.status() == 0 || after.status() == 503) throw CannotRun("the core does not answer");
        return after.status() == 200 && after.body == before.body;
    });
}
