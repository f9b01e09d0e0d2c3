#include "scale_test/scale_run.hpp"

#include <sys/resource.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>

#include "scale_test/hollow.hpp"
#include "scale_test/sizes.hpp"

namespace lichenlanding::scale_test {

using namespace transport;
using Json = nlohmann::json;

namespace {

constexpr std::int64_t kMaxProcesses = 200;
constexpr std::int64_t kReservedDescriptors = 200;  // of a control node, besides its connections to proxies
constexpr Nanos kMemoryCheckInterval = kSecond / 2;

// Subcommands of the program.
constexpr const char* kControlNodeSubcommand = "control-plane";
constexpr const char* kProxySubcommand = "proxy";
constexpr const char* kScaleTestSubcommand = "scale-test";
constexpr const char* kSimulatedProxiesSubcommand = "hollow";

std::string makeTemporaryFolder() {
    auto folder = (std::filesystem::temp_directory_path() / "scale-XXXXXX").string();
    if (!mkdtemp(folder.data()))
        throw std::runtime_error("scale-test: cannot create temporary directory " + folder);
    return folder;
}

Json loadAverages() {
    double averages[3] = {};
    return getloadavg(averages, 3) == 3 ? Json(averages) : Json();
}

std::string simulatorProcessName(std::int64_t first) { return "hollow-from-" + std::to_string(first); }

}  // namespace

ScaleRun::ScaleRun(const ScenarioConfig& scenario, std::string program)
    : scenario_(scenario),
      platform_(io_, scenario_),
      layout_(scenario_, findFreePorts()),
      processes_(io_, std::move(program),
                 [this](const std::string& process, const Json& line) {
                     observations_.add(process, processes_.roleOf(process), line, now());
                 }),
      operator_(io_, scenario_, layout_),
      report_(scenario_.proxies) {
    checkCapacity();
    folder_ = makeTemporaryFolder();
}

ScaleRun::~ScaleRun() {
    processes_.stopAll();
    std::error_code ignored;
    if (!folder_.empty()) std::filesystem::remove_all(folder_, ignored);
}

void ScaleRun::checkCapacity() const {
    rlimit files{};
    getrlimit(RLIMIT_NOFILE, &files);
    const auto limit = static_cast<std::int64_t>(files.rlim_cur);
    if (scenario_.descriptors() > limit)
        throw std::runtime_error("proxies_per_process: the descriptor limit of a process is " +
                                 std::to_string(limit) + ", needed are " +
                                 std::to_string(scenario_.descriptors()));
    if (scenario_.proxies + scenario_.realProxies + kReservedDescriptors > limit)
        throw std::runtime_error("proxies: too many, a control node may have at most " +
                                 std::to_string(limit) + " descriptors");
    if (scenario_.processes() + scenario_.controlNodes + scenario_.realProxies > kMaxProcesses)
        throw std::runtime_error("proxies_per_process: more than " + std::to_string(kMaxProcesses) +
                                 " processes");
}

bool ScaleRun::run() {
    CostReport::print({{"phase", "plan"},
                       {"settings", scenario_.describe()},
                       {"port", layout_.port()},
                       {"load", loadAverages()}});
    CostReport::print({{"phase", "sizes"}, {"of", sizes(scenario_)}});
    spawn(io_, "scale", runPhases());
    spawn(io_, "limit", stopAtLimit());
    spawn(io_, "memory", monitorMemory());
    io_.run();
    processes_.stopAll();
    CostReport::print({{"phase", "end"},
                       {"whole", complete_},
                       {"why", failure_},
                       {"seconds", roundedSeconds(now() - startTime_)},
                       {"memory_mb", roundedMegabytes(peakMemory_)},
                       {"load", loadAverages()},
                       {"logs", observations_.logRecords},
                       {"seed", scenario_.seed}});
    report_.printTables();
    return complete_;
}

// ---- Processes. ----

void ScaleRun::launchControlNode(std::int64_t n, bool bootstrap) {
    const auto settings = layout_.writeControlNodeSettings(folder_, n, bootstrap, platform_.address());
    processes_.launch(RunLayout::controlNodeName(n), Role::controlNode, {kControlNodeSubcommand}, settings);
}

void ScaleRun::launchAll() {
    for (std::int64_t n = 0; n < scenario_.controlNodes; ++n) launchControlNode(n, true);
    for (std::int64_t n = 0; n < scenario_.realProxies; ++n) {
        const auto settings = layout_.writeProxySettings(folder_, n, platform_.address());
        processes_.launch(RunLayout::proxyName(n), Role::proxy, {kProxySubcommand}, settings);
    }
    for (std::int64_t first = 0; first < scenario_.proxies; first += scenario_.proxiesPerProcess) {
        const Json instructions{{"first", first},
                                {"count", std::min(scenario_.proxiesPerProcess, scenario_.proxies - first)},
                                {"port", layout_.port()},
                                {"seeds", layout_.seedAddresses(kPeerPort)},
                                {"heartbeat_ms", kHeartbeatMs}};
        processes_.launch(simulatorProcessName(first), Role::simulatedProxies,
                          {kScaleTestSubcommand, kSimulatedProxiesSubcommand, instructions.dump()}, "");
    }
}

std::string ScaleRun::simulatorProcessOf(std::int64_t proxy) const {
    return simulatorProcessName(proxy / scenario_.proxiesPerProcess * scenario_.proxiesPerProcess);
}

// ---- Run and stop conditions. ----

Task<> ScaleRun::runPhases() {
    try {
        co_await executePhases();
        complete_ = true;
        io_.stop();
    } catch (const std::exception& failure) {
        stopWith(failure.what());
    }
}

Task<> ScaleRun::stopAtLimit() {
    co_await sleep(scenario_.limitSeconds * kSecond);
    stopWith("exceeded limit_s");
}

Task<> ScaleRun::monitorMemory() {
    const auto limit = systemMemory().total / 2;
    for (;;) {
        std::uint64_t usedMemory = 0;
        for (const auto& [_, id] : processes_.running()) usedMemory += residentMemory(id);
        peakMemory_ = std::max(peakMemory_, usedMemory);
        if (usedMemory > limit) stopWith("the processes use more than half of the machine's memory");
        co_await sleep(kMemoryCheckInterval);
    }
}

void ScaleRun::stopWith(const std::string& reason) {
    failure_ = phase_ + ": " + reason;
    io_.stop();
}

}  // namespace lichenlanding::scale_test
