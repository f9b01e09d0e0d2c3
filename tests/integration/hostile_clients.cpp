// The gateway's processes live on, stay within the memory of their machine and go on serving, whatever a
// client, a pod or the platform sends without end or never takes. Each test has one process under attack,
// with a small machine, so that a small crowd is enough.
#include "support/cluster_fixture.hpp"
#include "support/process_memory.hpp"
#include "support/silent_clients.hpp"
#include "transport/compression.hpp"

using namespace cluster;

namespace {

constexpr long kMachineMegabytes = 64;
constexpr int kMachineDescriptors = 700;
constexpr std::size_t kCrowd = 40;
constexpr std::size_t kEndlessBytes = 8 << 20;  // of each client
constexpr std::size_t kHeaderBytes = 15'500;    // just below max_header_bytes
constexpr int kPipelined = 32;
constexpr int kReceiveBytes = 1024;  // of a client's socket, so that responses stay where they are made

// What follows the head of a message, again and again.
struct Habit {
    std::string fields;    // of the head, with its last line
    std::string begin;     // sent once
    std::string repeated;  // sent without end
};

const std::string kChunkedHead = "Transfer-Encoding: chunked\r\n\r\n";
const Habit kTrailers{kChunkedHead, "0\r\n", "T: " + std::string(1000, 't') + "\r\n"};
const Habit kShortTrailers{kChunkedHead, "0\r\n", "t:\r\n"};
const Habit kChunkExtension{kChunkedHead, "1;", std::string(1000, 'e')};
const Habit kLastChunkExtension{kChunkedHead, "0;", std::string(1000, 'e')};
const Habit kChunkSize{kChunkedHead, "", std::string(1000, '0')};
const Habit kEmptyLinesForChunks{kChunkedHead, "1\r\nx\r\n", "\r\n"};
const Habit kSmallChunks{kChunkedHead, "", "1;e\r\nx\r\n"};
const Habit kFields{"", "", "f:\r\n"};
// A field that a read of so many bytes ends one byte behind.
const Habit kFieldsOfReads4096{"", "", "f:f\r\n"};
const Habit kFieldsOfReads16384{"", "", "f:" + std::string(39, 'f') + "\r\n"};
const Habit kLongField{"", "F: ", std::string(1000, 'f')};
const Habit kFoldedField{"", "F: f\r\n", " f\r\n"};
const Habit kEmptyLines{"\r\n", "", "\r\n"};

std::string repeated(const std::string& text, std::size_t bytes) {
    std::string all;
    all.reserve(bytes + text.size());
    while (all.size() < bytes) all += text;
    return all;
}

// `line`: the start line and the fields that the receiver expects. They are filled up to a multiple of the
// length of what is repeated.
std::string endless(std::string line, const Habit& habit) {
    const std::string name = "Fill:";
    const auto length = line.size() + name.size() + 2;
    line += name + std::string(habit.repeated.size() - length % habit.repeated.size(), 'f') + "\r\n";
    return line + habit.fields + habit.begin + repeated(habit.repeated, kEndlessBytes);
}

const std::string kUpgradeLines =
    "GET / HTTP/1.1\r\nHost: h\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
    "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n";
const std::string kUpgrade = kUpgradeLines + "\r\n";

// A binary frame, masked with zeros, of 126 bytes to 64 KiB or less than 126.
std::string webSocketFrame(const std::string& payload) {
    constexpr std::size_t kShortBytes = 126;
    std::string frame = "\x82";
    if (payload.size() < kShortBytes) {
        frame += static_cast<char>(0x80 | payload.size());
    } else {
        frame += static_cast<char>(0x80 | kShortBytes);
        frame += static_cast<char>(payload.size() >> 8);
        frame += static_cast<char>(payload.size() & 0xff);
    }
    return frame + std::string(4, '\0') + payload;
}

std::string proxyRequest(const std::string& method, const std::string& furtherFields) {
    return method + " /r/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: hostile\r\nX-Deadline-Ms: 30000\r\n" +
           furtherFields;
}

}  // namespace

class HostileClientsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(HostileClientsTest);
    CPPUNIT_TEST(trailersToProxy);
    CPPUNIT_TEST(chunksToProxy);
    CPPUNIT_TEST(fieldsToProxy);
    CPPUNIT_TEST(emptyLinesToProxy);
    CPPUNIT_TEST(requestOfManyFieldsIsServedInCalm);
    CPPUNIT_TEST(requestsOfManyFields);
    CPPUNIT_TEST(pipelinedRequestsOfManyFields);
    CPPUNIT_TEST(unreadResponsesWithLargeHeaders);
    CPPUNIT_TEST(trailersToReadiness);
    CPPUNIT_TEST(chunksToReadiness);
    CPPUNIT_TEST(fieldsToReadiness);
    CPPUNIT_TEST(trailersToControlNode);
    CPPUNIT_TEST(chunksToControlNode);
    CPPUNIT_TEST(fieldsToControlNode);
    CPPUNIT_TEST(emptyLinesToControlNode);
    CPPUNIT_TEST(trailersOfPods);
    CPPUNIT_TEST(chunksOfPods);
    CPPUNIT_TEST(fieldsOfPods);
    CPPUNIT_TEST(interimResponsesOfPods);
    CPPUNIT_TEST(trailersOfPlatform);
    CPPUNIT_TEST(fieldsOfPlatform);
    CPPUNIT_TEST(fieldsToPeerAddress);
    CPPUNIT_TEST(expandingMessageToProxy);
    CPPUNIT_TEST(expandingMessageToControlNode);
    CPPUNIT_TEST(nestedMessageToProxy);
    CPPUNIT_TEST(nestedMessageToControlNode);
    CPPUNIT_TEST(upgradesToProxy);
    CPPUNIT_TEST(upgradesToControlNode);
    CPPUNIT_TEST_SUITE_END();

    static void launchAll(Cluster& cluster) {
        raiseDescriptorLimit();
        cluster.memoryMegabytes = {{'c', kMachineMegabytes}, {'e', kMachineMegabytes}};
        cluster.maxDescriptors = kMachineDescriptors;
        for (const auto* name : {"c1", "c2", "c3", "e1"}) cluster.launch(name);
        const rlimit descriptors{kMachineDescriptors, kMachineDescriptors};
        for (const auto& [_, program] : cluster.programs)
            prlimit(program.id, RLIMIT_NOFILE, &descriptors, nullptr);
        cluster.until("the first configuration is acknowledged",
                      [&] { return cluster.replace("c1", Cluster::configuration(1, "/first/")) == 200; });
        cluster.until("the proxy is ready", [&] { return cluster.readiness("e1") == 200; });
    }

    static void pump(Cluster& cluster) { cluster.io.run_for(std::chrono::milliseconds(10)); }

    // The process runs, and has stayed within its memory and its descriptors.
    static void checkProcess(Cluster& cluster, const std::string& name) {
        const auto id = cluster.programs[name].id;
        const auto peak = process_memory::megabytes(id, "VmHWM");
        CPPUNIT_ASSERT_MESSAGE(name + " reached " + std::to_string(peak) + " MB",
                               peak >= 0 && peak <= kMachineMegabytes);
        const auto open = process_memory::descriptors(id);
        CPPUNIT_ASSERT_MESSAGE(name + " has " + std::to_string(open) + " descriptors",
                               open >= 0 && open < kMachineDescriptors);
    }
    static void checkProxy(Cluster& cluster) {
        checkProcess(cluster, "e1");
        cluster.until("a request is served", [&] { return cluster.get("e1", "/r/1") == 200; });
        cluster.until("the proxy is ready", [&] { return cluster.readiness("e1") == 200; });
        checkProcess(cluster, "e1");
    }
    static void checkControlNode(Cluster& cluster) {
        checkProcess(cluster, "c1");
        cluster.until("the configuration is read",
                      [&] { return cluster.rpc("c1", "config.read").first == 200; });
        checkProcess(cluster, "c1");
    }

    // A crowd sends `bytes` on a connection each and reads nothing.
    static void sendAll(Cluster& cluster, const std::string& address, const std::string& bytes,
                        std::size_t crowd = kCrowd) {
        SilentClients clients(address, kReceiveBytes);
        clients.connect(crowd);
        clients.send(bytes, [&] { pump(cluster); });
        clients.close();
    }
    static void attackProxy(const Habit& habit) {
        Cluster cluster;
        launchAll(cluster);
        sendAll(cluster, cluster.at("e1", cluster.front), endless(proxyRequest("PUT", ""), habit));
        checkProxy(cluster);
    }
    static void attackReadiness(const Habit& habit) {
        Cluster cluster;
        launchAll(cluster);
        sendAll(cluster, cluster.at("e1", cluster.probe),
                endless("GET /api/readiness HTTP/1.1\r\nHost: h\r\n", habit));
        checkProxy(cluster);
    }
    static void attackControlNode(const Habit& habit) {
        Cluster cluster;
        launchAll(cluster);
        sendAll(cluster, cluster.at("c1", cluster.control),
                endless("POST /api/rpc?call=config.replace HTTP/1.1\r\nHost: h\r\n", habit));
        checkControlNode(cluster);
    }
    // The pods of a crowd's requests answer with `begin` and what follows.
    static void attackFromPods(const std::string& begin, const Habit& habit) {
        Cluster cluster;
        launchAll(cluster);
        cluster.podResponse =
            EndlessResponse{begin + habit.fields + habit.begin, habit.repeated, kEndlessBytes};
        sendAll(cluster, cluster.at("e1", cluster.front), proxyRequest("GET", "\r\n"));
        cluster.podResponse.reset();
        checkProxy(cluster);
    }
    static void attackFromPlatform(const Habit& habit) {
        constexpr std::size_t kPlatformBytes = 400 << 20;
        Cluster cluster;
        launchAll(cluster);
        cluster.platformResponse = EndlessResponse{"HTTP/1.1 200 OK\r\n" + habit.fields + habit.begin,
                                                   habit.repeated, kPlatformBytes};
        for (const auto end = now() + 3 * kSecond; now() < end;) pump(cluster);
        cluster.platformResponse.reset();
        for (const auto* name : {"c1", "c2", "c3"}) checkProcess(cluster, name);
        checkControlNode(cluster);
    }
    // A crowd opens WebSocket connections, as peers do, and says no more than that it lives.
    static void attackPeers(Cluster& cluster, const std::string& name) {
        constexpr std::size_t kPeers = kMachineDescriptors + 100;
        const auto heartbeat = webSocketFrame("p\xf6");  // CBOR null, not compressed
        SilentClients clients(cluster.at(name, cluster.internal));
        clients.connect(kPeers);
        clients.sendOnce(kUpgrade);
        for (const auto end = now() + 3 * kSecond; now() < end; pump(cluster)) clients.sendOnce(heartbeat);
        checkProcess(cluster, name);
        cluster.until("a request is served beside them", [&] {
            pump(cluster);
            clients.sendOnce(heartbeat);
            return name[0] == 'c' ? cluster.rpc(name, "config.read").first == 200
                                  : cluster.get(name, "/r/1") == 200;
        });
        checkProcess(cluster, name);
    }

  public:
    void trailersToProxy() {
        for (const auto* habit : {&kTrailers, &kShortTrailers}) attackProxy(*habit);
    }
    void chunksToProxy() {
        for (const auto* habit : {&kChunkExtension, &kLastChunkExtension, &kChunkSize, &kSmallChunks})
            attackProxy(*habit);
    }
    void fieldsToProxy() {
        for (const auto* habit : {&kFieldsOfReads4096, &kFields, &kLongField, &kFoldedField})
            attackProxy(*habit);
    }
    void emptyLinesToProxy() {
        for (const auto* habit : {&kEmptyLines, &kEmptyLinesForChunks}) attackProxy(*habit);
    }

    void requestOfManyFieldsIsServedInCalm() {
        Cluster cluster;
        launchAll(cluster);
        const auto bytes = proxyRequest("GET", repeated("f:\r\n", kHeaderBytes) + "\r\n");
        cluster.until("it is served",
                      [&] { return cluster.send(cluster.at("e1", cluster.front), bytes) == 200; });
    }
    // Requests inside the limits, with as many fields as fit, to pods that do not answer.
    void requestsOfManyFields() {
        constexpr std::size_t kClients = 250;
        Cluster cluster;
        launchAll(cluster);
        cluster.podsHang = true;
        sendAll(cluster, cluster.at("e1", cluster.front),
                proxyRequest("GET", repeated("f:\r\n", kHeaderBytes) + "\r\n"), kClients);
        cluster.podsHang = false;
        checkProxy(cluster);
    }
    void pipelinedRequestsOfManyFields() {
        Cluster cluster;
        launchAll(cluster);
        cluster.podsHang = true;
        const auto request = proxyRequest("GET", repeated("f:\r\n", kHeaderBytes) + "\r\n");
        sendAll(cluster, cluster.at("e1", cluster.front), repeated(request, request.size() * kPipelined));
        cluster.podsHang = false;
        checkProxy(cluster);
    }
    // Clients that read nothing, of pods whose responses are mostly header.
    void unreadResponsesWithLargeHeaders() {
        constexpr std::size_t kFieldBytes = 60'000;
        Cluster cluster;
        launchAll(cluster);
        cluster.podField = std::string(kFieldBytes, 'f');
        const auto request = proxyRequest("GET", "\r\n");
        sendAll(cluster, cluster.at("e1", cluster.front), repeated(request, request.size() * kPipelined),
                100);
        cluster.podField.clear();
        checkProxy(cluster);
    }

    void trailersToReadiness() {
        for (const auto* habit : {&kTrailers, &kShortTrailers}) attackReadiness(*habit);
    }
    void chunksToReadiness() {
        for (const auto* habit : {&kChunkExtension, &kLastChunkExtension, &kChunkSize})
            attackReadiness(*habit);
    }
    void fieldsToReadiness() {
        for (const auto* habit : {&kFields, &kLongField, &kEmptyLines}) attackReadiness(*habit);
    }

    void trailersToControlNode() {
        for (const auto* habit : {&kTrailers, &kShortTrailers}) attackControlNode(*habit);
    }
    void chunksToControlNode() {
        for (const auto* habit : {&kChunkExtension, &kLastChunkExtension, &kChunkSize, &kSmallChunks})
            attackControlNode(*habit);
    }
    void fieldsToControlNode() {
        for (const auto* habit : {&kFieldsOfReads16384, &kFields, &kLongField, &kFoldedField})
            attackControlNode(*habit);
    }
    void emptyLinesToControlNode() {
        for (const auto* habit : {&kEmptyLines, &kEmptyLinesForChunks}) attackControlNode(*habit);
    }

    void trailersOfPods() {
        for (const auto* habit : {&kTrailers, &kShortTrailers})
            attackFromPods("HTTP/1.1 200 OK\r\nX-Attempt-Id: hostile\r\n", *habit);
    }
    void chunksOfPods() {
        for (const auto* habit : {&kChunkExtension, &kChunkSize, &kSmallChunks})
            attackFromPods("HTTP/1.1 200 OK\r\nX-Attempt-Id: hostile\r\n", *habit);
    }
    void fieldsOfPods() {
        for (const auto* habit : {&kFields, &kLongField})
            attackFromPods("HTTP/1.1 200 OK\r\nX-Attempt-Id: hostile\r\n", *habit);
    }
    void interimResponsesOfPods() {
        attackFromPods("", {"", "", "HTTP/1.1 100 Continue\r\nX-Attempt-Id: hostile\r\n\r\n"});
    }

    void trailersOfPlatform() { attackFromPlatform(kTrailers); }
    void fieldsOfPlatform() { attackFromPlatform(kFields); }

    void fieldsToPeerAddress() {
        Cluster cluster;
        launchAll(cluster);
        sendAll(cluster, cluster.at("c1", cluster.internal), endless(kUpgradeLines, kFieldsOfReads4096));
        checkControlNode(cluster);
    }
    // A peer that has not said who it is sends one message.
    static void sendMessage(Cluster& cluster, const std::string& name, const std::string& message) {
        SilentClients peer(cluster.at(name, cluster.internal));
        peer.connect(1);
        peer.send(kUpgrade, [&] { pump(cluster); });
        peer.send(webSocketFrame(message), [&] { pump(cluster); });
    }
    // 60 KB that expand to a list of 14 million values.
    static std::string expandingMessage() {
        constexpr std::size_t kValues = 14'000'000;
        std::string list = "\x9a";
        for (int shift = 24; shift >= 0; shift -= 8) list += static_cast<char>(kValues >> shift & 0xff);
        return compress(list + std::string(kValues, '\xf6'));
    }
    // Lists of one value, each in another one.
    static std::string nestedMessage() {
        constexpr std::size_t kDepth = 1'000'000;
        return compress(std::string(kDepth, '\x81'));
    }
    void expandingMessageToProxy() {
        Cluster cluster;
        launchAll(cluster);
        sendMessage(cluster, "e1", expandingMessage());
        checkProxy(cluster);
    }
    void expandingMessageToControlNode() {
        Cluster cluster;
        launchAll(cluster);
        sendMessage(cluster, "c1", expandingMessage());
        checkControlNode(cluster);
    }
    void nestedMessageToProxy() {
        Cluster cluster;
        launchAll(cluster);
        sendMessage(cluster, "e1", nestedMessage());
        checkProxy(cluster);
    }
    void nestedMessageToControlNode() {
        Cluster cluster;
        launchAll(cluster);
        sendMessage(cluster, "c1", nestedMessage());
        checkControlNode(cluster);
    }
    void upgradesToProxy() {
        Cluster cluster;
        launchAll(cluster);
        attackPeers(cluster, "e1");
    }
    void upgradesToControlNode() {
        Cluster cluster;
        launchAll(cluster);
        attackPeers(cluster, "c1");
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(HostileClientsTest);
