// Whole exchanges through a proxy's HTTP server: client, gateway, pods. Each case is one of the ways in which
// pods and clients misbehave; the transcript shows what the client got and what reached which pod.
#include "support/http_server_fixture.hpp"

using namespace http_server_fixture;

class HttpServerTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(HttpServerTest);
    CPPUNIT_TEST(requestsAndAnswersPassUnchanged);
    CPPUNIT_TEST(pipelinedAnswersInOrder);
    CPPUNIT_TEST(answersToOtherRequestsReachNobody);
    CPPUNIT_TEST(podsThatBreakOff);
    CPPUNIT_TEST(localReplies);
    CPPUNIT_TEST(unreadableRequestsAreRejected);
    CPPUNIT_TEST(chunksAndLengths);
    CPPUNIT_TEST(clientsAndProxyThatLeave);
    CPPUNIT_TEST(clientThatDoesNotReadIsClosed);
    CPPUNIT_TEST(largeBodiesPassThrough);
    CPPUNIT_TEST_SUITE_END();

    static std::string told(const std::string& what, HttpServerFixture& fixture, const std::string& client) {
        return what + "\n client\n" + client + " pods\n" + fixture.podsSaw();
    }

  public:
    // Method, path, query, body, ids and foreign headers pass unchanged; connection headers do not.
    void requestsAndAnswersPassUnchanged() {
        HttpServerFixture fixture;
        fixture.pod("A", {{ok("one", "X-Other: kept\r\nKeep-Alive: timeout=9\r\n")}, {ok("two")}});
        auto seen = fixture.client(
            HttpServerFixture::get(
                "g1", "/read/a?b=c",
                "X-Mine: kept\r\nConnection: keep-alive, X-Hop\r\nX-Hop: off\r\nTE: trailers\r\n"),
            1);
        seen += fixture.client(HttpServerFixture::post("p1", "bread", "Content-Type: text/plain\r\n"), 1);
        CPPUNIT_ASSERT_EQUAL(1, fixture.connections["A"]);  // the second used the first's connection
        approve("http-server-passing", told("a read and a write", fixture, seen));
    }

    // Three reads ahead of the first answer, at pods of any pace: answers in the order asked.
    void pipelinedAnswersInOrder() {
        HttpServerFixture fixture;
        for (const auto* name : {"A", "B", "C"}) fixture.pod(name, {{ok("x")}, {ok("x")}, {ok("x")}});
        const auto seen = fixture.client(HttpServerFixture::get("1") + HttpServerFixture::get("2", "/none/") +
                                             HttpServerFixture::get("3") +
                                             HttpServerFixture::get("4", "/read/4", "Connection: close\r\n"),
                                         4, true);
        approve("http-server-pipelined", seen);
    }

    // Bytes that belong to another request: a late second answer in the place of the next one's, and one
    // behind a whole answer. Neither reaches a client.
    void answersToOtherRequestsReachNobody() {
        std::string all;
        {
            HttpServerFixture fixture;
            fixture.pod("A", {{ok("first")},
                              {"HTTP/1.1 200 OK\r\nX-Attempt-Id: w1\r\nX-Response-Seal: s\r\nContent-Length: "
                               "5\r\n\r\nfirst" +
                               ok("second")},
                              {ok("third")}});
            auto seen = fixture.client(HttpServerFixture::post("w1", "1"), 1);
            seen += fixture.client(HttpServerFixture::post("w2", "2"), 1);
            seen += fixture.client(HttpServerFixture::post("w3", "3"), 1);
            all += told("a late second answer in the place of the next", fixture, seen);
            CPPUNIT_ASSERT_EQUAL(2, fixture.connections["A"]);
        }
        {
            HttpServerFixture fixture;
            fixture.pod("A",
                        {{ok("first") + "HTTP/1.1 200 OK\r\nX-Attempt-Id: w1\r\nContent-Length: 1\r\n\r\nz"},
                         {ok("second")}});
            auto seen = fixture.client(HttpServerFixture::post("w1", "1"), 1);
            seen += fixture.client(HttpServerFixture::post("w2", "2"), 1);
            all += told("a second answer right behind the first", fixture, seen);
            CPPUNIT_ASSERT_EQUAL(2, fixture.connections["A"]);
        }
        {
            HttpServerFixture fixture;
            fixture.pod("A", {{"HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Response-Seal: "
                               "s\r\nContent-Length: 1\r\n\r\nz",
                               Reply::close}});
            all += told("the answer of another request alone", fixture,
                        fixture.client(HttpServerFixture::post("w1", "1"), 1));
        }
        approve("http-server-answers-of-others", all);
    }

    void podsThatBreakOff() {
        std::string all;
        const auto play = [&](const std::string& what, const std::string& request, const Reply& act) {
            HttpServerFixture fixture;
            fixture.pod("A", {act});
            all += told(what, fixture, fixture.client(request, 1));
        };
        const auto write = HttpServerFixture::post("w", "1");
        const auto read = HttpServerFixture::get("r");
        play("a write, reset after it was read", write, {"", Reply::reset});
        play("a write, the answer cut short", write,
             {"HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: s\r\nContent-Length: 9\r\n\r\nhalf",
              Reply::close});
        play("a write, bytes that are no answer", write, {"garbage garbage\r\n\r\n", Reply::close});
        play("a write, a success without its stamp", write,
             {"HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nContent-Length: 1\r\n\r\nz"});
        play("a write, an answer without a length", write,
             {"HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: s\r\n\r\nz", Reply::close});
        play("a write, turned away", write,
             {"HTTP/1.1 503 Full\r\nX-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"});
        play("a write, 503 without that word", write,
             {"HTTP/1.1 503 Busy\r\nX-Attempt-Id: {id}\r\nContent-Length: 0\r\n\r\n"});
        play("a write, 429 without that word", write,
             {"HTTP/1.1 429 Busy\r\nX-Attempt-Id: {id}\r\nContent-Length: 0\r\n\r\n"});
        play("a write, another pod lives there", write,
             {"HTTP/1.1 421 Misdirected Request\r\nX-Served-By: other\r\nContent-Length: 0\r\n\r\n"});
        play("a write, its own failure", write,
             {"HTTP/1.1 500 Oops\r\nX-Attempt-Id: {id}\r\nContent-Length: 4\r\n\r\noops"});
        play("a read, reset after it was read", read, {"", Reply::reset});
        play("a read, an encoded answer", read,
             {"HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: s\r\nContent-Encoding: "
              "gzip\r\nContent-Length: 1\r\n\r\nz"});
        play("a read, interim answers first", read, {"HTTP/1.1 103 Early\r\nLink: x\r\n\r\n" + ok("late")});
        {
            HttpServerFixture fixture;
            tcp::acceptor gone(listen(fixture.io, "127.0.0.1:0"));
            const auto port = gone.local_endpoint().port();
            gone.close();
            fixture.list("A", "127.0.0.1:" + std::to_string(port));
            all += told("a write, nobody listens", fixture, fixture.client(write, 1));
        }
        {
            HttpServerFixture fixture;
            fixture.pod("A", {{"", Reply::reset}});
            fixture.pod("B", {{ok("saved")}});
            fixture.router->hosts().at("B")->relativeLatency = 9;  // so that A is asked first
            all += told("a read, reset at one pod, answered by the next", fixture, fixture.client(read, 1));
        }
        approve("http-server-broken-pods", all);
    }

    void localReplies() {
        std::string all;
        HttpServerFixture fixture;
        fixture.pod("A", {});
        all += "no route\n" + fixture.client(HttpServerFixture::get("1", "/none/1"), 1);
        all += "no id\n" + fixture.client("GET /read/1 HTTP/1.1\r\nHost: h\r\n\r\n", 1);
        all += "a deadline that is no number\n" +
               fixture.client(
                   "GET /read/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 1\r\nX-Deadline-Ms: soon\r\n\r\n", 1);
        all += "no time left\n" +
               fixture.client(
                   "GET /read/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 1\r\nX-Deadline-Ms: 3\r\n\r\n", 1);
        fixture.list("A", "", true);
        all += "all pods draining\n" + fixture.client(HttpServerFixture::post("1", "x"), 1);
        all += " pods\n" + fixture.podsSaw();
        approve("http-server-refusals", all);
    }

    void unreadableRequestsAreRejected() {
        std::string all;
        for (const auto& [what, bytes] : std::vector<std::pair<std::string, std::string>>{
                 {"no HTTP", "hello\r\n\r\n"},
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
                 {"an odd chunk",
                  "POST /write/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 1\r\nTransfer-Encoding: "
                  "chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n"}}) {
            HttpServerFixture fixture;
            fixture.pod("A", {{ok("never")}});
            all += told(what, fixture, fixture.client(bytes, 1, true));
        }
        approve("http-server-unreadable", all);
    }

    // Chunks from the client arrive with a length at the pod; chunks from the pod with one at the client.
    void chunksAndLengths() {
        HttpServerFixture fixture;
        fixture.pod("A",
                    {{"HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: s\r\nTransfer-Encoding: "
                      "chunked\r\n\r\n4\r\nwhol\r\n1\r\ne\r\n0\r\n\r\n"},
                     {"HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: s\r\nTransfer-Encoding: "
                      "chunked\r\n\r\n4\r\nwhol\r\n",
                      Reply::close}});
        auto seen = fixture.client(
            "POST /write/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 1\r\nX-Deadline-Ms: "
            "4000\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n",
            1);
        seen += fixture.client(HttpServerFixture::post("2", "x"), 1);
        approve("http-server-chunks", told("whole chunks, then chunks that break off", fixture, seen));
    }

    // A client that leaves half-way through its body costs nothing at a pod. One that leaves while its write
    // runs does not stop it.
    void clientsAndProxyThatLeave() {
        HttpServerFixture fixture;
        fixture.pod("A", {{ok("x")}});
        {
            tcp::socket half(fixture.io);
            half.connect(fixture.clients->local_endpoint());
            const auto bytes = HttpServerFixture::post("1", "whole")
                                   .substr(0, HttpServerFixture::post("1", "whole").size() - 2);
            asio::write(half, asio::buffer(bytes));
            fixture.until([&] { return fixture.httpServer->openConnections() == 1; });
            half.close();
            fixture.until([&] { return fixture.httpServer->openConnections() == 0; });
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), fixture.podsSaw());
        // The proxy drains: what is read is answered, the answer ends the connection.
        fixture.httpServer->drain();
        const auto seen = fixture.client(HttpServerFixture::get("2"), 1, true);
        fixture.until([&] { return fixture.httpServer->openConnections() == 0; });
        approve("http-server-leaving",
                told("half a body, then a request while the proxy drains", fixture, seen));
    }

    // A client that does not read its answers is closed once its time is over, others are not held up.
    void clientThatDoesNotReadIsClosed() {
        HttpServerFixture fixture;
        const std::string big(3 << 20, 'b');
        fixture.pod("A", {{ok(big)}, {ok(big)}, {ok(big)}, {ok(big)}, {ok("small")}});
        tcp::socket unread(fixture.io);
        unread.open(tcp::v4());
        unread.set_option(asio::socket_base::receive_buffer_size(4096));
        unread.connect(fixture.clients->local_endpoint());
        asio::write(unread, asio::buffer(HttpServerFixture::get("1") + HttpServerFixture::get("2") +
                                         HttpServerFixture::get("3") + HttpServerFixture::get("4")));
        fixture.until(
            [&] { return fixture.arrivals.size() == 4 && fixture.httpServer->stats().served == 4; });
        fixture.settle();
        const auto seen = fixture.client(HttpServerFixture::get("5"), 1);
        CPPUNIT_ASSERT(seen.find("small") != std::string::npos);
        fixture.httpServer->enforceTimeouts(now() + 11 * kSecond);
        fixture.until([&] { return fixture.httpServer->openConnections() <= 1; });
    }

    // Bodies too large to hold pass through in blocks, both ways, by length and in chunks; one that breaks
    // off in the middle does not look whole. Whatever its size, an answer is read to its last byte and no
    // further.
    void largeBodiesPassThrough() {
        std::string seen;
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
            seen += fixture.client(HttpServerFixture::post("1", big(size)), 1, true);
            std::string chunks;
            for (std::size_t at = 0; at < size; at += 50'000) chunks += "c350\r\n" + big(50'000) + "\r\n";
            seen += fixture.client(
                "POST /write/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 2\r\nX-Deadline-Ms: "
                "4000\r\nTransfer-Encoding: chunked\r\n\r\n" +
                    chunks + "0\r\n\r\n",
                1, true);
            seen += fixture.podsSaw();
        }
        {
            HttpServerFixture fixture;
            const auto head = std::string("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: s\r\n");
            fixture.pod(
                "A",
                {{head + "Transfer-Encoding: chunked\r\n\r\n61a80\r\n" + big(400'000) + "\r\n0\r\n\r\n"},
                 {head + "Transfer-Encoding: chunked\r\n\r\n61a80\r\n" + big(400'000) + "\r\n", Reply::close},
                 {head + "Content-Length: 400000\r\n\r\n" + big(300'000), Reply::close}});
            for (const auto* id : {"chunks", "chunks cut short", "length cut short"})
                seen += std::string(id) + "\n" + fixture.client(HttpServerFixture::get("1"), 1);
        }
        approve("http-server-large-bodies", seen);
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(HttpServerTest);
