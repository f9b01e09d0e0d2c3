// LOST: an acknowledged rollout that leads back to the version before does not exist.
#include "stand_in.hpp"

using namespace stand;

namespace {

constexpr const char* kTerm = "16s";

std::string order(const std::string& version) {
    return "{\"service_name\":\"catalogo\",\"target_version\":\"" + version + "\",\"deadline\":\"" + kTerm +
           "\"}";
}
bool says(const Answer& answer, const std::string& field, const std::string& value) {
    return answer.body.find("\"" + field + "\":\"" + value + "\"") != std::string::npos;
}

struct Desk {
    Deployment& deployment;
    std::vector<std::shared_ptr<Pod>> serving;

    std::vector<std::shared_ptr<Pod>> startPods(const std::string& version) {
        std::vector<std::shared_ptr<Pod>> pods;
        for (int copy = 0; copy < 2; ++copy)
            for (const auto& zone : deployment.zones)
                pods.push_back(deployment.world.startPod("catalogo", version, zone, 0.03));
        return pods;
    }
    Answer read() { return deployment.call("rollouts.read&of=catalogo"); }
    // Orders a version, starts its pods and waits until the rollout is no longer in progress.
    Answer rollOut(const std::string& version) {
        const auto acknowledged = deployment.call("rollouts.begin", order(version), 5);
        say("rollouts.begin " + version + ": " + std::to_string(acknowledged.status));
        if (acknowledged.status != 200) throw CannotRun("the order was not acknowledged");
        auto fresh = startPods(version);
        const double until = seconds() + 18;
        Answer state;
        do {
            pause(0.5);
            state = read();
        } while (says(state, "state", "in_progress") && seconds() < until);
        say("rollouts.read: " + state.body);
        if (says(state, "state", "completed") && says(state, "target_version", version)) {
            for (const auto& pod : serving) deployment.world.stopPod(*pod);
            serving = std::move(fresh);
        }
        return state;
    }
};

bool play(bool trouble) {
    Deployment deployment(3);
    Desk desk{deployment, {}};
    desk.serving = desk.startPods("v1");
    pause(1);  // the list lags
    deployment.startAll();
    const auto body =
        Deployment::configuration(1, {{"parts", "/parts/", "idempotent", "catalogo"}}, {"catalogo"});
    if (deployment.call("config.replace", body).status != 200) throw CannotRun("no configuration in force");
    deployment.awaitReady();
    Traffic traffic(deployment, {"/parts/x"}, 12, 0.03);
    pause(3);
    if (!says(desk.rollOut("v2"), "state", "completed")) throw CannotRun("v2 was not completed");
    if (trouble && !says(desk.rollOut("v3"), "state", "completed")) throw CannotRun("v3 was not completed");
    pause(6);  // longer than `ack`: what is ordered from here on is no repeat of an earlier order
    const double since = seconds();
    desk.rollOut("v2");
    pause(3);
    say("runs since the last order: " + text(deployment.world.runsByVersion(since)));
    // The closing fault: all processes of the core are killed at the same moment and are back within a
    // second.
    for (auto& node : deployment.core) node->kill();
    pause(0.5);
    for (auto& node : deployment.core) deployment.restart(*node);
    const auto state = deployment.call("rollouts.read&of=catalogo");
    traffic.stop();
    if (state.status != 200) throw CannotRun("no rollout could be read");
    say("after the closing fault, rollouts.read: " + state.body);
    const bool broken = !says(state, "target_version", "v2");
    say(broken ? "LOST is broken: the order for v2, the last one acknowledged, does not exist"
               : "LOST held: the order for v2, the last one acknowledged, is there");
    return broken;
}

}  // namespace

int main(int argc, char** argv) { return stand::main(argc, argv, play); }
