// The proxy's HTTP server without memory for buffers, and at its limit of connections: requests are served
// nevertheless.
#include "support/http_server_fixture.hpp"

using namespace http_server_fixture;

namespace {

constexpr std::size_t kNoBuffers = 0;
constexpr std::size_t kLargeBody = 100'000;  // buffered whole if there is memory for it

std::string largeLimits() {
    return R"({"resource_type":"limits","metadata":{},"spec":{"max_body_bytes":1000000}})";
}

}  // namespace

class BufferLimitTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(BufferLimitTest);
    CPPUNIT_TEST(bodiesAreStreamedWithoutBuffers);
    CPPUNIT_TEST(pipelinedRequestsAreServedInOrderWithoutBuffers);
    CPPUNIT_TEST(buffersAreReturned);
    CPPUNIT_TEST(longestIdleConnectionGivesWay);
    CPPUNIT_TEST(connectionWaitsWhileNoneIsIdle);
    CPPUNIT_TEST(headerLimitAboveFourGigabytesIsNoSmallOne);
    CPPUNIT_TEST_SUITE_END();

  public:
    void bodiesAreStreamedWithoutBuffers() {
        HttpServerFixture fixture(largeLimits(), kNoBuffers);
        fixture.pod("i-1", {{ok(std::string(kLargeBody, 'r'))}, {ok("second")}});
        const auto read = fixture.client(HttpServerFixture::get("a"), 1);
        CPPUNIT_ASSERT_MESSAGE(read, read.find("100000 bytes") != std::string::npos);
        const auto written = fixture.client(HttpServerFixture::post("b", std::string(kLargeBody, 'w')), 1);
        CPPUNIT_ASSERT_MESSAGE(written, written.find("second") != std::string::npos);
        const auto seen = fixture.receivedByPods();
        CPPUNIT_ASSERT_MESSAGE(seen, seen.find("body 100000 bytes") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fixture.buffers.used());
    }

    void pipelinedRequestsAreServedInOrderWithoutBuffers() {
        constexpr int kRequests = 8;
        HttpServerFixture fixture(largeLimits(), kNoBuffers);
        std::deque<Reply> replies;
        std::string bytes;
        for (int number = 0; number < kRequests; ++number) {
            replies.push_back({ok("answer-" + std::to_string(number))});
            bytes += HttpServerFixture::get("q" + std::to_string(number));
        }
        fixture.pod("i-1", replies);
        const auto received = fixture.client(bytes, kRequests);
        std::size_t at = 0;
        for (int number = 0; number < kRequests; ++number) {
            at = received.find("answer-" + std::to_string(number), at);
            CPPUNIT_ASSERT_MESSAGE(received, at != std::string::npos);
        }
        CPPUNIT_ASSERT_EQUAL(1, fixture.connections["i-1"]);  // never two requests at the same time
    }

    void buffersAreReturned() {
        HttpServerFixture fixture(largeLimits());
        fixture.pod("i-1", {{"", Reply::keepOpen}});
        tcp::socket client(fixture.io);
        client.connect(fixture.clients->local_endpoint());
        const auto request =
            HttpServerFixture::get("a", "/read/1", "Content-Length: " + std::to_string(kLargeBody) + "\r\n");
        asio::write(client, asio::buffer(request + std::string(kLargeBody, 'w')));
        fixture.until([&] { return fixture.buffers.used() >= kLargeBody; });
        client.close();
        fixture.until([&] { return fixture.buffers.used() == 0; });
    }

    // FAULT: connections were accepted until no descriptor was left for pods.
    void longestIdleConnectionGivesWay() {
        HttpServerFixture fixture("", 64 << 20, 60);
        const auto idle = connectToTheLimit(fixture, "");
        const auto received = fixture.client(HttpServerFixture::get("a"), 1);
        CPPUNIT_ASSERT_MESSAGE(received, received.find("served") != std::string::npos);
        char byte;
        ErrorCode code;
        idle->front().non_blocking(true);
        idle->front().read_some(asio::buffer(&byte, 1), code);
        CPPUNIT_ASSERT_EQUAL(asio::error::make_error_code(asio::error::eof).message(), code.message());
    }

    void connectionWaitsWhileNoneIsIdle() {
        HttpServerFixture fixture("", 64 << 20, 20);
        const auto slow = connectToTheLimit(fixture, "GET /read/1 HT");
        bool oneWaited = false;
        spawn(fixture.io, "close", closeOnceOneWaits(fixture, slow, oneWaited));
        const auto received = fixture.client(HttpServerFixture::get("a"), 1);
        CPPUNIT_ASSERT_MESSAGE(received, received.find("served") != std::string::npos);
        CPPUNIT_ASSERT(oneWaited);
    }

    // DENIED: a limit beyond the parser's type was cut to its low bits, so that all headers were too long.
    void headerLimitAboveFourGigabytesIsNoSmallOne() {
        HttpServerFixture fixture(
            R"({"resource_type":"limits","metadata":{},"spec":{"max_header_bytes":4294967296}})");
        fixture.pod("i-1", {{ok("served")}});
        const auto received = fixture.client(HttpServerFixture::get("a"), 1);
        CPPUNIT_ASSERT_MESSAGE(received, received.starts_with("  200 "));
    }

  private:
    using Sockets = std::shared_ptr<std::deque<tcp::socket>>;

    // Opens as many connections as the server takes, and sends `bytes` on each.
    static Sockets connectToTheLimit(HttpServerFixture& fixture, const std::string& bytes) {
        constexpr std::size_t kHeaderLimit = 2048;  // of the fixture's configuration
        fixture.pod("i-1", {{ok("served")}});
        const auto most = limits::maxClientConnections(fixture.machine, kHeaderLimit);
        auto sockets = std::make_shared<std::deque<tcp::socket>>();
        while (sockets->size() < most) {
            auto& socket = sockets->emplace_back(fixture.io);
            socket.connect(fixture.clients->local_endpoint());
            asio::write(socket, asio::buffer(bytes));
            fixture.until([&] { return fixture.httpServer->openConnections() == sockets->size(); });
            fixture.pollUntilIdle();
        }
        return sockets;
    }

    // Closes a connection once the next client has had time to be served. Sets `oneWaited` if it was not.
    static Task<> closeOnceOneWaits(HttpServerFixture& fixture, Sockets sockets, bool& oneWaited) {
        co_await sleep(50 * kMillisecond);
        oneWaited = fixture.httpServer->openConnections() == sockets->size() && fixture.arrivals.empty();
        sockets->front().close();
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(BufferLimitTest);
