// Soak test of the gateway's programs on loopback: clients use persistent connections while signals,
// restarts, suspensions and configuration changes occur in series and overlap. All choices derive from a
// seed; timing depends on the machine. Prints the violated rules; the exit status is 1 if there are any.
//
//   lichenlanding_soak [--seed N] [--seconds N] [--proxies N] [--clients N] [--heavy]
#include <CLI/CLI.hpp>
#include <array>
#include <iostream>

#include "soak/heavy_clients.hpp"
#include "support/process_memory.hpp"

namespace soak {
namespace {

constexpr const char* kGrace = "2000ms";
constexpr Nanos kExitTimeout = 2500 * kMillisecond;  // the grace period, plus 500 ms for a busy machine
constexpr Nanos kSettleTimeout = 30 * kSecond;
constexpr int kPods = 12;
constexpr long kMemoryMegabytes = 128;  // of each process
constexpr int kControlNodes = 3;

struct Options {
    std::uint32_t seed = 1;
    int seconds = 15;
    int proxies = 4;
    int clients = 24;
    bool heavy = false;
};

class Soak {
  public:
    explicit Soak(const Options& options)
        : options_(options), random_(options.seed), pods_(cluster_, ledger_, kPods) {
        cluster_.grace = kGrace;
        cluster_.memoryMegabytes = {{'c', kMemoryMegabytes}, {'e', kMemoryMegabytes}};
        for (int number = 1; number <= options.proxies; ++number)
            proxies_.push_back("e" + std::to_string(number));
        for (int number = 1; number <= kControlNodes; ++number)
            controlNodes_.push_back("c" + std::to_string(number));
    }

    // Returns true if no rule was violated.
    bool run() {
        start();
        Clients clients(cluster_, ledger_, proxies_, options_.seed);
        clients.start(options_.clients);
        HeavyClients heavyClients(cluster_, ledger_, proxies_, controlNodes_, options_.seed);
        if (options_.heavy) heavyClients.start();
        spawn(cluster_.io, "operator", changeConfiguration());
        spawn(cluster_.io, "proxy disturbances", disturbProxies());
        spawn(cluster_.io, "control node disturbances", disturbControlNodes());
        spawn(cluster_.io, "process watch", watchProcesses());
        const Nanos end = now() + options_.seconds * kSecond;
        drive([&] { return now() >= end; }, end + kSecond);
        stopping_ = true;
        drive([&] { return tasks_ == 0; }, now() + kSettleTimeout);
        clients.stop();
        heavyClients.stop();
        const auto ended = [&] { return clients.ended() && heavyClients.ended(); };
        drive(ended, now() + kSettleTimeout);
        if (tasks_ > 0 || !ended()) ledger_.violate("STUCK", "tasks of the soak did not end");
        try {
            readBack();
        } catch (const std::exception& failure) {
            ledger_.violate("CONFIG", failure.what());
        }
        checkLedger(ledger_);
        report();
        return ledger_.violations.empty();
    }

  private:
    // ---- Processes. ----

    void start() {
        for (const auto& name : controlNodes_) cluster_.launch(name);
        for (const auto& name : controlNodes_) cluster_.await(name, "register_synchronized");
        for (const auto& name : proxies_) cluster_.launch(name);
        version_ = 3;
        // Operators resend what gets no clear answer: on a busy machine a control node may be out of contact.
        int status = 0;
        for (const Nanos end = now() + kSettleTimeout; (status == 0 || status == 503) && now() < end;)
            status = cluster_.replace("c1", Cluster::configuration(version_, "/first/"));
        if (status != 200) ledger_.violate("CONFIG", "the first configuration got " + std::to_string(status));
        acknowledged_ = version_;
        for (const auto& name : proxies_) cluster_.await(name, "readiness_gained");
    }

    template <typename Done>
    void drive(Done done, Nanos until) {
        while (!done() && now() < until) cluster_.io.run_one_for(std::chrono::milliseconds(20));
    }

