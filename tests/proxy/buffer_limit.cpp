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
        fixture.pod("i-1", {{ok(std::string(kLargeBody, 'r'))}, {ok("a")}, {ok("b")}, {ok("c")}});
        fixture.client(HttpServerFixture::get("a"), 1);
        fixture.client(HttpServerFixture::post("b", std::string(kLargeBody, 'w')), 1);
        fixture.client(HttpServerFixture::get("c") + HttpServerFixture::get("d"), 2);
        fixture.until([&] { return fixture.buffers.used() == 0; });
    }

    // FAULT: connections were accepted until no descriptor was left for pods.
    void longestIdleConnectionGivesWay() {
        constexpr int kDescriptors = 60;
        HttpServerFixture fixture("", 64 << 20, kDescriptors);
        fixture.pod("i-1", {{ok("served")}});
        const auto most = limits::proxyLimits(fixture.machine, 2048).clientConnections;
        std::deque<tcp::socket> idle;
        for (std::size_t number = 0; number < most; ++number) {
            idle.emplace_back(fixture.io).connect(fixture.clients->local_endpoint());
            fixture.until([&] { return fixture.httpServer->openConnections() == number + 1; });
            fixture.pollUntilIdle();
        }
        const auto received = fixture.client(HttpServerFixture::get("a"), 1);
        CPPUNIT_ASSERT_MESSAGE(received, received.find("served") != std::string::npos);
        char byte;
        ErrorCode code;
        idle.front().read_some(asio::buffer(&byte, 1), code);
        CPPUNIT_ASSERT_EQUAL(asio::error::make_error_code(asio::error::eof).message(), code.message());
        CPPUNIT_ASSERT(fixture.httpServer->openConnections() <= most);
    }

    void connectionWaitsWhileNoneIsIdle() {
        constexpr int kDescriptors = 20;
        HttpServerFixture fixture("", 64 << 20, kDescriptors);
        fixture.pod("i-1", {{ok("served")}});
        const auto most = limits::proxyLimits(fixture.machine, 2048).clientConnections;
        std::deque<tcp::socket> slow;
        for (std::size_t number = 0; number < most; ++number) {
            slow.emplace_back(fixture.io).connect(fixture.clients->local_endpoint());
            asio::write(slow.back(), asio::buffer(std::string("GET /read/1 HT")));
            fixture.until([&] { return fixture.httpServer->openConnections() == number + 1; });
            fixture.pollUntilIdle();
        }
        spawn(fixture.io, "close", closeLater(slow));
        const auto received = fixture.client(HttpServerFixture::get("a"), 1);
        CPPUNIT_ASSERT_MESSAGE(received, received.find("served") != std::string::npos);
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
    static Task<> closeLater(std::deque<tcp::socket>& sockets) {
        co_await sleep(30 * kMillisecond);
        sockets.front().close();
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(BufferLimitTest);
