// A pod that takes its time over a request.
#include "support/http_server_fixture.hpp"

using namespace http_server_fixture;

namespace {

const std::string kAttemptId = "g1";
constexpr std::size_t kBodyBytes = 200'000;  // buffered whole by a proxy
constexpr int kReceiveBytes = 4096;          // of the pod's socket: far less than the body
// Longer than the time for which a silent host keeps a connection without any deadline.
constexpr Nanos kPause = 3500 * kMillisecond;

// Accepts one connection, reads nothing for a while, then reads the request and answers it.
Task<> serveLate(tcp::acceptor& acceptor) {
    ErrorCode code;
    auto socket = co_await acceptor.async_accept(withErrorCode(code));
    co_await sleep(kPause);
    beast::flat_buffer buffer;
    http::request<http::string_body> request;
    co_await http::async_read(socket, buffer, request, withErrorCode(code));
    if (code || request.body().size() != kBodyBytes) co_return;
    const auto response = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + kAttemptId +
                          "\r\nX-Response-Seal: s\r\nContent-Length: 2\r\n\r\nok";
    co_await asio::async_write(socket, asio::buffer(response), withErrorCode(code));
}

}  // namespace

class SlowPodTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(SlowPodTest);
    CPPUNIT_TEST(podThatReadsNoFurtherIsAwaited);
    CPPUNIT_TEST_SUITE_END();

  public:
    // Guards against review/6: the kernel broke off a request after 3 s in which its pod had a full window,
    // long before any deadline.
    void podThatReadsNoFurtherIsAwaited() {
        HttpServerFixture fixture;
        fixture.setLimit("max_body_bytes", kBodyBytes);
        tcp::acceptor acceptor(listen(fixture.io, "127.0.0.1:0"));
        acceptor.set_option(asio::socket_base::receive_buffer_size(kReceiveBytes));
        spawn(fixture.io, "pod", serveLate(acceptor));
        fixture.addEndpoint("A", "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
        const auto received =
            fixture.client("POST /write/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: " + kAttemptId +
                               "\r\nX-Deadline-Ms: "
                               "4900\r\nContent-Length: " +
                               std::to_string(kBodyBytes) + "\r\n\r\n" + std::string(kBodyBytes, 'b'),
                           1);
        CPPUNIT_ASSERT_MESSAGE(received, received.starts_with("  200 "));
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(SlowPodTest);