    void signal(const std::string& name, int number) {
        const auto id = cluster_.programs[name].id;
        if (id > 0) kill(id, number);
    }

    static std::string lastLine(const Program& program) {
        return program.lines.empty() ? "no line" : program.lines.back().dump();
    }

    void recordDisturbance(const std::string& name) { ledger_.disturbances[name].push_back(now()); }

    // Waits until the process has ended. If it is still running at `until`, kills it and returns false.
    Task<bool> awaitEnd(std::string name, Nanos until) {
        auto& program = cluster_.programs[name];
        while (waitpid(program.id, &program.status, WNOHANG) == 0) {
            if (now() > until) {
                recordDisturbance(name);
                cluster_.stop(program, SIGKILL);
                co_return false;
            }
            co_await sleep(10 * kMillisecond);
        }
        program.id = -1;
        co_return true;
    }

    // Sends SIGTERM and up to two more signals that overlap with the shutdown, expects exit status 0 within
    // the grace period, and restarts the process.
    Task<> terminate(std::string name) {
        ending_.insert(name);
        const int extraSignals = static_cast<int>(random_() % 3);
        const bool reloadFirst = random_() % 3 == 0;
        if (reloadFirst) signal(name, SIGHUP);
        signal(name, SIGTERM);
        const Nanos end = now() + kExitTimeout;
        for (int at = 0; at < extraSignals; ++at) {
            co_await sleep(static_cast<Nanos>(random_() % 300) * kMillisecond);
            signal(name, random_() % 2 == 0 ? SIGTERM : SIGHUP);
        }
        const bool ended = co_await awaitEnd(name, end);
        const int status = cluster_.programs[name].status;
        if (!ended) ledger_.violate("GRACE", name + " had not ended after " + kGrace);
        else if (!WIFEXITED(status) || WEXITSTATUS(status) != 0)
            ledger_.violate("EXIT", name + " ended with status " + std::to_string(status) + ", after " +
                                        lastLine(cluster_.programs[name]));
        co_await relaunch(name);
    }

    Task<> killHard(std::string name) {
        ending_.insert(name);
        recordDisturbance(name);
        signal(name, SIGKILL);
        co_await awaitEnd(name, now() + kSecond);
        co_await relaunch(name);
    }

    Task<> freeze(std::string name) {
        recordDisturbance(name);
        signal(name, SIGSTOP);
        co_await sleep(static_cast<Nanos>(50 + random_() % 1500) * kMillisecond);
        recordDisturbance(name);
        signal(name, SIGCONT);
    }

    Task<> reloadInSeries(std::string name) {
        for (int times = 1 + static_cast<int>(random_() % 6); times > 0; --times) {
            signal(name, SIGHUP);
            co_await sleep(static_cast<Nanos>(random_() % 40) * kMillisecond);
        }
    }

    // Restarts the process under one of the conditions that real machines have: its address is still in use,
    // its settings file is still being written, or signals arrive during its start.
    Task<> relaunch(std::string name) {
        co_await sleep(static_cast<Nanos>(random_() % 400) * kMillisecond);
        const auto hold = static_cast<Nanos>(20 + random_() % 400) * kMillisecond;
        switch (random_() % 4) {
            case 0:
                co_await relaunchOnHeldAddress(name, hold);
                break;
            case 1:
                co_await relaunchBeforeSettings(name, hold);
                break;
            default:
                cluster_.launch(name, false);
        }
        ending_.erase(name);
        co_await awaitMain(name);
        for (int signals = static_cast<int>(random_() % 3); signals > 0; --signals) signal(name, SIGHUP);
    }

