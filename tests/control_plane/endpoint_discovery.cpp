// Endpoint discovery against a platform that answers requests with 429.
#include "control_plane/endpoint_discovery.hpp"

#include "support/http_server_fixture.hpp"

using namespace http_server_fixture;

class EndpointDiscoveryTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(EndpointDiscoveryTest);
    CPPUNIT_TEST(rateLimitedListIsRestartedOnce);
    CPPUNIT_TEST_SUITE_END();

    asio::io_context io_{1};
    tcp::acceptor acceptor_{listen(io_, "127.0.0.1:0")};
    config::BootstrapSettings boot_;
    subscription::ConfigurationCache cache_{{}};
    std::uint64_t term_ = 1;
    std::vector<std::string> requestedPages_;
    std::function<std::string(const std::string& target)> page_;  // the body; "" for an answer with 429
    control_plane::EndpointDiscovery discovery_{io_, boot_, cache_, [this] { return term_; },
                                                [](const subscription::Json&) {}};

    Task<> platform() {
        auto socket = co_await acceptor_.async_accept(asio::use_awaitable);
        beast::flat_buffer buffer;
        for (;;) {
            http::request<http::string_body> request;
            ErrorCode code;
            co_await http::async_read(socket, buffer, request, withErrorCode(code));
            if (code) co_return;
            requestedPages_.emplace_back(request.target());
            const auto body = page_(requestedPages_.back());
            const auto head = "HTTP/1.1 " + std::string(body.empty() ? "429 No" : "200 OK");
            const auto response =
                head + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
            co_await asio::async_write(socket, asio::buffer(response), withErrorCode(code));
        }
    }

  public:
    void tearDown() override { io_.stop(); }

    // When the lease's term changes while a page is rate-limited, the list must be read again from its first
    // page. While later pages stay rate-limited, retries must back off, and the list is restarted once after
    // its first page is outdated. The second reading is then completed, however old it gets.
    void rateLimitedListIsRestartedOnce() {
        int firstPageRequests = 0;
        page_ = [&](const std::string& target) -> std::string {
            if (target == "/instances")
                return ++firstPageRequests, R"({"instance_list":[],"next_token":"x"})";
            if (firstPageRequests == 1) term_ = 2;
            return firstPageRequests < 3 ? "" : R"({"instance_list":[]})";
        };
        boot_.platformAddress = "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
        spawn(io_, "platform", platform());
        spawn(io_, "list", discovery_.run());
        for (const Nanos startedAt = now(); !cache_.endpointsCurrent();
             io_.run_one_for(std::chrono::milliseconds(5)))
            CPPUNIT_ASSERT_MESSAGE(std::to_string(requestedPages_.size()) + " pages",
                                   now() - startedAt < 5 * kSecond);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, cache_.endpointListVersion().term);
        CPPUNIT_ASSERT_EQUAL(std::string("/instances"), requestedPages_[2]);
        CPPUNIT_ASSERT_EQUAL(3, firstPageRequests);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(requestedPages_.size()) + " pages",
                               requestedPages_.size() <= 14);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(EndpointDiscoveryTest);
