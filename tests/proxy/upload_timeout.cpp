// Requests with a body that is streamed, at their deadline.
#include "support/http_server_fixture.hpp"

using namespace http_server_fixture;

namespace {

constexpr std::size_t kBodyBytes = 600'000;  // more than a proxy buffers
constexpr std::size_t kMaxBodyBytes = 1'000'000;
constexpr int kDeadlineMilliseconds = 300;

// A request of which the client sends the first `sentBytes` of the body.
std::string upload(const std::string& id, const std::string& framing, std::size_t sentBytes) {
    return "POST /write/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: " + id +
           "\r\nX-Deadline-Ms: " + std::to_string(kDeadlineMilliseconds) + "\r\n" + framing +
           std::string(sentBytes, 'b');
}

std::string withLength() { return "Content-Length: " + std::to_string(kBodyBytes) + "\r\n\r\n"; }

}  // namespace

class UploadTimeoutTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(UploadTimeoutTest);
    CPPUNIT_TEST(podThatHasTheWholeBodyAndNoAnswer);
    CPPUNIT_TEST(clientThatSendsNoFurther);
    CPPUNIT_TEST(clientThatSendsNoFurtherChunk);
    CPPUNIT_TEST_SUITE_END();

  public:
    // Guards against review/8: an order whose body was streamed got no answer at its route's timeout.
    void podThatHasTheWholeBodyAndNoAnswer() {
        HttpServerFixture fixture;
        fixture.setLimit("max_body_bytes", kMaxBodyBytes);
        fixture.pod("A", {{"", Reply::keepOpen}});
        const auto received = fixture.client(upload("g1", withLength(), kBodyBytes), 1, true);
        CPPUNIT_ASSERT_MESSAGE(received, received.starts_with("  504 "));
        CPPUNIT_ASSERT_MESSAGE(received, received.ends_with("  then it ends\n"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), fixture.arrivals.size());
    }

    // It is answered as well, and its connection ends with the answer.
    void clientThatSendsNoFurther() { expectAnswer(withLength(), kBodyBytes - 1); }
    void clientThatSendsNoFurtherChunk() {
        expectAnswer("Transfer-Encoding: chunked\r\n\r\nf0000\r\n", kBodyBytes);
    }

  private:
    static void expectAnswer(const std::string& framing, std::size_t sentBytes) {
        HttpServerFixture fixture;
        fixture.setLimit("max_body_bytes", kMaxBodyBytes);
        fixture.pod("A", {{"", Reply::keepOpen}});
        const auto received = fixture.client(upload("g1", framing, sentBytes), 1, true);
        CPPUNIT_ASSERT_MESSAGE(received, received.starts_with("  504 "));
        CPPUNIT_ASSERT_MESSAGE(received, received.ends_with("  then it ends\n"));
        fixture.until([&] { return fixture.httpServer->openConnections() == 0; });
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(UploadTimeoutTest);