    Task<> relaunchOnHeldAddress(std::string name, Nanos hold) {
        const std::array ports = {cluster_.internal, name[0] == 'c' ? cluster_.control : cluster_.front};
        // Bound but not listening, so that clients are refused as by a machine that is down.
        tcp::acceptor holder(cluster_.io, tcp::v4());
        ErrorCode inUse;
        holder.bind(parseAddress(cluster_.at(name, ports[random_() % ports.size()])), inUse);
        cluster_.launch(name, false);
        co_await sleep(hold);
    }

    Task<> relaunchBeforeSettings(std::string name, Nanos hold) {
        const auto text = cluster_.settings(name, false).dump();
        std::ofstream(cluster_.settingsFileOf(name)) << text.substr(0, random_() % text.size());
        cluster_.start(name);
        co_await sleep(hold);
        std::ofstream(cluster_.settingsFileOf(name)) << text;
    }

    // Waits until the program blocks signals, which it does first of all; until then the system's loader
    // runs.
    Task<> awaitMain(std::string name) {
        const auto id = cluster_.programs[name].id;
        while (!blocksOrHandles(id, SIGHUP)) co_await sleep(kMillisecond);
    }

    static bool blocksOrHandles(pid_t process, int number) {
        std::ifstream status("/proc/" + std::to_string(process) + "/status");
        for (std::string line; std::getline(status, line);) {
            if (!line.starts_with("SigBlk:") && !line.starts_with("SigCgt:")) continue;
            if (std::stoull(line.substr(line.find('\t')), nullptr, 16) >> (number - 1) & 1) return true;
        }
        return !status.eof() || process <= 0;
    }

    // Rule FAULT: a process that the soak is not ending runs, and stays within its memory.
    Task<> watchProcesses() {
        ++tasks_;
        while (!stopping_) {
            co_await sleep(50 * kMillisecond);
            for (auto& [name, program] : cluster_.programs) {
                checkMemory(name, program);
                if (program.id <= 0 || ending_.contains(name)) continue;
                if (waitpid(program.id, &program.status, WNOHANG) == 0) continue;
                program.id = -1;
                ledger_.violate("FAULT", name + " ended by itself with status " +
                                             std::to_string(program.status) + ", after " + lastLine(program));
            }
        }
        --tasks_;
    }

    void checkMemory(const std::string& name, const Program& program) {
        if (program.id <= 0) return;
        const auto resident = process_memory::megabytes(program.id, "VmRSS");
        highestResident_ = std::max(highestResident_, resident);
        if (resident > kMemoryMegabytes && overMemory_.insert(name).second)
            ledger_.violate("FAULT", name + " has " + std::to_string(resident) + " MB");
    }

    // ---- Disturbances. ----

    // The caller must add `name` to busy_ and count the task in tasks_ before this starts; otherwise a second
    // disturbance could be picked for the same proxy.
    Task<> during(std::string name, Task<> disturbance) {
        co_await std::move(disturbance);
        busy_.erase(name);
        --tasks_;
    }

    Task<> pickDisturbance(const std::string& name) {
        switch (random_() % 8) {
            case 0:
                return killHard(name);
            case 1:
                return freeze(name);
            case 2:
            case 3:
                return reloadInSeries(name);
            default:
                return terminate(name);
        }
    }

    // At most half of the proxies are disturbed at the same time.
    Task<> disturbProxies() {
        ++tasks_;
        while (!stopping_) {
            co_await sleep(static_cast<Nanos>(random_() % 500) * kMillisecond);
            int series = 1 + static_cast<int>(random_() % std::max(options_.proxies / 4, 1));
            for (; series > 0; --series) {
                const auto name = proxies_[random_() % proxies_.size()];
                if (busy_.contains(name) || busy_.size() * 2 >= proxies_.size()) continue;
                ++tasks_;
                busy_.insert(name);
                spawn(cluster_.io, "disturbance", during(name, pickDisturbance(name)));
            }
        }
        --tasks_;
    }

