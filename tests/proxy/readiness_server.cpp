// The readiness endpoint: probes that send no request, and a process without free file descriptors.
#include "proxy/readiness_server.hpp"

#include <sys/resource.h>

#include <cstring>

#include "support/http_server_fixture.hpp"

using namespace http_server_fixture;

class ReadinessServerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ReadinessServerTest);
    CPPUNIT_TEST(acceptsAgainOnceDescriptorsAreFree);
    CPPUNIT_TEST(silentProbesAreClosed);
    CPPUNIT_TEST_SUITE_END();

    asio::io_context io_{1};
    tcp::acceptor acceptor_{listen(io_, "127.0.0.1:0")};

  public:
    void tearDown() override { io_.stop(); }

    // If accept() fails because no file descriptor is free, the server pauses and accepts again later.
    void acceptsAgainOnceDescriptorsAreFree() {
        tcp::socket client(io_);
        tcp::socket next(io_);
        client.open(tcp::v4()), next.open(tcp::v4());
        rlimit before{};
        CPPUNIT_ASSERT_EQUAL(0, ::getrlimit(RLIMIT_NOFILE, &before));
        const rlimit none{0, before.rlim_max};
        CPPUNIT_ASSERT_EQUAL(0, ::setrlimit(RLIMIT_NOFILE, &none));
        client.connect(acceptor_.local_endpoint());
        spawn(io_, "readiness", proxy::serveReadiness(io_, acceptor_, [] { return true; }));
        const auto turns = io_.run_for(std::chrono::milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(0, ::setrlimit(RLIMIT_NOFILE, &before));
        CPPUNIT_ASSERT_MESSAGE(std::to_string(turns) + " turns", turns <= 40);
        std::string received;
        asio::write(client, asio::buffer(std::string("GET / HTTP/1.1\r\nConnection: close\r\n\r\n")));
        asio::async_read(client, asio::dynamic_buffer(received), [](ErrorCode, std::size_t) {});
        while (received.find("200 OK") == std::string::npos)
            CPPUNIT_ASSERT(io_.run_one_for(std::chrono::seconds(5)) > 0);
    }

    // A probe that sends no request, or an incomplete one, is closed.
    void silentProbesAreClosed() {
        spawn(io_, "readiness",
              proxy::serveReadiness(
                  io_, acceptor_, [] { return false; }, 30 * kMillisecond));
        for (const auto* input : {"", "GET / HT", "GET / HTTP/1.1\r\n\r\n"}) {
            tcp::socket client(io_);
            client.connect(acceptor_.local_endpoint());
            asio::write(client, asio::buffer(input, std::strlen(input)));
            std::string received;
            bool ended = false;
            asio::async_read(client, asio::dynamic_buffer(received),
                             [&](ErrorCode, std::size_t) { ended = true; });
            while (!ended) CPPUNIT_ASSERT_MESSAGE(input, io_.run_one_for(std::chrono::seconds(2)) > 0);
            CPPUNIT_ASSERT_EQUAL(std::strlen(input) > 8, received.find("503") != std::string::npos);
        }
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ReadinessServerTest);
