// The start and the end of the gateway's processes under conditions of real machines: signals at any time,
// addresses and files that are not available yet, limits, damaged stores, a log that nobody reads.
#include <fcntl.h>
#include <sys/resource.h>
#include <sys/stat.h>

#include "support/cluster_fixture.hpp"

using namespace cluster;

namespace {

constexpr auto kPollInterval = std::chrono::milliseconds(1);
constexpr useconds_t kSignalPauseMicros = 200;  // a denser series would keep the program from ending
constexpr Nanos kTimeout = 20 * kSecond;
const std::uintmax_t kMetaPages = 2 * static_cast<std::uintmax_t>(sysconf(_SC_PAGESIZE));

/// Lowers a soft limit of this process, which children that are started meanwhile inherit.
class LowerLimit {
  public:
    LowerLimit(__rlimit_resource resource, rlim_t value) : resource_(resource) {
        getrlimit(resource, &original_);
        const rlimit lower{value, original_.rlim_max};
        setrlimit(resource, &lower);
    }
    ~LowerLimit() { setrlimit(resource_, &original_); }
    LowerLimit(const LowerLimit&) = delete;
    LowerLimit& operator=(const LowerLimit&) = delete;

    /// Gives a child the original limit back.
    void restore(pid_t child) const { prlimit(child, resource_, &original_, nullptr); }

  private:
    __rlimit_resource resource_;
    rlimit original_{};
};

/// Fills a pipe, so that a write that blocks would block for as long as nobody reads.
void fillPipe(int writeEnd) {
    const int flags = fcntl(writeEnd, F_GETFL);
    fcntl(writeEnd, F_SETFL, flags | O_NONBLOCK);
    const std::string line(511, ' ');
    while (::write(writeEnd, (line + "\n").data(), 512) > 0) {
    }
    fcntl(writeEnd, F_SETFL, flags);
}

}  // namespace

class ProcessLifetimeTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ProcessLifetimeTest);
    CPPUNIT_TEST(signalsDuringTheStartWaitForTheirHandlers);
    CPPUNIT_TEST(signalsBesideTheEndDoNotKill);
    CPPUNIT_TEST(addressInUseIsAwaited);
    CPPUNIT_TEST(settingsFileThatIsBeingWrittenIsReadAgain);
    CPPUNIT_TEST(storeThatCannotBeOpenedIsKept);
    CPPUNIT_TEST(fullDiskAtTheFirstStartIsAwaited);
    CPPUNIT_TEST(truncatedStoreIsReplaced);
    CPPUNIT_TEST(logThatNobodyReadsDoesNotHoldUpTheProcess);
    CPPUNIT_TEST(standardStreamsThatAreClosedStayUnused);
    CPPUNIT_TEST_SUITE_END();

    static void handleEvents(Cluster& cluster) { cluster.io.run_one_for(kPollInterval); }

    // Waits for the end of the program and returns its status as waitpid() does; -1 if it does not end.
    static int awaitEnd(Cluster& cluster, const std::string& name) {
        auto& program = cluster.programs[name];
        for (const Nanos end = now() + kTimeout; now() < end; handleEvents(cluster)) {
            if (waitpid(program.id, &program.status, WNOHANG) == 0) continue;
            program.id = -1;
            return program.status;
        }
        return -1;
    }

    // Sends signals in a series until the program has ended. Returns its status, or -1.
    static int signalUntilEnd(Cluster& cluster, const std::string& name) {
        auto& program = cluster.programs[name];
        for (const Nanos end = now() + kTimeout; now() < end; usleep(kSignalPauseMicros)) {
            if (waitpid(program.id, &program.status, WNOHANG) != 0) {
                program.id = -1;
                return program.status;
            }
            for (const int signal : {SIGTERM, SIGHUP, SIGINT}) kill(program.id, signal);
            cluster.io.poll_one();
        }
        return -1;
    }

    static bool isRunning(Cluster& cluster, const std::string& name) {
        auto& program = cluster.programs[name];
        if (waitpid(program.id, &program.status, WNOHANG) == 0) return true;
        program.id = -1;
        return false;
    }

    // Starts a program that waits for its settings, which are read from a FIFO. Returns the writing end.
    static int startHeldAtItsSettings(Cluster& cluster, const std::string& name) {
        const auto file = cluster.settingsFileOf(name);
        CPPUNIT_ASSERT(mkfifo(file.c_str(), 0600) == 0);
        cluster.start(name);
        int writeEnd = -1;
        for (const Nanos end = now() + kTimeout; writeEnd < 0 && now() < end; handleEvents(cluster))
            writeEnd = open(file.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
        CPPUNIT_ASSERT(writeEnd >= 0);
        std::filesystem::remove(file);  // a reload finds no settings, instead of a FIFO without a writer
        return writeEnd;
    }

    static void writeSettings(Cluster& cluster, const std::string& name, int writeEnd) {
        const auto text = cluster.settings(name).dump();
        CPPUNIT_ASSERT(::write(writeEnd, text.data(), text.size()) == static_cast<ssize_t>(text.size()));
        close(writeEnd);
    }

    static std::string storeFileOf(const Cluster& cluster, const std::string& name) {
        return cluster.diskOf(name) + "/promptbook/data.mdb";
    }

    // Waits until the control node, a founder, has its identity and its first epoch on disk.
    static void awaitIdentity(Cluster& cluster, const std::string& name) {
        cluster.until("the disk has its identity", [&] {
            const auto [status, body] = cluster.rpc(name, "status");
            return status == 200 && Json::parse(body)["blank"] == false;
        });
    }

    static const char* firstEventOf(const std::string& name) {
        return name[0] == 'c' ? "store_opened" : "proxy_started";
    }

  public:
    // FAULT: SIGHUP, SIGTERM or SIGINT between the start of the program and its handlers killed it.
    void signalsDuringTheStartWaitForTheirHandlers() {
        for (const std::string name : {"e1", "c1"}) {
            for (const int signal : {SIGTERM, SIGINT}) {
                Cluster cluster;
                const int writeEnd = startHeldAtItsSettings(cluster, name);
                kill(cluster.programs[name].id, SIGHUP);
                kill(cluster.programs[name].id, signal);
                writeSettings(cluster, name, writeEnd);
                CPPUNIT_ASSERT_EQUAL(0, awaitEnd(cluster, name));
            }
            Cluster cluster;
            const int writeEnd = startHeldAtItsSettings(cluster, name);
            kill(cluster.programs[name].id, SIGHUP);
            writeSettings(cluster, name, writeEnd);
            cluster.await(name, "settings_rejected");
            CPPUNIT_ASSERT(isRunning(cluster, name));
        }
    }

    // FAULT: a second signal after the event loop had ended killed the process.
    void signalsBesideTheEndDoNotKill() {
        constexpr int kEnds = 20;
        Cluster cluster;
        cluster.grace = "100ms";
        for (int end = 0; end < kEnds; ++end) {
            for (const std::string name : {"c1", "e1"}) {
                cluster.launch(name);
                cluster.await(name, firstEventOf(name));
                CPPUNIT_ASSERT_EQUAL(0, signalUntilEnd(cluster, name));
            }
        }
    }

    // FAULT: an address that another process still held ended the program at once.
    void addressInUseIsAwaited() {
        Cluster cluster;
        for (const auto& [name, port, event] : std::vector<std::tuple<std::string, unsigned, std::string>>{
                 {"e1", cluster.front, "proxy_started"},
                 {"e1", cluster.probe, "proxy_started"},
                 {"e2", cluster.internal, "proxy_started"},
                 {"c1", cluster.control, "store_opened"},
                 {"c2", cluster.internal, "store_opened"}}) {
            const auto address = cluster.at(name, port);
            auto holder = std::make_unique<tcp::acceptor>(listen(cluster.io, address));
            cluster.launch(name);
            cluster.await(name, "listen_failed");
            holder.reset();
            cluster.await(name, event);
            cluster.until("the program listens", [&] {
                beast::tcp_stream stream(cluster.io);
                ErrorCode code;
                stream.socket().connect(parseAddress(address), code);
                handleEvents(cluster);
                return !code;
            });
            CPPUNIT_ASSERT(isRunning(cluster, name));
            cluster.stop(cluster.programs[name], SIGKILL);
        }
    }

    // FAULT: a settings file that was not written completely at the start ended the program.
    void settingsFileThatIsBeingWrittenIsReadAgain() {
        for (const std::string name : {"e1", "c1"}) {
            Cluster cluster;
            const auto text = cluster.settings(name).dump();
            for (const std::size_t written : {std::size_t{0}, text.size() / 2}) {
                std::ofstream(cluster.settingsFileOf(name)) << text.substr(0, written);
                cluster.start(name);
                cluster.until("the program says that it cannot read its settings", [&] {
                    handleEvents(cluster);
                    return !cluster.programs[name].lines.empty();
                });
                std::ofstream(cluster.settingsFileOf(name)) << text;
                cluster.await(name, firstEventOf(name));
                cluster.stop(cluster.programs[name], SIGKILL);
            }
            std::ofstream(cluster.settingsFileOf(name)) << "{";
            cluster.start(name);
            cluster.until("the program says that it cannot read its settings", [&] {
                handleEvents(cluster);
                return !cluster.programs[name].lines.empty();
            });
            kill(cluster.programs[name].id, SIGTERM);
            CPPUNIT_ASSERT_EQUAL(0, awaitEnd(cluster, name));
        }
    }

    // FAULT: a store that the machine refused to open was taken for a corrupt one and deleted, and the
    // program ended.
    void storeThatCannotBeOpenedIsKept() {
        Cluster cluster;
        cluster.launch("c1");
        const auto opened = cluster.await("c1", "store_opened") - 1;
        awaitIdentity(cluster, "c1");
        const auto disk = cluster.programs["c1"].lines[opened]["disk"];
        cluster.stop(cluster.programs["c1"], SIGKILL);
        const auto data = storeFileOf(cluster, "c1");
        std::filesystem::rename(data, data + ".kept");
        std::filesystem::create_symlink(data, data);  // to itself: opening it fails with ELOOP
        cluster.launch("c1", false);
        cluster.await("c1", "store_open_failed");
        CPPUNIT_ASSERT(isRunning(cluster, "c1"));
        CPPUNIT_ASSERT(std::filesystem::exists(data + ".kept"));
        std::filesystem::rename(data + ".kept", data);
        const auto line = cluster.await("c1", "store_opened") - 1;
        CPPUNIT_ASSERT_EQUAL(disk.dump(), cluster.programs["c1"].lines[line]["disk"].dump());
        kill(cluster.programs["c1"].id, SIGTERM);
        CPPUNIT_ASSERT_EQUAL(0, awaitEnd(cluster, "c1"));
    }

    // FAULT: a disk without room at the first start, or SIGXFSZ, ended the program.
    void fullDiskAtTheFirstStartIsAwaited() {
        Cluster cluster;
        {
            const LowerLimit limit(RLIMIT_FSIZE, 4096);
            std::signal(SIGXFSZ, SIG_DFL);
            cluster.launch("c1");
        }
        cluster.await("c1", "store_open_failed");
        CPPUNIT_ASSERT(isRunning(cluster, "c1"));
        rlimit unlimited{};
        getrlimit(RLIMIT_FSIZE, &unlimited);
        prlimit(cluster.programs["c1"].id, RLIMIT_FSIZE, &unlimited, nullptr);
        cluster.await("c1", "store_opened");
    }

    // FAULT: a store whose file had lost its end killed the program by SIGBUS at each start.
    void truncatedStoreIsReplaced() {
        Cluster cluster;
        cluster.launch("c1");
        cluster.await("c1", "store_opened");
        awaitIdentity(cluster, "c1");
        cluster.stop(cluster.programs["c1"], SIGKILL);
        const auto data = storeFileOf(cluster, "c1");
        std::filesystem::resize_file(data, kMetaPages);
        cluster.launch("c1", false);
        const auto line = cluster.await("c1", "store_corrupt");
        cluster.await("c1", "store_opened", line);
    }

    // FAULT: a full pipe behind standard error held the program up for good, before it listened.
    void logThatNobodyReadsDoesNotHoldUpTheProcess() {
        for (const std::string name : {"e1", "c1"}) {
            Cluster cluster;
            Program program;
            std::ofstream(cluster.settingsFileOf(name)) << cluster.settings(name);
            int ends[2];
            CPPUNIT_ASSERT(pipe2(ends, O_CLOEXEC) == 0);
            fillPipe(ends[1]);
            cluster.spawn(program, {name[0] == 'c' ? "control-plane" : "proxy"},
                          "LICHENLANDING_SETTINGS=" + cluster.settingsFileOf(name),
                          [&](int output) { dup2(ends[1], output); });
            const auto address = cluster.at(name, name[0] == 'c' ? cluster.control : cluster.probe);
            cluster.until("the program answers", [&] {
                const auto* target = name[0] == 'c' ? "/api/rpc?call=status" : "/api/readiness";
                const auto method = name[0] == 'c' ? http::verb::post : http::verb::get;
                return cluster.call(address, method, target).first > 0;
            });
            kill(program.id, SIGTERM);
            cluster.programs[name].id = program.id;
            CPPUNIT_ASSERT_EQUAL(0, awaitEnd(cluster, name));
            close(ends[0]);
            close(ends[1]);
        }
    }

    // Log lines must not end up in a socket or a file that got the number of a closed standard stream.
    void standardStreamsThatAreClosedStayUnused() {
        Cluster cluster;
        std::ofstream(cluster.settingsFileOf("e1")) << cluster.settings("e1");
        const auto file = "LICHENLANDING_SETTINGS=" + cluster.settingsFileOf("e1");
        const pid_t child = fork();
        if (child == 0) {
            for (int stream = 0; stream <= 2; ++stream) close(stream);
            std::string variable = file;
            char* const variables[] = {variable.data(), nullptr};
            execle(GATEWAY, GATEWAY, "proxy", nullptr, variables);
            _exit(127);
        }
        cluster.programs["e1"].id = child;
        cluster.until("the program answers", [&] { return cluster.readiness("e1") > 0; });
        for (int stream = 0; stream <= 2; ++stream) {
            const auto link = "/proc/" + std::to_string(child) + "/fd/" + std::to_string(stream);
            CPPUNIT_ASSERT_EQUAL(std::string("/dev/null"), std::filesystem::read_symlink(link).string());
        }
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ProcessLifetimeTest);
