#include "support/scripted_pods.hpp"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

namespace scripted {

namespace http = boost::beast::http;

namespace {

std::string withId(std::string text, const std::string& id) {
    for (auto at = text.find("{id}"); at != std::string::npos; at = text.find("{id}"))
        text.replace(at, 4, id);
    return text;
}

std::string configuration(int version, int headerBytes, int bodyBytes) {
    const auto route = [](const char* prefix, const char* kind, const char* target) {
        return std::string(R"({"resource_type":"route_table","metadata":{"name":")") + prefix +
               R"("},"spec":{"hostname":"h","path_prefix":")" + prefix + R"(","route_class":")" + kind +
               R"(","timeout":"20s","target_latency":")" + target +
               R"(","priority":1,"service_name":"s","max_attempts":2}},)";
    };
    return R"({"config_version":"0000000)" + std::to_string(version) + R"(","resources":[)" +
           route("/read/", "idempotent", "7s") + route("/quick/", "idempotent", "20ms") +
           route("/write/", "non_idempotent", "7s") +
           R"({"resource_type":"service_table","metadata":{"name":"s"},"spec":{"max_connections":200}},)"
           R"({"resource_type":"limits","metadata":{},"spec":{"max_header_bytes":)" +
           std::to_string(headerBytes) + R"(,"max_body_bytes":)" + std::to_string(bodyBytes) +
           R"(,"header_timeout":"3s","idle_timeout":"15s"}}]})";
}

}  // namespace

std::string ok(const std::string& id, const std::string& more) {
    const auto body = "body of " + id;
    // The length counts the placeholder {id}: all ids are four characters long, as it is.
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Response-Seal: seal-" + id +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + more + "\r\n" + body;
}
std::string chunks() {
    return "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: seal-{id}\r\nTransfer-Encoding: "
           "chunked\r\n\r\n8\r\nbody of \r\n4\r\n{id}\r\n0\r\n\r\n";
}
std::string refusal(int status, const std::string& more) {
    return "HTTP/1.1 " + std::to_string(status) + " No\r\nX-Attempt-Id: {id}\r\nContent-Length: 0\r\n" +
           more + "\r\n";
}
std::string get(const std::string& id, int millis, const std::string& more, const std::string& path) {
    return "GET " + path + " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: " + id +
           "\r\nX-Deadline-Ms: " + std::to_string(millis) + "\r\n" + more + "\r\n";
}
std::string post(const std::string& id, int millis, const std::string& body, const std::string& more) {
    return "POST /write/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: " + id +
           "\r\nX-Deadline-Ms: " + std::to_string(millis) +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + more + "\r\n" + body;
}

std::vector<ClientResponse> Client::responses() const {
    std::vector<ClientResponse> all;
    std::string_view remaining(received);
    while (!remaining.empty()) {
        http::response_parser<http::string_body> parser;
        parser.header_limit(64 << 10);
        parser.body_limit(std::uint64_t{1} << 30);
        parser.eager(true);
        ErrorCode code;
        const auto consumed = parser.put(asio::buffer(remaining.data(), remaining.size()), code);
        if (parser.is_header_done() && parser.get().result_int() == 100) {
            remaining.remove_prefix(consumed);
            continue;
        }
        CPPUNIT_ASSERT_MESSAGE("bytes received are not a response: " + std::string(remaining.substr(0, 80)),
                               !code || code == http::error::need_more);
        ClientResponse parsed;
        if (parser.is_header_done()) {
            const auto& head = parser.get();
            parsed.status = static_cast<int>(head.result_int());
            parsed.id = std::string(head["X-Attempt-Id"]);
            parsed.retryAfter = std::string(head["Retry-After"]);
            parsed.close = !head.keep_alive();
            parsed.body = head.body();
        }
        parsed.whole = parser.is_done();
        all.push_back(parsed);
        if (!parsed.whole) break;
        remaining.remove_prefix(consumed);
    }
    return all;
}

