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

constexpr std::int64_t kProcessesMax = 200;
constexpr std::int64_t kOwnDescriptors = 200;  // of a control node, beside its connections to proxies
constexpr Nanos kWatchMemoryEvery = kSecond / 2;

// Words that the program is started with.
constexpr const char* kControlNodeWord = "control-plane";
constexpr const char* kProxyWord = "proxy";
constexpr const char* kScaleWord = "scale-test";
constexpr const char* kHollowWord = "hollow";

std::string makeTemporaryFolder() {
    auto folder = (std::filesystem::temp_directory_path() / "scale-XXXXXX").string();
    if (!mkdtemp(folder.data())) throw std::runtime_error("scale: no folder in " + folder);
    return folder;
}

Json loadAverages() {
    double averages[3] = {};
    return getloadavg(averages, 3) == 3 ? Json(averages) : Json();
}

std::string hollowProcessName(std::int64_t first) { return "hollow-from-" + std::to_string(first); }

}  // namespace

ScaleRun::ScaleRun(const ScenarioConfig& plan, std::string program)
    : plan_(plan),
      platform_(io_, plan_),
      layout_(plan_, findFreePorts()),
      processes_(io_, std::move(program),
                 [this](const std::string& process, const Json& line) {
                     observations_.add(process, processes_.roleOf(process), line, now());
                 }),
      operator_(io_, plan_, layout_),
      report_(plan_.proxies) {
    checkRoom();
    folder_ = makeTemporaryFolder();
}

ScaleRun::~ScaleRun() {
    processes_.stopAll();
    std::error_code ignored;
    if (!folder_.empty()) std::filesystem::remove_all(folder_, ignored);
}

void ScaleRun::checkRoom() const {
    rlimit files{};
    getrlimit(RLIMIT_NOFILE, &files);
    const auto most = static_cast<std::int64_t>(files.rlim_cur);
    if (plan_.descriptors() > most)
        throw std::runtime_error("proxies_per_process: a process may hold " + std::to_string(most) +
                                 " descriptors and would need " + std::to_string(plan_.descriptors()));
    if (plan_.proxies + plan_.realProxies + kOwnDescriptors > most)
        throw std::runtime_error("proxies: a control node may hold " + std::to_string(most) + " descriptors");
    if (plan_.processes() + plan_.controlNodes + plan_.realProxies > kProcessesMax)
        throw std::runtime_error("proxies_per_process: over " + std::to_string(kProcessesMax) + " processes");
}

bool ScaleRun::run() {
    CostReport::print({{"phase", "plan"},
                       {"settings", plan_.describe()},
                       {"port", layout_.port()},
                       {"load", loadAverages()}});
    CostReport::print({{"phase", "sizes"}, {"of", sizes(plan_)}});
    spawn(io_, "scale", runPhases());
    spawn(io_, "limit", stopAtLimit());
    spawn(io_, "memory", watchMemory());
    io_.run();
    processes_.stopAll();
    CostReport::print({{"phase", "end"},
                       {"whole", whole_},
                       {"why", failure_},
                       {"seconds", roundedSeconds(now() - began_)},
                       {"memory_mb", roundedMegabytes(peakMemory_)},
                       {"load", loadAverages()},
                       {"logs", observations_.logRecords},
                       {"seed", plan_.seed}});
    report_.printTables();
    return whole_;
}

// ---- Processes. ----

void ScaleRun::launchControlNode(std::int64_t n, bool bootstrap) {
    const auto settings = layout_.writeControlNodeSettings(folder_, n, bootstrap, platform_.address());
    processes_.launch(RunLayout::controlNodeName(n), Role::controlNode, {kControlNodeWord}, settings);
}

void ScaleRun::launchAll() {
    for (std::int64_t n = 0; n < plan_.controlNodes; ++n) launchControlNode(n, true);
    for (std::int64_t n = 0; n < plan_.realProxies; ++n) {
        const auto settings = layout_.writeProxySettings(folder_, n, platform_.address());
        processes_.launch(RunLayout::proxyName(n), Role::proxy, {kProxyWord}, settings);
    }
    for (std::int64_t first = 0; first < plan_.proxies; first += plan_.proxiesPerProcess) {
        const Json hollow{{"first", first},
                          {"count", std::min(plan_.proxiesPerProcess, plan_.proxies - first)},
                          {"port", layout_.port()},
                          {"seeds", layout_.seedAddresses(kPeerPort)},
                          {"heartbeat_ms", kHeartbeatMs}};
        processes_.launch(hollowProcessName(first), Role::hollowProxies,
                          {kScaleWord, kHollowWord, hollow.dump()}, "");
    }
}

std::string ScaleRun::hollowProcessOf(std::int64_t proxy) const {
    return hollowProcessName(proxy / plan_.proxiesPerProcess * plan_.proxiesPerProcess);
}

// ---- Ends of the run. ----

Task<> ScaleRun::runPhases() {
    try {
        co_await allPhases();
        whole_ = true;
        io_.stop();
    } catch (const std::exception& failure) {
        stopWith(failure.what());
    }
}

Task<> ScaleRun::stopAtLimit() {
    co_await sleep(plan_.limitSeconds * kSecond);
    stopWith("over limit_s");
}

Task<> ScaleRun::watchMemory() {
    const auto half = memory().total / 2;
    for (;;) {
        std::uint64_t sum = 0;
        for (const auto& [_, id] : processes_.running()) sum += resident(id);
        peakMemory_ = std::max(peakMemory_, sum);
        if (sum > half) stopWith("over half of the machine's memory");
        co_await sleep(kWatchMemoryEvery);
    }
}

void ScaleRun::stopWith(const std::string& reason) {
    failure_ = phase_ + ": " + reason;
    io_.stop();
}

}  // namespace lichenlanding::scale_test
