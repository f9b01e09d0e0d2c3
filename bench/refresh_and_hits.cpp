// What clients notice of a refresh: latency of hits through a sidecar, from the intended send time, with
// signed metadata off, and on with a refresh every second that brings a new set each time. Runs alternate, so
// that a machine that slows down slows both. Three processes: the world (pods and a mirror), the sidecar, the
// clients.
//
//     lichenlanding_bench_refresh [hits a second = 2000] [seconds a run = 5] [rounds = 3] [targets = 1000]
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

constexpr Nanos ms = 1'000'000;
int rate = 2000, seconds = 5, pairs = 3, targets = 1000;

metadata::UnixSeconds wall() {
    return std::chrono::duration_cast<std::chrono::seconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

// Off; on, verifying beside the loop; on, verifying in it.
enum How { off, beside, inLoop };
constexpr const char* names[] = {"off", "on", "on, in the loop"};

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
        sockaddr_in where{};
        socklen_t size = sizeof where;
        getsockname(evhttp_bound_socket_get_fd(bound), reinterpret_cast<sockaddr*>(&where), &size);
        port = ntohs(where.sin_port);
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

// Runs in a child; its first bytes on the pipe are what it tells.
template <typename T, typename Body>
std::pair<pid_t, T> child(Body body) {
    int ends[2];
    if (pipe(ends) != 0) std::exit(1);
    const pid_t made = fork();
    if (made == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        body([&](const T& told) {
            if (write(ends[1], &told, sizeof told) < 0) _exit(1);
        });
        _exit(0);
    }
    T told{};
    if (read(ends[0], &told, sizeof told) != sizeof told) std::exit(1);
    close(ends[0]);
    close(ends[1]);
    return {made, told};
}

void ended(pid_t one) {
    kill(one, SIGKILL);
    waitpid(one, nullptr, 0);
}

std::pair<pid_t, std::uint16_t> pods() {
    return child<std::uint16_t>([](auto told) {
        EventLoop loop;
        Server server(loop, [](auto* call) { Server::answer(call, 200, "body"); });
        told(server.port);
        loop.run();
    });
}

// The mirror alone: making a new set takes it longer than a pod may stand still.
std::pair<pid_t, std::uint16_t> mirrorOf(const std::string& rootFile) {
    metadata_fixture::Repository repository(true, wall());
    std::ofstream(rootFile) << repository.firstRoot();
    return child<std::uint16_t>([&](auto told) {
        EventLoop loop;
        int round = 0;
        const auto renew = [&] {
            for (int one = 0; one < (round == 0 ? targets : 10); ++one)
                metadata::addTarget(repository.role("targets"), "releases/" + std::to_string(one),
                                    std::to_string(round));
            ++round;
            repository.markChanged("targets");
            repository.publish();
        };
        renew();
        Timer renewal(loop, [] {});
        renewal.setCallback([&] {
            renew();
            renewal.start(1000 * ms);
        });
        renewal.start(1000 * ms);
        Server mirror(loop, [&](auto* call) {
            const std::string uri = evhttp_request_get_uri(call);
            const auto file = repository.files.find(uri.substr(uri.rfind('/') + 1));
            if (file == repository.files.end()) Server::answer(call, 404, "");
            else Server::answer(call, 200, file->second);
        });
        told(mirror.port);
        loop.run();
    });
}

std::pair<pid_t, std::uint16_t> startSidecar(const Ports& ports, const std::string& rootFile, How how) {
    return child<std::uint16_t>([&](auto told) {
        Config config;
        config.name = "n0";
        config.listen = {"127.0.0.1", 0};
        config.seed = 7;
        config.sockets = 1024;
        config.discovery = config.platform = {"127.0.0.1", 1};
        auto& settings = config.settings;
        settings.zones = {"a"};
        settings.groups = {
            {"read", 1000 * ms, 2500 * ms, 1, Effect::idempotent, DedupScope::all, 0, false, 0}};
        settings.maxAttempts = 2;
        settings.slowStartTime = 4000 * ms;
        settings.slowStartFloor = 0.4;
        settings.overloadMultiple = 2;
        settings.caps = {1};
        settings.freeAttempts = 1;
        settings.exposureWindow = 6000 * ms;
        settings.voteTtl = 6000 * ms;
        settings.voteTimeout = 800 * ms;
        settings.connectTimeout = 250 * ms;
        settings.idleTimeout = 15'000 * ms;
        settings.maxInFlight = 20'000;
        settings.votesPerSecond = 100;
        config.rollout = RolloutUpdate{5, 0, RolloutState::released, 1, 0};
        config.endpoints.emplace();
        config.endpoints->complete = true;
        for (int pod = 0; pod < 16; ++pod)
            config.endpoints->entries.push_back(
                {"s-" + std::to_string(pod), "127.0.0.1:" + std::to_string(ports.pods), "a", 5});
        std::optional<TrustConfig> trust;
        if (how != off) {
            trust.emplace();
            trust->root = rootFile;
            trust->builds = "releases/{build}";
            trust->directory = rootFile + ".trust";
            trust->metadata.push_back({{{"127.0.0.1", ports.mirror}, "/"}, false});
            trust->thread = how == beside;
            trust->rhythm = {1000 * ms, 100 * ms, 1000 * ms};
        }
        Sidecar made(config, trust);
        told(made.address().port);
        made.run();
    });
}

struct LatencyFigures {
    double median = 0, high = 0, worst = 0;
    std::size_t answered = 0, bad = 0;
};

LatencyFigures load(std::uint16_t port) {
    EventLoop loop;
    std::vector<std::unique_ptr<Connection>> all;
    std::vector<Connection*> idle;
    std::vector<Nanos> took;
    std::size_t bad = 0, open = 0, id = 0;
    const Nanos gap = 1'000'000'000 / rate, begin = loop.now() + 500 * ms, end = begin + seconds * 1'000 * ms;
    for (Nanos next = begin; next < end || open > 0;) {
        loop.runOnce();
        if (loop.now() > end + 5'000 * ms) break;
        for (; next < end && next <= loop.now(); next += gap) {
            if (idle.empty()) {
                all.push_back(std::make_unique<Connection>(loop, Address{"127.0.0.1", port}, 1 << 16));
                idle.push_back(all.back().get());
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
                             1000 * ms, 0, [&, connection, due = next](const CallResponse& back) {
                                 --open;
                                 bad += back.statusCode != 200;
                                 took.push_back(loop.now() - due);
                                 if (connection->available()) idle.push_back(connection);
                             });
        }
    }
    std::sort(took.begin(), took.end());
    const auto at = [&](double share) {
        return took.empty()
                   ? 0
                   : static_cast<double>(
                         took[static_cast<std::size_t>(share * static_cast<double>(took.size() - 1))]) /
                         1e3;
    };
    return {at(0.5), at(0.99), at(1), took.size(), bad + open};
}

double middle(std::vector<double> of) {
    std::sort(of.begin(), of.end());
    return of[of.size() / 2];
}

}  // namespace

int main(int argc, char** argv) {
    int* wanted[] = {&rate, &seconds, &pairs, &targets};
    for (int one = 1; one < argc && one <= 4; ++one) *wanted[one - 1] = std::max(1, std::atoi(argv[one]));
    const std::string rootFile = "/tmp/lichenlanding-bench-" + std::to_string(getpid());
    const auto [podsPid, podsPort] = pods();
    const auto [mirrorPid, mirrorPort] = mirrorOf(rootFile);
    const Ports ports{podsPort, mirrorPort};
    std::vector<double> medians[3], highs[3], worst[3];
    std::printf("%d hits a second, %d s a run, %d targets listed, a new set each second\n", rate, seconds,
                targets);
    for (int run = 0; run < 3 * pairs; ++run) {
        const auto how = static_cast<How>(run / 3 % 2 ? 2 - run % 3 : run % 3);  // there and back
        const auto [pid, port] = startSidecar(ports, rootFile, how);
        const auto figures = load(port);
        ended(pid);
        std::printf("refresh %s: median %.0f us, 99th %.0f us, worst %.0f us, %zu answered, %zu not\n",
                    names[how], figures.median, figures.high, figures.worst, figures.answered, figures.bad);
        std::fflush(stdout);
        medians[how].push_back(figures.median);
        highs[how].push_back(figures.high);
        worst[how].push_back(figures.worst);
    }
    for (const auto how : {beside, inLoop})
        std::printf("%s against off, the runs' middles: median %.2f, 99th %.2f, worst %.2f\n", names[how],
                    middle(medians[how]) / middle(medians[off]), middle(highs[how]) / middle(highs[off]),
                    middle(worst[how]) / middle(worst[off]));
    ended(podsPid);
    ended(mirrorPid);
    const auto removed = std::system(("rm -rf " + rootFile + " " + rootFile + ".trust").c_str());
    return removed == 0 ? 0 : 1;
}