    // Disturbs one control node at a time, because the deployment tolerates the loss of one.
    Task<> disturbControlNodes() {
        ++tasks_;
        while (!stopping_) {
            co_await sleep(static_cast<Nanos>(500 + random_() % 2500) * kMillisecond);
            const auto name = controlNodes_[random_() % controlNodes_.size()];
            co_await pickDisturbance(name);
        }
        --tasks_;
    }

    // ---- The operator. ----

    Task<> changeConfiguration() {
        ++tasks_;
        while (!stopping_) {
            co_await sleep(static_cast<Nanos>(random_() % 700) * kMillisecond);
            ++version_;
            const auto body = Cluster::configuration(version_, "/v" + std::to_string(version_) + "/");
            const auto node = controlNodes_[random_() % controlNodes_.size()];
            const int status = co_await cluster_.callAsync(cluster_.at(node, cluster_.control),
                                                           "/api/rpc?call=config.replace", body);
            if (status == 200) acknowledged_ = version_;
            if (status / 100 == 4)
                ledger_.violate("CONFIG", std::to_string(version_) + " was rejected with status " +
                                              std::to_string(status));
        }
        --tasks_;
    }

    // Every control node must return the last acknowledged configuration or a later one.
    void readBack() {
        for (const auto& name : controlNodes_)
            cluster_.until("the configuration is read back", [&] {
                const auto [status, body] = cluster_.rpc(name, "config.read");
                if (status != 200) return false;
                const auto held = std::stoul(std::string(Json::parse(body)["config_version"]), nullptr, 16);
                if (held < static_cast<unsigned long>(acknowledged_))
                    ledger_.violate("CONFIG", name + " holds " + std::to_string(held) +
                                                  " but the last acknowledged version is " +
                                                  std::to_string(acknowledged_));
                return true;
            });
    }

    void report() {
        std::cout << "seed " << options_.seed << ": " << options_.proxies << " proxies, "
                  << ledger_.requests.size() << " requests, " << ledger_.answered << " answered, "
                  << ledger_.refused << " refused, " << ledger_.failed << " failed, " << ledger_.cut
                  << " cut, " << ledger_.left << " left, configuration " << acknowledged_ << ", at most "
                  << highestResident_ << " MB; " << ledger_.violations.size() << " violations" << std::endl;
        for (const auto& violation : ledger_.violations) std::cout << "  " << violation << std::endl;
    }

    Options options_;
    std::mt19937 random_;
    Cluster cluster_;
    Ledger ledger_;
    Pods pods_;
    std::vector<std::string> proxies_, controlNodes_;
    std::set<std::string> busy_;        // proxies that are being disturbed
    std::set<std::string> ending_;      // programs that the soak is ending or restarting
    std::set<std::string> overMemory_;  // programs that were found above their memory
    long highestResident_ = 0;          // of any program, in megabytes
    int tasks_ = 0;
    int version_ = 0, acknowledged_ = 0;
    bool stopping_ = false;
};

}  // namespace
}  // namespace soak

int main(int argc, char** argv) {
    std::signal(SIGPIPE, SIG_IGN);
    soak::Options options;
    CLI::App app("Soak of the gateway on loopback");
    app.add_option("--seed", options.seed);
    app.add_option("--seconds", options.seconds)->check(CLI::Range(1, 600));
    app.add_option("--proxies", options.proxies)->check(CLI::Range(1, 250));
    app.add_option("--clients", options.clients)->check(CLI::Range(1, 2000));
    app.add_flag("--heavy", options.heavy, "clients and operators that send as much as they may");
    CLI11_PARSE(app, argc, argv);
    try {
        const bool kept = soak::Soak(options).run();
        std::cout << (kept ? "1 passed, 0 failed" : "0 passed, 1 failed") << std::endl;
        return kept ? 0 : 1;
    } catch (const std::exception& error) {
        std::cout << "soak: seed " << options.seed << ": " << error.what() << "\n0 passed, 1 failed"
                  << std::endl;
        return 1;
    }
}
