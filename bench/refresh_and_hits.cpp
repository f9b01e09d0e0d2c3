// Effect of metadata refreshes on clients: latency of requests through a sidecar, measured from the intended
// send time. Runs without signed metadata alternate with runs that refresh every second and find new metadata
// each time, so that a slowdown of the machine affects both. Pods, mirror, sidecar and clients run in
// separate processes.
//
//     lichenlanding_bench_refresh [requests/s = 2000] [seconds per run = 5] [rounds = 3] [targets = 1000]
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <fstream>

#include "sidecar/sidecar.hpp"
#include "support/metadata_repository.hpp"

using namespace lichenlanding;
using namespace lichenlanding::sidecar;

namespace {

constexpr Nanos kMillisecond = 1'000'000;
int rate = 2000, seconds = 5, rounds = 3, targets = 1000;

metadata::UnixSeconds wallClock() {
    return std::chrono::duration_cast<std::chrono::seconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

// Signed metadata is off; on, with verification on a worker thread; on, with verification on the event loop.
enum MetadataMode { off, onWorker, onEventLoop };
constexpr const char* modeNames[] = {"off", "on", "on, in the loop"};

struct Ports {
    std::uint16_t pods = 0, mirror = 0;
};

// An evhttp server on a free port.
class Server {
  public:
    using Serve = std::function<void(evhttp_request*)>;
    Server(EventLoop& loop, Serve serve) : serve_(std::move(serve)), server_(evhttp_new(loop.base())) {
        evhttp_set_gencb(
            server_.get(), [](evhttp_request* call, void* self) { static_cast<Server*>(self)->serve_(call); },
            this);
        auto* bound = evhttp_bind_socket_with_handle(server_.get(), "127.0.0.1", 0);
        sockaddr_in address{};
        socklen_t size = sizeof address;
        getsockname(evhttp_bound_socket_get_fd(bound), reinterpret_cast<sockaddr*>(&address), &size);
        port = ntohs(address.sin_port);
    }
    static void answer(evhttp_request* call, int code, const std::string& body) {
        evbuffer_add(evhttp_request_get_output_buffer(call), body.data(), body.size());
        evhttp_send_reply(call, code, nullptr, nullptr);
    }
    std::uint16_t port;

  private:
    Serve serve_;
    LibeventPtr<evhttp> server_;
};

// Runs `body` in a child process and returns its pid and the value that it passes to its argument.
template <typename T, typename Body>
std::pair<pid_t, T> runInChild(Body body) {
    int ends[2];
    if (pipe(ends) != 0) std::exit(1);
    const pid_t made = fork();
    if (made == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        body([&](const T& report) {
            if (write(ends[1], &report, sizeof report) < 0) _exit(1);
        });
        _exit(0);
    }
    T report{};
    if (read(ends[0], &report, sizeof report) != sizeof report) std::exit(1);
    close(ends[0]);
    close(ends[1]);
    return {made, report};
}

void stopChild(pid_t pid) {
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
}

std::pair<pid_t, std::uint16_t> startPods() {
    return runInChild<std::uint16_t>([](auto report) {
        EventLoop loop;
        Server server(loop, [](auto* call) { Server::answer(call, 200, "body"); });
        report(server.port);
        loop.run();
    });
}

// The mirror has its own process, since signing new metadata would block the pods for too long.
std::pair<pid_t, std::uint16_t> startMirror(const std::string& rootFile) {
    metadata_fixture::Repository repository(true, wallClock());
    std::ofstream(rootFile) << repository.firstRoot();
    return runInChild<std::uint16_t>([&](auto report) {
        EventLoop loop;
        int round = 0;
        const auto renew = [&] {
            for (int index = 0; index < (round == 0 ? targets : 10); ++index)
                metadata::addTarget(repository.role("targets"), "releases/" + std::to_string(index),
                                    std::to_string(round));
            ++round;
            repository.markChanged("targets");
            repository.publish();
        };
        renew();
        Timer renewal(loop, [] {});
        renewal.setCallback([&] {
            renew();
            renewal.start(1000 * kMillisecond);
        });
        renewal.start(1000 * kMillisecond);
        Server mirror(loop, [&](auto* call) {
            const std::string uri = evhttp_request_get_uri(call);
            const auto file = repository.files.find(uri.substr(uri.rfind('/') + 1));
            if (file == repository.files.end()) Server::answer(call, 404, "");
            else Server::answer(call, 200, file->second);
        });
        report(mirror.port);
        loop.run();
    });
}

std::pair<pid_t, std::uint16_t> startSidecar(const Ports& ports, const std::string& rootFile,
                                             MetadataMode mode) {
    return runInChild<std::uint16_t>([&](auto report) {
        Config config;
        config.name = "n0";
        config.listen = {"127.0.0.1", 0};
        config.seed = 7;
        config.sockets = 1024;
        config.discovery = config.platform = {"127.0.0.1", 1};
        auto& settings = config.settings;
        settings.zones = {"a"};
        settings.groups = {{"read", 1000 * kMillisecond, 2500 * kMillisecond, 1, Effect::idempotent,
                            DedupScope::all, 0, false, 0}};
        settings.maxAttempts = 2;
        settings.slowStartTime = 4000 * kMillisecond;
        settings.slowStartFloor = 0.4;
        settings.overloadMultiple = 2;
        settings.caps = {1};
        settings.freeAttempts = 1;
        settings.exposureWindow = 6000 * kMillisecond;
        settings.voteTtl = 6000 * kMillisecond;
        settings.voteTimeout = 800 * kMillisecond;
        settings.connectTimeout = 250 * kMillisecond;
        settings.idleTimeout = 15'000 * kMillisecond;
        settings.maxInFlight = 20'000;
        settings.votesPerSecond = 100;
        config.rollout = RolloutUpdate{5, 0, RolloutState::released, 1, 0};
        config.endpoints.emplace();
        config.endpoints->complete = true;
        for (int pod = 0; pod < 16; ++pod)
            config.endpoints->entries.push_back(
                {"s-" + std::to_string(pod), "127.0.0.1:" + std::to_string(ports.pods), "a", 5});
        std::optional<TrustConfig> trust;
        if (mode != off) {
            trust.emplace();
            trust->rootFile = rootFile;
            trust->buildPathPattern = "releases/{build}";
            trust->directory = rootFile + ".trust";
            trust->metadata.push_back({{{"127.0.0.1", ports.mirror}, "/"}, false});
            trust->verifyOnWorker = mode == onWorker;
            trust->refreshIntervals = {1000 * kMillisecond, 100 * kMillisecond, 1000 * kMillisecond};
        }
        Sidecar made(config, trust);
        report(made.address().port);
        made.run();
    });
}

struct LatencyFigures {
    double median = 0, p99 = 0, worst = 0;
    std::size_t answered = 0, failed = 0;
};

LatencyFigures load(std::uint16_t port) {
    EventLoop loop;
    std::vector<std::unique_ptr<Connection>> connections;
    std::vector<Connection*> idle;
    std::vector<Nanos> latencies;
    std::size_t failed = 0, open = 0, id = 0;
    const Nanos interval = 1'000'000'000 / rate, start = loop.now() + 500 * kMillisecond,
                end = start + seconds * 1'000 * kMillisecond;
    for (Nanos next = start; next < end || open > 0;) {
        loop.runOnce();
        if (loop.now() > end + 5'000 * kMillisecond) break;
        for (; next < end && next <= loop.now(); next += interval) {
            if (idle.empty()) {
                connections.push_back(
                    std::make_unique<Connection>(loop, Address{"127.0.0.1", port}, 1 << 16));
                idle.push_back(connections.back().get());
            }
            auto* connection = idle.back();
            idle.pop_back();
            ++open;
            connection->call({EVHTTP_REQ_GET,
                              "/read",
                              {{"Host", "h"},
                               {"X-Call-Id", "c" + std::to_string(++id)},
                               {"X-Call-Class", "read"},
                               {"X-Budget", "2500m"}},
                              {}},
                             1000 * kMillisecond, 0,
                             [&, connection, due = next](const CallResponse& response) {
                                 --open;
                                 failed += response.statusCode != 200;
                                 latencies.push_back(loop.now() - due);
                                 if (connection->available()) idle.push_back(connection);
                             });
        }
    }
    std::sort(latencies.begin(), latencies.end());
    const auto at = [&](double share) {
        return latencies.empty() ? 0
                                 : static_cast<double>(latencies[static_cast<std::size_t>(
                                       share * static_cast<double>(latencies.size() - 1))]) /
                                       1e3;
    };
    return {at(0.5), at(0.99), at(1), latencies.size(), failed + open};
}

double medianOf(std::vector<double> of) {
    std::sort(of.begin(), of.end());
    return of[of.size() / 2];
}

}  // namespace

int main(int argc, char** argv) {
    int* settings[] = {&rate, &seconds, &rounds, &targets};
    for (int index = 1; index < argc && index <= 4; ++index)
        *settings[index - 1] = std::max(1, std::atoi(argv[index]));
    const std::string rootFile = "/tmp/lichenlanding-bench-" + std::to_string(getpid());
    const auto [podsPid, podsPort] = startPods();
    const auto [mirrorPid, mirrorPort] = startMirror(rootFile);
    const Ports ports{podsPort, mirrorPort};
    std::vector<double> medians[3], p99s[3], worst[3];
    std::printf("%d requests/s, %d s per run, %d listed targets, new metadata each second\n", rate, seconds,
                targets);
    for (int run = 0; run < 3 * rounds; ++run) {
        const auto mode =
            static_cast<MetadataMode>(run / 3 % 2 ? 2 - run % 3 : run % 3);  // forwards and backwards in turn
        const auto [pid, port] = startSidecar(ports, rootFile, mode);
        const auto figures = load(port);
        stopChild(pid);
        std::printf("refresh %s: median %.0f us, 99th %.0f us, worst %.0f us, %zu answered, %zu failed\n",
                    modeNames[mode], figures.median, figures.p99, figures.worst, figures.answered,
                    figures.failed);
        std::fflush(stdout);
        medians[mode].push_back(figures.median);
        p99s[mode].push_back(figures.p99);
        worst[mode].push_back(figures.worst);
    }
    for (const auto mode : {onWorker, onEventLoop})
        std::printf("%s relative to off, medians of the runs: median %.2f, 99th %.2f, worst %.2f\n",
                    modeNames[mode], medianOf(medians[mode]) / medianOf(medians[off]),
                    medianOf(p99s[mode]) / medianOf(p99s[off]), medianOf(worst[mode]) / medianOf(worst[off]));
    stopChild(podsPid);
    stopChild(mirrorPid);
    const auto removed = std::system(("rm -rf " + rootFile + " " + rootFile + ".trust").c_str());
    return removed == 0 ? 0 : 1;
}
