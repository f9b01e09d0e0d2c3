// The sidecar lives on, stays within a small machine's memory and goes on serving, whatever a client or a pod
// sends without end or never takes. The sidecar is a process of its own; the test plays its pod.
#include <boost/asio/read.hpp>
#include <fstream>

#include "support/cluster_fixture.hpp"
#include "support/process_memory.hpp"
#include "support/silent_clients.hpp"

using namespace cluster;

namespace {

constexpr long kMachineMegabytes = 64;
constexpr int kMachineDescriptors = 256;
constexpr std::size_t kCrowd = 40;
constexpr std::size_t kEndlessBytes = 8 << 20;  // of each client, and of each response of the pod

std::string repeated(const std::string& text, std::size_t bytes) {
    std::string all;
    all.reserve(bytes + text.size());
    while (all.size() < bytes) all += text;
    return all;
}

// A sidecar with one pod.
class SidecarProcess {
  public:
    SidecarProcess()
        : folder_((std::filesystem::temp_directory_path() / "sidecar-XXXXXX").string()), pod_(listenHere()) {
        CPPUNIT_ASSERT(mkdtemp(folder_.data()));
        lichenlanding::transport::spawn(io, "pod", acceptPod());
        address = "127.0.0.1:" + std::to_string(listenHere().local_endpoint().port());
        start();
        until("a request is served", [&] { return get() == 200; });
    }
    ~SidecarProcess() {
        kill(id, SIGKILL);
        waitpid(id, nullptr, 0);
        std::filesystem::remove_all(folder_);
    }

    // Sends one request on a new connection; returns its status, or 0 if there is no response.
    int get() {
        int status = 0;
        bool done = false;
        lichenlanding::transport::spawn(io, "call", ask(status, done));
        while (!done) io.run_one_for(std::chrono::seconds(15));
        return status;
    }
    template <typename Condition>
    void until(const char* what, Condition condition) {
        for (const Nanos end = now() + 15 * kSecond; now() < end; pump())
            if (condition()) return;
        CPPUNIT_FAIL(std::string("timed out waiting until ") + what);
    }
    void pump() { io.run_for(std::chrono::milliseconds(10)); }

    static std::string requestLines(const std::string& method, const std::string& number) {
        return method + " /read HTTP/1.1\r\nHost: h\r\nX-Call-Id: " + number +
               "\r\nX-Call-Class: read\r\nX-Budget: 900m\r\n";
    }

    asio::io_context io{1};
    std::string address;
    pid_t id = -1;
    std::string podBody = "served";
    std::optional<EndlessResponse> podResponse;  // instead of the ordinary one

