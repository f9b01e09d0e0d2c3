// Complete exchanges through a proxy's HTTP server with pods and clients that misbehave in one way per case.
// The transcripts show what the client received and which requests reached which pod.
#include "support/http_server_fixture.hpp"

using namespace http_server_fixture;

class HttpServerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(HttpServerTest);
    CPPUNIT_TEST(requestsAndResponsesPassUnchanged);
    CPPUNIT_TEST(pipelinedResponsesInOrder);
    CPPUNIT_TEST(responsesToOtherRequestsAreDropped);
    CPPUNIT_TEST(podsThatDropConnections);
    CPPUNIT_TEST(localReplies);
    CPPUNIT_TEST(unreadableRequestsAreRejected);
    CPPUNIT_TEST(chunksAndLengths);
    CPPUNIT_TEST(clientDisconnectAndProxyDrain);
    CPPUNIT_TEST(clientThatDoesNotReadIsClosed);
    CPPUNIT_TEST(largeBodiesAreStreamed);
    CPPUNIT_TEST_SUITE_END();

    static std::string describeExchange(const std::string& what, HttpServerFixture& fixture,
                                        const std::string& client) {
        return what + "\n client\n" + client + " pods\n" + fixture.receivedByPods();
    }

  public:
    // Method, path, query, body, ids and unknown headers pass unchanged; hop-by-hop headers are removed.
    void requestsAndResponsesPassUnchanged() {
        HttpServerFixture fixture;
        fixture.pod("A", {{ok("one", "X-Other: kept\r\nKeep-Alive: timeout=9\r\n")}, {ok("two")}});
        auto received = fixture.client(
            HttpServerFixture::get(
                "g1", "/read/a?b=c",
                "X-Mine: kept\r\nConnection: keep-alive, X-Hop\r\nX-Hop: off\r\nTE: trailers\r\n"),
            1);
        received += fixture.client(HttpServerFixture::post("p1", "bread", "Content-Type: text/plain\r\n"), 1);
        CPPUNIT_ASSERT_EQUAL(1, fixture.connections["A"]);  // the second request reuses the connection
        approve("http-server-passing", describeExchange("a read and a write", fixture, received));
    }

    // Three requests are pipelined before the first response and sent to different pods. Responses arrive in
    // the order of the requests.
    void pipelinedResponsesInOrder() {
        HttpServerFixture fixture;
        for (const auto* name : {"A", "B", "C"}) fixture.pod(name, {{ok("x")}, {ok("x")}, {ok("x")}});
        const auto received = fixture.client(
            HttpServerFixture::get("1") + HttpServerFixture::get("2", "/none/") +
                HttpServerFixture::get("3") + HttpServerFixture::get("4", "/read/4", "Connection: close\r\n"),
            4, true);
        approve("http-server-pipelined", received);
    }

    // Bytes that belong to another request: a late second response in place of the next one, and one directly
    // after a complete response. No client receives them.
    void responsesToOtherRequestsAreDropped() {
        std::string all;
        {
            HttpServerFixture fixture;
            fixture.pod("A", {{ok("first")},
                              {"HTTP/1.1 200 OK\r\nX-Attempt-Id: w1\r\nX-Response-Seal: s\r\nContent-Length: "
                               "5\r\n\r\nfirst" +
                               ok("second")},
                              {ok("third")}});
            auto received = fixture.client(HttpServerFixture::post("w1", "1"), 1);
            received += fixture.client(HttpServerFixture::post("w2", "2"), 1);
            received += fixture.client(HttpServerFixture::post("w3", "3"), 1);
            all += describeExchange("a late second response in place of the next one", fixture, received);
            CPPUNIT_ASSERT_EQUAL(2, fixture.connections["A"]);
        }
        {
            HttpServerFixture fixture;
            fixture.pod("A",
                        {{ok("first") + "HTTP/1.1 200 OK\r\nX-Attempt-Id: w1\r\nContent-Length: 1\r\n\r\nz"},
                         {ok("second")}});
            auto received = fixture.client(HttpServerFixture::post("w1", "1"), 1);
            received += fixture.client(HttpServerFixture::post("w2", "2"), 1);
            all += describeExchange("a second response directly after the first", fixture, received);
            CPPUNIT_ASSERT_EQUAL(2, fixture.connections["A"]);
        }
        {
            HttpServerFixture fixture;
            fixture.pod("A", {{"HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Response-Seal: "
                               "s\r\nContent-Length: 1\r\n\r\nz",
                               Reply::close}});
            all += describeExchange("only a response to another request", fixture,
                                    fixture.client(HttpServerFixture::post("w1", "1"), 1));
        }
        approve("http-server-answers-of-others", all);
    }

    void podsThatDropConnections() {
        std::string all;
        const auto runCase = [&](const std::string& what, const std::string& request, const Reply& reply) {
            HttpServerFixture fixture;
            fixture.pod("A", {reply});
            all += describeExchange(what, fixture, fixture.client(request, 1));
        };
        const auto write = HttpServerFixture::post("w", "1");
        const auto read = HttpServerFixture::get("r");
        runCase("a write, connection reset after the request was read", write, {"", Reply::reset});
        runCase(
            "a write, truncated response", write,
            {"HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: s\r\nContent-Length: 9\r\n\r\nhalf",
             Reply::close});
        runCase("a write, invalid response", write, {"garbage garbage\r\n\r\n", Reply::close});
        runCase("a write, 200 without X-Response-Seal", write,
                {"HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nContent-Length: 1\r\n\r\nz"});
        runCase("a write, response without a length", write,
                {"HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: s\r\n\r\nz", Reply::close});
        runCase(
            "a write, 503 with X-Not-Executed", write,
            {"HTTP/1.1 503 Full\r\nX-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"});
        runCase("a write, 503 without X-Not-Executed", write,
                {"HTTP/1.1 503 Busy\r\nX-Attempt-Id: {id}\r\nContent-Length: 0\r\n\r\n"});
        runCase("a write, 429 without X-Not-Executed", write,
                {"HTTP/1.1 429 Busy\r\nX-Attempt-Id: {id}\r\nContent-Length: 0\r\n\r\n"});
        runCase("a write, 421 from another pod", write,
                {"HTTP/1.1 421 Misdirected Request\r\nX-Served-By: other\r\nContent-Length: 0\r\n\r\n"});
        runCase("a write, 500 from the pod", write,
                {"HTTP/1.1 500 Oops\r\nX-Attempt-Id: {id}\r\nContent-Length: 4\r\n\r\noops"});
        runCase("a read, connection reset after the request was read", read, {"", Reply::reset});
        runCase("a read, encoded response", read,
                {"HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: s\r\nContent-Encoding: "
                 "gzip\r\nContent-Length: 1\r\n\r\nz"});
        runCase("a read, interim response first", read,
                {"HTTP/1.1 103 Early\r\nLink: x\r\n\r\n" + ok("late")});
        {
            HttpServerFixture fixture;
            tcp::acceptor closedAcceptor(listen(fixture.io, "127.0.0.1:0"));
            const auto port = closedAcceptor.local_endpoint().port();
            closedAcceptor.close();
            fixture.addEndpoint("A", "127.0.0.1:" + std::to_string(port));
            all += describeExchange("a write, connection refused", fixture, fixture.client(write, 1));
        }
        {
            HttpServerFixture fixture;
            fixture.pod("A", {{"", Reply::reset}});
            fixture.pod("B", {{ok("saved")}});
            fixture.router->hosts().at("B")->relativeLatency = 9;  // makes A the first choice
            all += describeExchange("a read, reset by one pod, answered by the next", fixture,
                                    fixture.client(read, 1));
        }
        approve("http-server-broken-pods", all);
    }

    void localReplies() {
        std::string all;
        HttpServerFixture fixture;
        fixture.pod("A", {});
        all += "no route\n" + fixture.client(HttpServerFixture::get("1", "/none/1"), 1);
        all += "no request id\n" + fixture.client("GET /read/1 HTTP/1.1\r\nHost: h\r\n\r\n", 1);
        all += "deadline is not a number\n" +
               fixture.client(
                   "GET /read/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 1\r\nX-Deadline-Ms: soon\r\n\r\n", 1);
        all += "deadline too short\n" +
               fixture.client(
                   "GET /read/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 1\r\nX-Deadline-Ms: 3\r\n\r\n", 1);
        fixture.addEndpoint("A", "", true);
        all += "all pods draining\n" + fixture.client(HttpServerFixture::post("1", "x"), 1);
        all += " pods\n" + fixture.receivedByPods();
        approve("http-server-refusals", all);
    }

    void unreadableRequestsAreRejected() {
        std::string all;
        for (const auto& [what, bytes] : std::vector<std::pair<std::string, std::string>>{
                 {"not HTTP", "hello\r\n\r\n"},
                 {"a length and chunks",
                  "POST /write/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 1\r\nContent-Length: "
                  "3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
                 {"chunks and a length",
                  "POST /write/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 1\r\nTransfer-Encoding: "
                  "chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n"},
                 {"two lengths",
                  "POST /write/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 1\r\nContent-Length: "
                  "3\r\nContent-Length: 4\r\n\r\nabcd"},
                 {"a space before the colon", "GET /read/1 HTTP/1.1\r\nHost : h\r\nX-Attempt-Id: 1\r\n\r\n"},
                 {"a header over the limit",
                  "GET /read/1 HTTP/1.1\r\nHost: h\r\nX-Long: " + std::string(3000, 'x') + "\r\n\r\n"},
                 {"a body over the limit", HttpServerFixture::post("1", std::string(5000, 'x'))},
                 {"invalid chunk size",
                  "POST /write/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 1\r\nTransfer-Encoding: "
                  "chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n"}}) {
            HttpServerFixture fixture;
            fixture.pod("A", {{ok("never")}});
            all += describeExchange(what, fixture, fixture.client(bytes, 1, true));
        }
        approve("http-server-unreadable", all);
    }

    // Chunked requests are sent to the pod with a length, chunked responses to the client with a length.
    void chunksAndLengths() {
        HttpServerFixture fixture;
        fixture.pod("A",
                    {{"HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: s\r\nTransfer-Encoding: "
                      "chunked\r\n\r\n4\r\nwhol\r\n1\r\ne\r\n0\r\n\r\n"},
                     {"HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: s\r\nTransfer-Encoding: "
                      "chunked\r\n\r\n4\r\nwhol\r\n",
                      Reply::close}});
        auto received = fixture.client(
            "POST /write/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 1\r\nX-Deadline-Ms: "
            "4000\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n",
            1);
        received += fixture.client(HttpServerFixture::post("2", "x"), 1);
        approve("http-server-chunks",
                describeExchange("complete chunks, then truncated chunks", fixture, received));
    }

    // A client that disconnects within its request body causes no request to a pod. A request during a drain
    // is served, and the connection closed after it.
    void clientDisconnectAndProxyDrain() {
        HttpServerFixture fixture;
        fixture.pod("A", {{ok("x")}});
        {
            tcp::socket partialClient(fixture.io);
            partialClient.connect(fixture.clients->local_endpoint());
            const auto bytes = HttpServerFixture::post("1", "whole")
                                   .substr(0, HttpServerFixture::post("1", "whole").size() - 2);
            asio::write(partialClient, asio::buffer(bytes));
            fixture.until([&] { return fixture.httpServer->openConnections() == 1; });
            partialClient.close();
            fixture.until([&] { return fixture.httpServer->openConnections() == 0; });
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), fixture.receivedByPods());
        // While draining, received requests are answered and the response closes the connection.
        fixture.httpServer->drain();
        const auto received = fixture.client(HttpServerFixture::get("2"), 1, true);
        fixture.until([&] { return fixture.httpServer->openConnections() == 0; });
        approve("http-server-leaving",
                describeExchange("a partial body, then a request while the proxy drains", fixture, received));
    }

    // A client that does not read its responses is closed after a timeout and does not delay others.
    void clientThatDoesNotReadIsClosed() {
        HttpServerFixture fixture;
        const std::string big(3 << 20, 'b');
        fixture.pod("A", {{ok(big)}, {ok(big)}, {ok(big)}, {ok(big)}, {ok("small")}});
        tcp::socket nonReadingClient(fixture.io);
        nonReadingClient.open(tcp::v4());
        nonReadingClient.set_option(asio::socket_base::receive_buffer_size(4096));
        nonReadingClient.connect(fixture.clients->local_endpoint());
        asio::write(nonReadingClient,
                    asio::buffer(HttpServerFixture::get("1") + HttpServerFixture::get("2") +
                                 HttpServerFixture::get("3") + HttpServerFixture::get("4")));
        fixture.until(
            [&] { return fixture.arrivals.size() == 4 && fixture.httpServer->stats().served == 4; });
        fixture.pollUntilIdle();
        const auto received = fixture.client(HttpServerFixture::get("5"), 1);
        CPPUNIT_ASSERT(received.find("small") != std::string::npos);
        fixture.httpServer->enforceTimeouts(now() + 11 * kSecond);
        fixture.until([&] { return fixture.httpServer->openConnections() <= 1; });
    }

    // Bodies too large to buffer are streamed in blocks in both directions, with a length and chunked. A
    // truncated one does not look complete. A response of any size is read to its last byte and no further.
    void largeBodiesAreStreamed() {
        std::string received;
        const auto big = [](std::size_t size) { return std::string(size, 'b'); };
        const auto* const limits =
            R"({"resource_type":"limits","metadata":{},"spec":{"max_body_bytes":9000000}})";
        for (const std::size_t size :
             {1U, 16383U, 16384U, 16385U, 32768U, 262143U, 262144U, 262145U, 278528U, 1000000U}) {
            HttpServerFixture fixture;
            fixture.pod("A", {{ok(big(size))}, {ok("next")}});
            const auto first = fixture.client(HttpServerFixture::get("1"), 1);
            CPPUNIT_ASSERT_MESSAGE(
                std::to_string(size),
                first.find("[Content-Length: " + std::to_string(size) + "]") != std::string::npos);
            CPPUNIT_ASSERT(fixture.client(HttpServerFixture::get("2"), 1).find("next") != std::string::npos);
        }
        for (const std::size_t size : {300'000U, 900'000U}) {
            HttpServerFixture fixture(limits);
            fixture.pod("A", {{ok("taken")}, {ok("taken")}});
            received += fixture.client(HttpServerFixture::post("1", big(size)), 1, true);
            std::string chunks;
            for (std::size_t at = 0; at < size; at += 50'000) chunks += "c350\r\n" + big(50'000) + "\r\n";
            received += fixture.client(
                "POST /write/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 2\r\nX-Deadline-Ms: "
                "4000\r\nTransfer-Encoding: chunked\r\n\r\n" +
                    chunks + "0\r\n\r\n",
                1, true);
            received += fixture.receivedByPods();
        }
        {
            HttpServerFixture fixture;
            const auto head = std::string("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: s\r\n");
            fixture.pod(
                "A",
                {{head + "Transfer-Encoding: chunked\r\n\r\n61a80\r\n" + big(400'000) + "\r\n0\r\n\r\n"},
                 {head + "Transfer-Encoding: chunked\r\n\r\n61a80\r\n" + big(400'000) + "\r\n", Reply::close},
                 {head + "Content-Length: 400000\r\n\r\n" + big(300'000), Reply::close}});
            for (const auto* id : {"chunks", "truncated chunks", "truncated body with a length"})
                received += std::string(id) + "\n" + fixture.client(HttpServerFixture::get("1"), 1);
        }
        approve("http-server-large-bodies", received);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(HttpServerTest);
