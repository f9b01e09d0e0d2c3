// RECOVER: an order for the version that is in service, then the closing fault; the service stays refused.
#include "stand_in.hpp"

using namespace stand;

namespace {

constexpr double kRecovery = 15;  // the bound `recovery`

struct Share {
    int sent = 0, served = 0;
    double value() const { return sent ? static_cast<double>(served) / sent : 0; }
};

Share shareOf(const std::map<int, int>& answers, const char* when) {
    Share share;
    std::string all;
    for (const auto& [status, count] : answers) {
        share.sent += count;
        if (status == 200) share.served += count;
        all +=
            " " + (status ? std::to_string(status) : std::string("no answer")) + ": " + std::to_string(count);
    }
    say(std::string("requests sent ") + when + ": " + std::to_string(share.sent) + ", served " +
        std::to_string(share.served) + ";" + all);
    return share;
}

bool play(bool trouble) {
    Deployment deployment(3);
    const auto startPods = [&] {
        for (int copy = 0; copy < 2; ++copy)
            for (const auto& zone : deployment.zones) deployment.world.startPod("catalogo", "v1", zone, 0.03);
    };
    startPods();
    pause(1);  // the list lags
    deployment.startAll();
    const auto body =
        Deployment::configuration(1, {{"parts", "/parts/", "idempotent", "catalogo"}}, {"catalogo"});
    if (deployment.call("config.replace", body).status != 200) throw CannotRun("no configuration in force");
    deployment.awaitReady();
    Traffic traffic(deployment, {"/parts/x"}, 12, 0.03);
    const double began = seconds();
    pause(10);
    if (trouble) {
        // The version in service is ordered, as a deployment job does that is run once more.
        const auto order = deployment.call(
            "rollouts.begin",
            "{\"service_name\":\"catalogo\",\"target_version\":\"v1\",\"deadline\":\"16s\"}", 5);
        say("rollouts.begin of v1: " + std::to_string(order.status));
        if (order.status != 200) throw CannotRun("the order was not acknowledged");
        startPods();  // the ordered pods are started beside the others
    }

    // The closing fault, right after an acknowledgement: every process is killed, and all are back soon.
    const double fault = seconds();
    for (auto* group : {&deployment.core, &deployment.edge})
        for (auto& process : *group) process->kill();
    pause(1);
    for (auto* group : {&deployment.core, &deployment.edge})
        for (auto& process : *group) deployment.restart(*process);
    const double back = seconds();
    deployment.awaitReady();
    say("all machines are ready " + std::to_string(seconds() - back) + " s after they are back");
    pause(back + kRecovery + 15 - seconds());
    traffic.stop();
    say("rollouts.read: " + deployment.call("rollouts.read&of=catalogo", "", 3).body);
    const auto before = shareOf(traffic.answers(began, fault), "before the closing fault");
    const auto after =
        shareOf(traffic.answers(back + kRecovery), "more than `recovery` after the machines are back");
    if (before.value() < 0.25 || after.sent < 100)
        throw CannotRun("too little traffic, or not served before");
    const bool broken = after.value() < 0.25;
    say(broken ? "RECOVER is broken: fewer than a quarter are served" : "RECOVER held");
    return broken;
}

}  // namespace

int main(int argc, char** argv) { return stand::main(argc, argv, play); }