ProxyFixture::ProxyFixture(Script script_, const std::vector<std::string>& pods, double slack)
    : script(std::move(script_)) {
    boot_.zone = "z", boot_.retrySlack = slack;
    router = std::make_unique<routing::Router>(boot_, 1);
    setLimits(2048, 9'000'000);
    router->setProxyCount(1, now() - 10 * kSecond);
    router->setRollouts({}, now());
    router->setEndpointsKnown();
    upstream = std::make_unique<proxy::UpstreamClient>(proxyLoop, buffers);
    httpServer = std::make_unique<proxy::HttpServer>(proxyLoop, *router, *upstream, buffers, machine,
                                                     [this] { return stateIsFresh; });
    clientAcceptor_ = std::make_unique<tcp::acceptor>(transport::listen(proxyLoop, "127.0.0.1:0"));
    spawn(proxyLoop, "clients", httpServer->serve(*clientAcceptor_));
    for (const auto& pod : pods) {
        acceptors_[pod] = std::make_unique<tcp::acceptor>(transport::listen(externalLoop, "127.0.0.1:0"));
        spawn(externalLoop, "pod", serve(pod));
        listEndpoint(pod);
    }
}

ProxyFixture::~ProxyFixture() {
    ErrorCode ignored;
    clientAcceptor_->close(ignored);
    for (auto& [_, acceptor] : acceptors_) acceptor->close(ignored);
    proxyLoop.stop(), externalLoop.stop();
}

void ProxyFixture::listEndpoint(const std::string& pod, bool draining) {
    const auto address = "127.0.0.1:" + std::to_string(acceptors_.at(pod)->local_endpoint().port());
    router->applyEndpointEvent({0, {pod, "s", address, "z", "v1", 2, draining, 0}, false}, now());
}

void ProxyFixture::setLimits(int headerBytes, int bodyBytes) {
    const auto version = router->configuration() ? static_cast<int>(router->configuration()->version) + 1 : 1;
    router->setConfiguration(std::make_shared<config::Configuration>(
        config::Configuration::parse(configuration(version, headerBytes, bodyBytes))));
}

int ProxyFixture::inFlight() const {
    int all = 0;
    for (const auto& [_, host] : router->hosts()) all += host->inFlight;
    return all;
}

std::shared_ptr<Client> ProxyFixture::client(const std::string& bytes, const std::vector<std::string>& ids) {
    auto client = std::make_shared<Client>(externalLoop);
    client->socket.connect(clientAcceptor_->local_endpoint());
    client->socket.set_option(tcp::no_delay(true));
    client->socket.non_blocking(true);
    allClients_.push_back(client);
    spawn(externalLoop, "client", readResponses(client));
    if (!bytes.empty()) write(client, bytes, ids);
    return client;
}

void ProxyFixture::write(const std::shared_ptr<Client>& client, const std::string& bytes,
                         const std::vector<std::string>& ids) {
    client->requestIds.insert(client->requestIds.end(), ids.begin(), ids.end());
    const auto payload = std::make_shared<std::string>(bytes);
    asio::async_write(client->socket, asio::buffer(*payload), [payload, client](ErrorCode, std::size_t) {});
}

void ProxyFixture::disconnect(const std::shared_ptr<Client>& client, bool reset) {
    ErrorCode ignored;
    if (reset) client->socket.set_option(tcp::socket::linger(true, 0), ignored);
    client->socket.close(ignored);
}

void ProxyFixture::awaitResponses(const std::shared_ptr<Client>& client, std::size_t responses) {
    until([&] {
        const auto all = client->responses();
        return client->ended || (all.size() >= responses && all[responses - 1].whole);
    });
}

ClientResponse ProxyFixture::roundTrip(const std::string& bytes, const std::string& id) {
    const auto sender = client(bytes, {id});
    awaitResponses(sender);
    awaitIdle();
    return sender->responses().at(0);
}

void ProxyFixture::awaitIdle() {
    until([&] { return inFlight() == 0; });
    while (proxyLoop.poll() + externalLoop.poll() > 0) {
    }
    checkInvariants();
}

void ProxyFixture::pauseProxy(Nanos time) {
    for (const Nanos end = now() + time; now() < end;) externalLoop.run_one_for(std::chrono::milliseconds(1));
}