  private:
    tcp::acceptor listenHere() { return listen(io, "127.0.0.1:0"); }
    void start() {
        const auto file = folder_ + "/config.json";
        std::ofstream(file) << settings();
        std::string program = SIDECAR;
        std::string variable = "RELAY_CONFIG=" + file;
        char* arguments[] = {program.data(), nullptr};
        char* variables[] = {variable.data(), nullptr};
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_addopen(&actions, 2, (folder_ + "/log").c_str(), O_CREAT | O_WRONLY, 0600);
        posix_spawn_file_actions_addclosefrom_np(&actions, 3);
        CPPUNIT_ASSERT(posix_spawn(&id, SIDECAR, &actions, nullptr, arguments, variables) == 0);
        posix_spawn_file_actions_destroy(&actions);
        const rlimit descriptors{kMachineDescriptors, kMachineDescriptors};
        prlimit(id, RLIMIT_NOFILE, &descriptors, nullptr);
    }
    Json settings() const {
        const auto pod = "127.0.0.1:" + std::to_string(pod_.local_endpoint().port());
        const Json member{{"id", "s-1"},   {"host_port", pod}, {"locality", "a"}, {"cell", 1},
                          {"phase", "up"}, {"up_since_ms", 0}, {"image_id", 1}};
        const Json read{{"name", "read"}, {"effect", "pure"}, {"goalTimeMs", 1000}, {"deadlineMs", 2500}};
        return {
            {"name", "n0"},
            {"listen", address},
            {"discovery", "127.0.0.1:1"},
            {"seed", "7"},
            {"limits", {{"sockets", kMachineDescriptors}}},
            {"deployer",
             {{"address", "127.0.0.1:1"},
              {"news", {{"image", 1}, {"ring", 2}, {"progress", "live"}, {"ceiling", 1.0}, {"lag_ms", 0}}}}},
            {"known", {{"revision", 1}, {"complete", true}, {"members", Json::array({member})}}},
            {"settings",
             {{"index", 0},
              {"balancers", 1},
              {"zones", {"a"}},
              {"zone", "a"},
              {"tickMs", 5},
              {"classes", Json::array({read})},
              {"limits",
               {{"maxAttempts", 2}, {"connectTimeoutMs", 250}, {"keepaliveMs", 9000}, {"maxOpen", 1000}}},
              {"rules",
               {{"drainGraceMs", 2000},
                {"coldFrom", 0.4},
                {"coldMs", 4500},
                {"fallMultiple", 2},
                {"overloadForMs", 1500}}},
              {"extra",
               {{"voteMode", "majority"},
                {"caps", {0.1, 1.0}},
                {"free", 2},
                {"exposureWindowMs", 6000},
                {"ballotTtlMs", 6000},
                {"answerWaitMs", 800},
                {"callsPerS", 250}}}}}};
    }
    Task<> acceptPod() {
        for (;;) {
            ErrorCode code;
            auto socket = co_await pod_.async_accept(withErrorCode(code));
            if (code) co_return;
            lichenlanding::transport::spawn(io, "pod connection", answer(std::move(socket)));
        }
    }
    Task<> answer(tcp::socket socket) {
        beast::flat_buffer buffer;
        for (;;) {
            http::request<http::string_body> request;
            ErrorCode code;
            co_await http::async_read(socket, buffer, request, withErrorCode(code));
            if (code) co_return;
            if (podResponse) {
                co_await sendEndless(socket, podResponse->begin, podResponse->repeated, podResponse->bytes);
                co_return;
            }
            http::response<http::string_body> response(http::status::ok, 11);
            response.body() = podBody;
            response.prepare_payload();
            co_await http::async_write(socket, response, withErrorCode(code));
            if (code) co_return;
        }
    }
    Task<> ask(int& status, bool& done) {
        beast::tcp_stream stream(io);
        stream.expires_after(std::chrono::seconds(3));
        const auto request = requestLines("GET", "ordinary-" + std::to_string(++lastNumber_)) + "\r\n";
        ErrorCode code;
        co_await stream.async_connect(parseAddress(address), withErrorCode(code));
        if (!code) co_await asio::async_write(stream, asio::buffer(request), withErrorCode(code));
        beast::flat_buffer buffer;
        http::response<http::string_body> response;
        if (!code) co_await http::async_read(stream, buffer, response, withErrorCode(code));
        if (!code) status = static_cast<int>(response.result_int());
        done = true;
    }

    std::string folder_;
    tcp::acceptor pod_;
    int lastNumber_ = 0;
};

}  // namespace

class HostileSidecarClientsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(HostileSidecarClientsTest);
    CPPUNIT_TEST(chunkSizes);
    CPPUNIT_TEST(chunkExtensions);
    CPPUNIT_TEST(trailers);
    CPPUNIT_TEST(emptyLines);
    CPPUNIT_TEST(fields);
    CPPUNIT_TEST(requestsOfManyFields);
    CPPUNIT_TEST(pipelinedRequests);
    CPPUNIT_TEST(unreadResponses);
    CPPUNIT_TEST(podsWithoutEnd);
    CPPUNIT_TEST_SUITE_END();

    static void checkSidecar(SidecarProcess& sidecar) {
        checkProcess(sidecar);
        sidecar.until("a request is served", [&] { return sidecar.get() == 200; });
        checkProcess(sidecar);
    }
    static void checkProcess(const SidecarProcess& sidecar) {
        const auto peak = process_memory::megabytes(sidecar.id, "VmHWM");
        CPPUNIT_ASSERT_MESSAGE("reached " + std::to_string(peak) + " MB",
                               peak >= 0 && peak <= kMachineMegabytes);
        const auto open = process_memory::descriptors(sidecar.id);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(open) + " descriptors",
                               open >= 0 && open < kMachineDescriptors);
    }
    // A crowd sends `bytes` on a connection each and reads nothing.
    static void attack(const std::string& bytes, std::size_t crowd = kCrowd) {
        raiseDescriptorLimit();
        SidecarProcess sidecar;
        SilentClients clients(sidecar.address);
        clients.connect(crowd);
        clients.send(bytes, [&] { sidecar.pump(); });
        clients.close();
        checkSidecar(sidecar);
    }
    static std::string chunked(const std::string& begin, const std::string& endless) {
        return SidecarProcess::requestLines("POST", "hostile") + "Transfer-Encoding: chunked\r\n\r\n" +
               begin + repeated(endless, kEndlessBytes);
    }

  public:
    void chunkSizes() { attack(chunked("", std::string(1000, '0'))); }
    void chunkExtensions() { attack(chunked("1;", std::string(1000, 'e'))); }
    void trailers() {
        attack(chunked("0\r\n", "T: " + std::string(1000, 't') + "\r\n"));
        attack(chunked("0\r\n", "t:\r\n"));
    }
    void emptyLines() {
        attack(repeated("\r\n", kEndlessBytes));
        attack(chunked("1\r\nx\r\n", "\r\n"));
    }
    void fields() {
        attack(SidecarProcess::requestLines("GET", "hostile") + repeated("f:\r\n", kEndlessBytes));
        attack(SidecarProcess::requestLines("GET", "hostile") +
               "F: " + repeated(std::string(1000, 'f'), kEndlessBytes));
    }
    // As many fields as fit into a header, of requests that are not complete.
    void requestsOfManyFields() {
        attack(SidecarProcess::requestLines("GET", "hostile") + repeated("f:\r\n", 30'000), 120);
    }
    void pipelinedRequests() {
        attack(repeated(SidecarProcess::requestLines("GET", "hostile") + "\r\n", kEndlessBytes));
    }
    // Clients that have had their response and do not read it leave room for others.
    void unreadResponses() {
        constexpr std::size_t kBodyBytes = 60'000;
        constexpr std::size_t kClients = 200;
        raiseDescriptorLimit();
        SidecarProcess sidecar;
        sidecar.podBody = std::string(kBodyBytes, 'b');
        std::deque<SilentClients> clients;
        for (std::size_t client = 0; client < kClients; ++client) {
            clients.emplace_back(sidecar.address, 1024).connect(1);
            clients.back().sendOnce(SidecarProcess::requestLines("GET", "unread-" + std::to_string(client)) +
                                    "\r\n");
        }
        checkSidecar(sidecar);
    }
    void podsWithoutEnd() {
        const std::string head = "HTTP/1.1 200 OK\r\n";
        const std::string chunkedHead = head + "Transfer-Encoding: chunked\r\n\r\n";
        for (const auto& [begin, endless] :
             std::map<std::string, std::string>{{head, "f:\r\n"},
                                                {head + "F: ", std::string(1000, 'f')},
                                                {chunkedHead, std::string(1000, '0')},
                                                {chunkedHead + "1;", std::string(1000, 'e')},
                                                {chunkedHead + "0\r\n", "t:\r\n"},
                                                {"", "HTTP/1.1 100 Continue\r\n\r\n"}}) {
            SidecarProcess sidecar;
            sidecar.podResponse = EndlessResponse{begin, endless, kEndlessBytes};
            for (std::size_t request = 0; request < kCrowd; ++request) sidecar.get();
            sidecar.podResponse.reset();
            checkSidecar(sidecar);
        }
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(HostileSidecarClientsTest);