void ProxyFixture::checkInvariants() const {
    CPPUNIT_ASSERT_EQUAL_MESSAGE("invalid transitions of attempts", std::uint64_t{0},
                                 httpServer->stats().invalidTransitions);
    for (const auto& [id, count] : executions)
        CPPUNIT_ASSERT_MESSAGE(
            "request " + id + " is not idempotent and was executed " + std::to_string(count) + " times",
            count <= 1 || idempotent.contains(id));
    for (const auto& client : allClients_) {
        const auto responses = client->responses();
        CPPUNIT_ASSERT_MESSAGE("more responses than requests", responses.size() <= client->requestIds.size());
        for (std::size_t at = 0; at < responses.size(); ++at) {
            const auto& response = responses[at];
            const auto& id = client->requestIds[at];
            const auto execution = executions.find(id);
            CPPUNIT_ASSERT_MESSAGE("request " + id + " got the response to " + response.id,
                                   response.id.empty() || response.id == id);
            if (response.status / 100 == 2 && response.whole)
                CPPUNIT_ASSERT_MESSAGE(
                    "request " + id + " got the wrong body: " + response.body.substr(0, 40),
                    response.id == id && response.body.substr(0, 12) == "body of " + id);
            for (const int notExecutedStatus : {408, 421, 429, 503})
                CPPUNIT_ASSERT_MESSAGE("request " + id + " was executed and reported as not executed",
                                       response.status != notExecutedStatus || execution == executions.end());
            if (response.status == 503) CPPUNIT_ASSERT(!response.retryAfter.empty());
            if (!response.whole)
                CPPUNIT_ASSERT_MESSAGE("truncated response on a connection that stays open: " + id,
                                       client->ended);
        }
    }
}

void ProxyFixture::release(const std::string& pod, const std::string& id) {
    auto& releaseEvent = releaseEvents_[pod + id];
    if (!releaseEvent) releaseEvent = std::make_shared<AsyncEvent>(externalLoop);
    releaseEvent->notify();
}

void ProxyFixture::sendUnsolicited(const std::string& pod, const std::string& bytes) {
    for (const auto& weak : sockets_[pod])
        if (const auto socket = weak.lock(); socket && socket->is_open()) {
            ErrorCode ignored;
            asio::write(*socket, asio::buffer(bytes), ignored);
        }
}

Task<> ProxyFixture::readResponses(std::shared_ptr<Client> client) {
    char bytes[16384];
    for (ErrorCode code; !code;) {
        const auto count = co_await client->socket.async_read_some(asio::buffer(bytes), withErrorCode(code));
        client->received.append(bytes, count);
    }
    client->ended = true;
}

Task<> ProxyFixture::serve(std::string pod) {
    auto& acceptor = *acceptors_[pod];
    for (;;) {
        ErrorCode code;
        auto socket = std::make_shared<tcp::socket>(co_await acceptor.async_accept(withErrorCode(code)));
        if (code) co_return;
        socket->set_option(tcp::no_delay(true));
        ++connections[pod];
        sockets_[pod].push_back(socket);
        spawn(externalLoop, "pod connection", serveRequests(pod, socket));
    }
}

Task<> ProxyFixture::serveRequests(std::string pod, std::shared_ptr<tcp::socket> socket) {
    ++open[pod];
    const auto end = [&](bool reset) {
        ErrorCode ignored;
        if (reset) socket->set_option(tcp::socket::linger(true, 0), ignored);
        socket->close(ignored);
        --open[pod];
    };
    beast::flat_buffer buffer;
    for (;;) {
        ErrorCode code;
        co_await socket->async_wait(tcp::socket::wait_read, withErrorCode(code));
        if (resettingPods.contains(pod)) {
            // The pod has lost the connection's state: it reads nothing and resets on the next input.
            if (code || socket->available(code) == 0) co_return end(false);
            co_return end(true);
        }
        http::request_parser<http::string_body> parser;
        parser.body_limit(std::uint64_t{1} << 30);
        co_await http::async_read(*socket, buffer, parser, withErrorCode(code));
        if (code) co_return end(false);
        const std::string id(parser.get()["X-Attempt-Id"]);
        const auto reply = script({pod, id, ++arrivals[id]});
        executions[id] += reply.executes;
        if (executions[id] == 0) executions.erase(id);
        auto& entry = releaseEvents_[pod + id];
        if (!entry) entry = std::make_shared<AsyncEvent>(externalLoop);
        const auto releaseEvent = entry;
        if (reply.awaitsRelease) co_await releaseEvent->wait(now() + 20 * kSecond);
        const auto bytes = withId(reply.bytes, id);
        if (!bytes.empty()) co_await asio::async_write(*socket, asio::buffer(bytes), withErrorCode(code));
        if (!reply.bytesAfterRelease.empty()) {
            co_await releaseEvent->wait(now() + 20 * kSecond);
            co_await asio::async_write(*socket, asio::buffer(reply.bytesAfterRelease), withErrorCode(code));
        }
        if (reply.after == Reply::silent) {
            char discarded[1024];
            while (!code) co_await socket->async_read_some(asio::buffer(discarded), withErrorCode(code));
        }
        if (code || reply.after != Reply::keep) co_return end(reply.after == Reply::reset);
    }
}

}  // namespace scripted
