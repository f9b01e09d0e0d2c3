// Requests through a complete HTTP server to pods that drop connections, fall silent, or respond late, twice
// or to another request, at every byte of a response. Guards against executing a non-idempotent request
// twice, delivering a response to the wrong client, and reporting an executed request as not executed.
// ProxyFixture::checkInvariants() checks this after every exchange.
#include "support/scripted_pods.hpp"

using namespace scripted;

namespace {

std::string idOf(int number) {
    char text[8];
    std::snprintf(text, sizeof text, "%04d", number);
    return text;
}

// All pods react in the same way to every request.
Script always(const Reply& reply) {
    return [reply](const Arrival&) { return reply; };
}

}  // namespace

class UpstreamAttemptsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(UpstreamAttemptsTest);
    CPPUNIT_TEST(responsesTruncatedAtEveryByte);
    CPPUNIT_TEST(podsSilentAtEveryByte);
    CPPUNIT_TEST(responsesMalformedAtEveryByte);
    CPPUNIT_TEST(surplusResponsesAtEveryByte);
    CPPUNIT_TEST(responsesToOtherRequestsAreDropped);
    CPPUNIT_TEST(rejectionsByPods);
    CPPUNIT_TEST(idleConnectionsResetByThePod);
    CPPUNIT_TEST(clientsThatDisconnect);
    CPPUNIT_TEST(pipelinedRequests);
    CPPUNIT_TEST(hedgedRequestAlongsideASilentAttempt);
    CPPUNIT_TEST(hedgedRequestOnceThereIsBudget);
    CPPUNIT_TEST(abortedAttemptWritesNothing);
    CPPUNIT_TEST(raisedLimitsApplyToTheNextRequest);
    CPPUNIT_TEST(expectContinueInItsTurn);
    CPPUNIT_TEST(largeBodies);
    CPPUNIT_TEST(ambiguousRequestsAndResponses);
    CPPUNIT_TEST(idleTimeoutStartsAtTheLastResponse);
    CPPUNIT_TEST(readRequestsAreServedWhileDraining);
    CPPUNIT_TEST(podSilentDuringALargeResponse);
    CPPUNIT_TEST(standstillOverDeadlines);
    CPPUNIT_TEST(drainAnswersReceivedRequests);
    CPPUNIT_TEST(requestsAfterTheLastResponseAreNotExecuted);
    CPPUNIT_TEST_SUITE_END();

    // Runs one exchange for each truncation of a response. All share one fixture, so that idle connections
    // and other state carry over.
    static void truncateResponseAtEveryByte(const std::string& whole, Reply::After end, bool write) {
        std::size_t cut = 0;
        ProxyFixture fixture([&](const Arrival& arrival) {
            if (arrival.number > 1) return Reply{ok()};
            return Reply{whole.substr(0, cut), cut < whole.size() ? end : Reply::keep};
        });
        for (; cut <= whole.size(); ++cut) {
            const auto id = idOf(static_cast<int>(cut));
            if (!write) fixture.idempotent.insert(id);
            const auto client = fixture.client(write ? post(id) : get(id), {id});
            fixture.awaitResponses(client);
            fixture.awaitIdle();
            const auto response = client->responses().at(0);
            const auto where = "cut at " + std::to_string(cut) + (write ? ", write" : ", read");
            CPPUNIT_ASSERT_EQUAL_MESSAGE(where, cut == whole.size() || !write ? 200 : 502, response.status);
            // A read may be hedged before its complete response arrives: the hedging delay follows the quick
            // responses.
            const int maxExecutions = write ? 1 : 2;
            const int minExecutions = write || cut == whole.size() ? 1 : 2;
            CPPUNIT_ASSERT_MESSAGE(
                where, fixture.executions[id] >= minExecutions && fixture.executions[id] <= maxExecutions);
            ProxyFixture::disconnect(client, false);
        }
    }

  public:
    void responsesTruncatedAtEveryByte() {
        for (const bool write : {true, false})
            for (const auto end : {Reply::close, Reply::reset}) {
                truncateResponseAtEveryByte(ok(), end, write);
                truncateResponseAtEveryByte(chunks(), end, write);
                truncateResponseAtEveryByte("HTTP/1.1 103 Early\r\nLink: x\r\n\r\n" + ok(), end, write);
            }
    }

    // A silent pod leads to a timeout at the deadline, never to a rejection, and keeps no connections open.
    void podsSilentAtEveryByte() {
        const auto whole = ok();
        for (const bool write : {true, false}) {
            ProxyFixture fixture([&](const Arrival& arrival) {
                return Reply{whole.substr(0, std::stoul(arrival.id)), Reply::silent};
            });
            for (std::size_t from = 0; from < whole.size(); from += 40) {
                std::vector<std::shared_ptr<Client>> clients;
                for (auto cut = from; cut < std::min(from + 40, whole.size()); ++cut) {
                    const auto id = idOf(static_cast<int>(cut));
                    if (!write) fixture.idempotent.insert(id);
                    clients.push_back(fixture.client(write ? post(id, 60) : get(id, 60), {id}));
                }
                for (const auto& client : clients) fixture.awaitResponses(client);
                fixture.awaitIdle();
                for (const auto& client : clients) {
                    CPPUNIT_ASSERT_EQUAL(504, client->responses().at(0).status);
                    CPPUNIT_ASSERT_EQUAL(1, fixture.executions[client->requestIds[0]]);
                    ProxyFixture::disconnect(client, true);
                }
                fixture.until([&] { return fixture.open["A"] + fixture.open["B"] == 0; });
            }
        }
    }

    // With one byte of the response head replaced, the response is either still valid or rejected as a whole.
    void responsesMalformedAtEveryByte() {
        const auto whole = ok();
        const auto head = whole.find("\r\n\r\n") + 4;
        const auto length = whole.find("Content-Length: ") + 16;  // a wrong length can't be detected
        for (const char replacement : {'\x01', ' ', '\n', '9'}) {
            std::size_t at = 0;
            ProxyFixture fixture([&](const Arrival&) {
                auto bytes = whole;
                for (auto brace = bytes.find("{id}"); brace != std::string::npos; brace = bytes.find("{id}"))
                    bytes.replace(brace, 4, idOf(static_cast<int>(at)));
                bytes[at] = replacement;
                return Reply{bytes, Reply::close};
            });
            for (; at < head; ++at) {
                if (at >= length && at < length + 2) continue;
                const auto id = idOf(static_cast<int>(at));
                const auto client = fixture.client(post(id), {id});
                fixture.awaitResponses(client);
                fixture.awaitIdle();
                CPPUNIT_ASSERT_EQUAL(1, fixture.executions[id]);
                const auto status = client->responses().at(0).status;
                CPPUNIT_ASSERT_MESSAGE(std::to_string(at), status / 100 != 5 || status >= 500);
                CPPUNIT_ASSERT_MESSAGE(std::to_string(status), status != 429 && status != 503);
                ProxyFixture::disconnect(client, false);
            }
        }
    }

    // A second response to the previous request, whole or truncated, arrives in place of the response to the
    // next one, or while the connection is idle.
    void surplusResponsesAtEveryByte() {
        const auto first = idOf(9000);
        const auto surplus = ok(first);
        for (std::size_t cut = 0; cut <= surplus.size(); ++cut) {
            ProxyFixture fixture(
                [&](const Arrival& arrival) {
                    return arrival.id == first ? Reply{ok()}
                                               : Reply{surplus.substr(0, cut) + ok(), Reply::close};
                },
                {"A"});
            const auto before = fixture.client(post(first), {first});
            fixture.awaitResponses(before);
            const auto id = idOf(static_cast<int>(cut));
            const auto status = fixture.roundTrip(post(id), id).status;
            CPPUNIT_ASSERT_EQUAL(1, fixture.executions[id]);
            // Truncated within the reason phrase, which the next response's status line then continues: the
            // result is a valid response to this request.
            const bool valid = cut == 0 || cut == surplus.size() || (cut >= 13 && cut <= 15);
            CPPUNIT_ASSERT_EQUAL_MESSAGE("cut at " + std::to_string(cut), valid ? 200 : 502, status);
        }
        for (std::size_t cut = 1; cut <= surplus.size(); cut += 7) {
            ProxyFixture fixture(always({ok()}), {"A"});
            const auto before = fixture.client(post(first), {first});
            fixture.awaitResponses(before);
            fixture.sendUnsolicited("A", surplus.substr(0, cut));
            CPPUNIT_ASSERT_EQUAL(200, fixture.roundTrip(post("next"), "next").status);
            CPPUNIT_ASSERT_EQUAL(2, fixture.connections["A"]);
        }
    }

    // Responses with another request's id, and no others, of any status and size.
    void responsesToOtherRequestsAreDropped() {
        for (const auto* ids : {"X-Attempt-Id: else\r\n", "X-Attempt-Id: {id}\r\nX-Attempt-Id: else\r\n"})
            for (const int status : {200, 404, 429, 500, 503})
                for (const std::size_t size : {0U, 5U, 300'000U})
                    for (const auto* notExecutedHeader : {"", "X-Not-Executed: 1\r\n"}) {
                        const auto bytes = "HTTP/1.1 " + std::to_string(status) + " X\r\n" + ids +
                                           "X-Response-Seal: s\r\n" + notExecutedHeader +
                                           "Content-Length: " + std::to_string(size) + "\r\n\r\n" +
                                           std::string(size, 'b');
                        ProxyFixture fixture(always({bytes, Reply::close}));
                        CPPUNIT_ASSERT_EQUAL(502, fixture.roundTrip(post("mine"), "mine").status);
                        CPPUNIT_ASSERT_EQUAL(1, fixture.arrivals["mine"]);
                    }
    }

    // Pods that report the request as not executed (X-Not-Executed): it is retried once at another pod; if
    // that one rejects it too, the client gets 503 with Retry-After. Statuses that imply non-execution are
    // not passed on without that header.
    void rejectionsByPods() {
        for (const int status : {400, 421, 429, 503}) {
            ProxyFixture both(always({refusal(status), Reply::keep, false}));
            const auto client = both.client(post("none"), {"none"});
            both.awaitResponses(client);
            both.awaitIdle();
            CPPUNIT_ASSERT_EQUAL(503, client->responses().at(0).status);
            CPPUNIT_ASSERT_EQUAL(2, both.arrivals["none"]);
            ProxyFixture one([&](const Arrival& arrival) {
                return arrival.number == 1 ? Reply{refusal(status), Reply::keep, false} : Reply{ok()};
            });
            CPPUNIT_ASSERT_EQUAL(200, one.roundTrip(post("once"), "once").status);
            CPPUNIT_ASSERT_EQUAL(1, one.executions["once"]);
        }
        for (const int status : {408, 429, 503}) {
            ProxyFixture fixture(always({refusal(status, "")}));
            CPPUNIT_ASSERT_EQUAL(502, fixture.roundTrip(post("once"), "once").status);
            CPPUNIT_ASSERT_EQUAL(1, fixture.arrivals["once"]);
        }
        // A pod whose address can't be parsed counts as unreachable.
        ProxyFixture nowhere(always({ok()}), {});
        nowhere.router->applyEndpointEvent({0, {"N", "s", "nowhere", "z", "v1", 2, false, 0}, false}, now());
        CPPUNIT_ASSERT_EQUAL(503, nowhere.roundTrip(post("lost"), "lost").status);
        ProxyFixture wide(always({ok("{id}", "X-Wide: " + std::string(12'000, 'w') + "\r\n")}));
        CPPUNIT_ASSERT_EQUAL(200, wide.roundTrip(post("wide"), "wide").status);
    }

    // A pod resets an idle connection after the proxy has written a request. It is unknown whether the pod
    // has executed it.
    void idleConnectionsResetByThePod() {
        for (const bool write : {true, false}) {
            ProxyFixture fixture(always({ok()}), {"A"});
            fixture.idempotent.insert("next");
            fixture.roundTrip(post("frst"), "frst");
            fixture.resettingPods.insert("A");
            CPPUNIT_ASSERT_EQUAL(502, fixture.roundTrip(write ? post("next") : get("next"), "next").status);
            CPPUNIT_ASSERT_EQUAL(0, fixture.arrivals["next"]);
        }
        ProxyFixture fixture(always({ok()}));
        fixture.idempotent.insert("next");
        fixture.resettingPods.insert("A");
        fixture.router->hosts().at("B")->relativeLatency = 9;  // makes A the first choice
        CPPUNIT_ASSERT_EQUAL(200, fixture.roundTrip(get("next"), "next").status);
        CPPUNIT_ASSERT_EQUAL(1, fixture.executions["next"]);
    }

    // A client disconnects at any byte of its request, or before its response. Partial requests are not sent
    // to a pod, complete ones are executed once, and no other client gets the response.
    void clientsThatDisconnect() {
        ProxyFixture fixture([](const Arrival& arrival) {
            Reply reply{ok()};
            reply.awaitsRelease = arrival.id[0] == 'h';
            return reply;
        });
        const auto whole = post("part", 4000, "abc", "Connection: close\r\n");
        for (const bool reset : {true, false})
            for (std::size_t cut = 0; cut < whole.size(); ++cut) {
                const auto client = fixture.client(whole.substr(0, cut), {"part"});
                fixture.until([&] { return fixture.httpServer->openConnections() == 1; });
                ProxyFixture::disconnect(client, reset);
                fixture.until([&] { return fixture.httpServer->openConnections() == 0; });
                CPPUNIT_ASSERT_EQUAL(0, fixture.arrivals["part"]);
            }
        int number = 0;
        for (const bool reset : {true, false})
            for (int at = 0; at < 10; ++at) {
                const auto id = "h" + idOf(number++).substr(1);
                const auto disconnected = fixture.client(post(id), {id});
                fixture.until([&] { return fixture.arrivals[id] == 1; });
                ProxyFixture::disconnect(disconnected, reset);
                const auto next = "n" + id.substr(1);
                const auto client = fixture.client(post(next), {next});
                fixture.release("A", id), fixture.release("B", id);
                fixture.awaitResponses(client);
                fixture.awaitIdle();
                CPPUNIT_ASSERT_EQUAL(200, client->responses().at(0).status);
                CPPUNIT_ASSERT_EQUAL(1, fixture.executions[id]);
                ProxyFixture::disconnect(client, false);
            }
        fixture.until([&] { return fixture.httpServer->openConnections() == 0; });
    }

    // Pipelined requests whose pods respond in any order, drop the connection or respond to another request.
    void pipelinedRequests() {
        for (unsigned order = 0; order < 24; ++order) {
            ProxyFixture fixture(
                [](const Arrival& arrival) {
                    Reply reply{ok(), Reply::keep, true, true};
                    if (arrival.number == 1 && arrival.id == "two2")
                        reply = {ok().substr(0, 60), Reply::reset, true, true};
                    if (arrival.number == 1 && arrival.id == "thr3")
                        reply = {ok("four") + ok(), Reply::keep, true, true};
                    if (arrival.number > 1) reply.awaitsRelease = false;
                    return reply;
                },
                {"A", "B", "C", "D"});
            const std::vector<std::string> ids{"one1", "two2", "thr3", "four"};
            fixture.idempotent.insert(ids.begin(), ids.end());
            std::string all;
            for (const auto& id : ids) all += get(id);
            const auto client = fixture.client(all, ids);
            fixture.until([&] {
                int arrived = 0;
                for (const auto& id : ids) arrived += fixture.arrivals[id];
                return arrived == 4;
            });
            auto remaining = ids;
            for (unsigned from = order, size = 4; size > 0; from /= size--) {
                const auto id = remaining[from % size];
                remaining.erase(remaining.begin() + from % size);
                for (const auto* pod : {"A", "B", "C", "D"}) fixture.release(pod, id);
                while (fixture.proxyLoop.poll() + fixture.externalLoop.poll() > 0) {
                }
            }
            fixture.awaitResponses(client, 4);
            fixture.awaitIdle();
            for (const auto& response : client->responses()) CPPUNIT_ASSERT_EQUAL(200, response.status);
            CPPUNIT_ASSERT_EQUAL(2, fixture.executions["two2"]);
        }
    }

    // A hedged request alongside a silent first attempt: the client gets the second response. The first
    // arrives late and is dropped, or is cancelled at the request's deadline.
    void hedgedRequestAlongsideASilentAttempt() {
        for (const bool late : {true, false}) {
            ProxyFixture fixture([&](const Arrival& arrival) {
                Reply reply{ok()};
                if (arrival.id == "slow" && arrival.number == 1)
                    reply = late ? Reply{ok(), Reply::keep, true, true} : Reply{"", Reply::silent};
                return reply;
            });
            fixture.idempotent = {"slow"};
            const auto client = fixture.client(get("slow", 80, "", "/quick/1"), {"slow"});
            fixture.awaitResponses(client);
            CPPUNIT_ASSERT_EQUAL(200, client->responses().at(0).status);
            CPPUNIT_ASSERT_EQUAL(2, fixture.executions["slow"]);
            if (late) fixture.release("A", "slow"), fixture.release("B", "slow");
            fixture.awaitIdle();
            for (int at = 0; at < 4; ++at) {
                const auto next = fixture.client(post(idOf(at)), {idOf(at)});
                fixture.awaitResponses(next);
                CPPUNIT_ASSERT_EQUAL(200, next->responses().at(0).status);
            }
            fixture.awaitIdle();
            if (!late) fixture.until([&] { return fixture.open["A"] + fixture.open["B"] <= 1; });
        }
    }

    // A hedged request without retry budget is sent once there is budget.
    void hedgedRequestOnceThereIsBudget() {
        ProxyFixture fixture(
            [](const Arrival& arrival) {
                if (arrival.id == "slow" && arrival.number == 1) return Reply{"", Reply::silent};
                return Reply{ok()};
            },
            {"A", "B"}, 0);
        fixture.idempotent = {"slow"};
        const auto client = fixture.client(get("slow", 1500, "", "/quick/1"), {"slow"});
        fixture.until([&] { return fixture.arrivals["slow"] == 1; });
        const Nanos waitUntil = now() + 40 * kMillisecond;  // the hedged request was due after 12 ms
        fixture.until([&] { return now() > waitUntil; });
        CPPUNIT_ASSERT_EQUAL(1, fixture.arrivals["slow"]);
        for (int at = 0; at < 30; ++at) {
            const auto other = fixture.client(post(idOf(at)), {idOf(at)});
            fixture.awaitResponses(other);
        }
        fixture.awaitResponses(client);
        CPPUNIT_ASSERT_EQUAL(200, client->responses().at(0).status);
        CPPUNIT_ASSERT_EQUAL(2, fixture.arrivals["slow"]);
        fixture.awaitIdle();
    }

    // An attempt that is aborted before it runs writes nothing, also on an idle connection: it has certainly
    // not been executed.
    void abortedAttemptWritesNothing() {
        ProxyFixture fixture(always({ok()}), {"A"});
        fixture.awaitResponses(fixture.client(post("frst"), {"frst"}));
        fixture.awaitIdle();
        routing::RoutedRequest routed;
        CPPUNIT_ASSERT(fixture.router->startRequest(routed, "h", "/write/1", now(), kSecond));
        const auto call =
            std::make_shared<proxy::UpstreamRequest>(fixture.router->nextAttempt(routed, now()));
        const auto request = std::make_shared<proxy::Request>(proxy::http::verb::post, "/write/1", 11);
        request->set("X-Attempt-Id", "left");
        bool returned = false;
        const auto send = [](ProxyFixture& in, std::shared_ptr<proxy::UpstreamRequest> sentCall,
                             std::shared_ptr<proxy::Request> requestToSend, bool& done) -> Task<> {
            co_await in.upstream->call(sentCall, requestToSend, now() + kSecond, true, 2);
            done = true;
        };
        call->abort();
        spawn(fixture.proxyLoop, "send", send(fixture, call, request, returned));
        fixture.until([&] { return returned; });
        CPPUNIT_ASSERT_EQUAL(0, fixture.arrivals["left"]);
        CPPUNIT_ASSERT(call->attempt->state() == routing::AttemptState::unsent);
        fixture.router->onAttemptEnded(routed, *call->attempt, call->end, 0, 0, now());
        CPPUNIT_ASSERT_EQUAL(503, fixture.router->localReply(routed).status());
        fixture.awaitIdle();
    }

    // Limits that are raised while a connection is idle apply to its next request.
    void raisedLimitsApplyToTheNextRequest() {
        for (const bool header : {true, false}) {
            ProxyFixture fixture(always({ok()}), {"A"});
            fixture.setLimits(header ? 1000 : 2000, header ? 9000 : 1000);
            const auto client = fixture.client(post("frst"), {"frst"});
            fixture.awaitResponses(client);
            fixture.awaitIdle();
            fixture.setLimits(9000, 9000);
            const std::string more(3000, 'x');
            fixture.write(
                client,
                header ? post("next", 4000, "x", "X-More: " + more + "\r\n") : post("next", 4000, more),
                {"next"});
            fixture.awaitResponses(client, 2);
            fixture.awaitIdle();
            CPPUNIT_ASSERT_EQUAL(200, client->responses().at(1).status);
        }
    }

    // A client with Expect: 100-continue gets the interim response after the responses to earlier requests.
    void expectContinueInItsTurn() {
        ProxyFixture fixture([](const Arrival& arrival) {
            return Reply{ok(), Reply::keep, true, arrival.id == "frst"};
        });
        fixture.idempotent.insert("frst");
        const auto body = std::string("whole");
        const auto expectingRequest = post("next", 4000, body, "Expect: 100-continue\r\n");
        const auto client =
            fixture.client(get("frst") + expectingRequest.substr(0, expectingRequest.size() - body.size()),
                           {"frst", "next"});
        fixture.until([&] { return fixture.arrivals["frst"] == 1; });
        CPPUNIT_ASSERT(client->received.empty());
        fixture.release("A", "frst"), fixture.release("B", "frst");
        fixture.until([&] { return client->received.find("100 Continue") != std::string::npos; });
        fixture.write(client, body);
        fixture.awaitResponses(client, 2);
        fixture.awaitIdle();
        CPPUNIT_ASSERT_EQUAL(200, client->responses().at(1).status);
        CPPUNIT_ASSERT_EQUAL(1, fixture.executions["next"]);
    }

    // Streamed bodies that are truncated at either end, in both directions.
    void largeBodies() {
        const std::string big(600'000, 'b');
        const auto head = std::string("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: s\r\n");
        const auto length = head + "Content-Length: 600012\r\n\r\nbody of {id}" + big;
        const auto chunked =
            head + "Transfer-Encoding: chunked\r\n\r\nc\r\nbody of {id}\r\n927c0\r\n" + big + "\r\n0\r\n\r\n";
        for (const auto& whole : {length, chunked})
            for (std::size_t cut = 100; cut <= whole.size() + 65'000; cut += 65'000)
                for (const auto end : {Reply::close, Reply::reset}) {
                    ProxyFixture fixture(always({whole.substr(0, cut), end}));
                    const auto response = fixture.roundTrip(post("once"), "once");
                    CPPUNIT_ASSERT_EQUAL(1, fixture.executions["once"]);
                    if (cut < whole.size()) CPPUNIT_ASSERT(response.status == 502 || !response.whole);
                    if (cut >= whole.size() && end == Reply::close)
                        CPPUNIT_ASSERT(response.whole && response.status == 200);
                }
        // An upload is interrupted by the client, then by the pod.
        const auto upload = post("once", 4000, big);
        for (std::size_t cut = upload.size() - big.size(); cut < upload.size(); cut += 99'000) {
            ProxyFixture fixture(always({ok()}));
            const auto client = fixture.client(upload.substr(0, cut), {"once"});
            // Part of a body that is too large to buffer has been sent to a pod by then.
            fixture.until([&] {
                return fixture.httpServer->openConnections() == 1 &&
                       (cut < 300'000 || !fixture.connections.empty());
            });
            ProxyFixture::disconnect(client, true);
            fixture.until([&] { return fixture.httpServer->openConnections() == 0; });
            fixture.awaitIdle();
            CPPUNIT_ASSERT_EQUAL(0, fixture.executions["once"]);
        }
        // More than the socket buffers hold, so that the reset arrives during the proxy's write.
        const auto largeUpload = post("once", 4000, std::string(8'000'000, 'b'));
        for (const auto* pods : {"A", "AB"}) {
            ProxyFixture fixture(
                always({ok()}), pods[1] ? std::vector<std::string>{"A", "B"} : std::vector<std::string>{"A"});
            fixture.resettingPods = {"A", "B"};
            CPPUNIT_ASSERT_EQUAL(502, fixture.roundTrip(largeUpload, "once").status);
            CPPUNIT_ASSERT_EQUAL(0, fixture.arrivals["once"]);
        }
    }

    // Request smuggling: input that one parser reads as a body and another as the next request, and
    // Connection headers that list end-to-end headers.
    void ambiguousRequestsAndResponses() {
        const auto inner = post("innr");
        for (const auto* coding : {"xchunked", "chunked, gzip", "gzip, chunked", "identity",
                                   "\x0b"
                                   "chunked",
                                   "chunked\r\nTransfer-Encoding: identity"}) {
            ProxyFixture fixture(always({ok()}));
            const auto client = fixture.client(
                "POST /write/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: outr\r\nTransfer-Encoding: " +
                    std::string(coding) + "\r\n\r\n" + inner,
                {""});
            fixture.awaitResponses(client);
            fixture.until([&] { return client->ended; });
            fixture.awaitIdle();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(coding, 400, client->responses().at(0).status);
            CPPUNIT_ASSERT_MESSAGE(coding, fixture.arrivals.empty());
        }
        for (const auto* coding : {"xchunked", "gzip, chunked", "identity"}) {
            ProxyFixture fixture(
                always({"HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: s\r\nTransfer-Encoding: " +
                            std::string(coding) + "\r\n\r\nc\r\nbody of {id}\r\n0\r\n\r\n",
                        Reply::close}));
            CPPUNIT_ASSERT_EQUAL(502, fixture.roundTrip(post("once"), "once").status);
        }
        ProxyFixture fixture(always(
            {ok("{id}", "Connection: keep-alive\r\nConnection: X-Response-Seal, X-Hop\r\nX-Hop: 1\r\n")}));
        const auto client =
            fixture.client(post("once", 4000, "x", "Connection: X-Attempt-Id, Host\r\n"), {"once"});
        fixture.awaitResponses(client);
        fixture.awaitIdle();
        CPPUNIT_ASSERT_EQUAL(1, fixture.executions["once"]);
        CPPUNIT_ASSERT(client->received.find("X-Response-Seal: seal-once") != std::string::npos);
        CPPUNIT_ASSERT(client->received.find("X-Hop") == std::string::npos);
        const auto two = fixture.client(post("onea", 4000, "x", "X-Attempt-Id: oneb\r\n"), {""});
        fixture.awaitResponses(two);
        CPPUNIT_ASSERT_EQUAL(400, two->responses().at(0).status);
        CPPUNIT_ASSERT_EQUAL(0, fixture.arrivals["onea"] + fixture.arrivals["oneb"]);
    }

    // A connection may be idle for the whole of idle_timeout, counted from its last response. One with unread
    // input is not idle.
    void idleTimeoutStartsAtTheLastResponse() {
        ProxyFixture fixture([](const Arrival&) { return Reply{ok(), Reply::keep, true, true}; }, {"A"});
        const auto client = fixture.client(post("frst"), {"frst"});
        fixture.until([&] { return fixture.arrivals["frst"] == 1; });
        fixture.pauseProxy(30 * kMillisecond);
        fixture.release("A", "frst");
        fixture.awaitResponses(client);
        fixture.awaitIdle();
        const auto answered = now();
        fixture.httpServer->enforceTimeouts(answered + 15 * kSecond - 20 * kMillisecond);
        fixture.write(client, post("next"), {"next"});
        fixture.until([&] { return fixture.arrivals["next"] == 1; });
        fixture.release("A", "next");
        fixture.awaitResponses(client, 2);
        fixture.awaitIdle();
        fixture.write(client, post("thrd"), {"thrd"});
        fixture.pauseProxy(5 * kMillisecond);  // the bytes have arrived but were not read
        fixture.httpServer->enforceTimeouts(now() + 60 * kSecond), fixture.httpServer->closeIdle();
        fixture.until([&] { return fixture.arrivals["thrd"] == 1; });
        fixture.release("A", "thrd");
        fixture.awaitResponses(client, 3);
        fixture.awaitIdle();
        CPPUNIT_ASSERT_EQUAL(200, client->responses().at(2).status);
        fixture.httpServer->enforceTimeouts(now() + 16 * kSecond);
        fixture.until([&] { return client->ended; });
    }

    // Closing idle connections after any number of event loop turns: a request that has been or can be
    // received is served.
    void readRequestsAreServedWhileDraining() {
        for (int turns = 0; turns < 12; ++turns) {
            ProxyFixture fixture(always({ok()}), {"A"});
            const auto client = fixture.client(post("once"), {"once"});
            fixture.pauseProxy(2 * kMillisecond);  // the bytes have arrived but were not read
            for (int at = 0; at < turns; ++at) fixture.proxyLoop.poll_one();
            fixture.httpServer->drain(), fixture.httpServer->closeIdle();
            fixture.awaitResponses(client);
            fixture.awaitIdle();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(turns), std::size_t{1}, client->responses().size());
            CPPUNIT_ASSERT_EQUAL(200, client->responses()[0].status);
        }
    }

    // A pod falls silent during a large response: the response ends at its deadline and not before, also if
    // the client has disconnected.
    void podSilentDuringALargeResponse() {
        ProxyFixture fixture(
            always({"HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: s\r\nContent-Length: "
                    "600012\r\n\r\nbody of {id}" +
                        std::string(300'000, 'b'),
                    Reply::silent}));
        const auto client = fixture.client(post("once", 20000), {"once"});
        const auto disconnected = fixture.client(post("gone", 20000), {"gone"});
        const auto began = now();
        fixture.until(
            [&] { return client->received.size() > 200'000 && disconnected->received.size() > 200'000; });
        ProxyFixture::disconnect(disconnected, false);
        fixture.httpServer->enforceTimeouts(began + 19'900 * kMillisecond);
        while (fixture.proxyLoop.poll() + fixture.externalLoop.poll() > 0) {
        }
        CPPUNIT_ASSERT(!client->ended);
        fixture.httpServer->enforceTimeouts(now() + 20'100 * kMillisecond);
        fixture.until([&] { return client->ended && fixture.httpServer->openConnections() == 0; });
        fixture.until([&] { return fixture.open["A"] + fixture.open["B"] == 0; });
        CPPUNIT_ASSERT(!client->responses().at(0).whole);
        fixture.awaitIdle();
    }

    // The proxy is paused past deadlines and responses, and then resumes.
    void standstillOverDeadlines() {
        ProxyFixture fixture([](const Arrival& arrival) {
            if (arrival.id == "cut1") return Reply{ok().substr(0, 50), Reply::reset, true, true};
            if (arrival.id == "turn") return Reply{refusal(503), Reply::keep, false, true};
            if (arrival.id == "mute") return Reply{"", Reply::silent};
            return Reply{ok(), Reply::keep, true, true};
        });
        fixture.idempotent = {"read"};
        const std::vector<std::string> ids{"late", "cut1", "turn", "mute", "read"};
        std::map<std::string, std::shared_ptr<Client>> clients;
        for (const auto& id : ids)
            clients[id] = fixture.client(id == "read" ? get(id, 40) : post(id, 40), {id});
        fixture.until([&] {
            int arrived = 0;
            for (const auto& id : ids) arrived += fixture.arrivals[id];
            return arrived == 5;
        });
        for (const auto& id : ids) fixture.release("A", id), fixture.release("B", id);
        // Two more requests arrive during the pause; the client of one disconnects again.
        clients["wait"] = fixture.client(post("wait"), {"wait"});
        clients["left"] = fixture.client(post("left"), {"left"});
        fixture.pauseProxy(5 * kMillisecond);
        ProxyFixture::disconnect(clients["left"], false);
        fixture.pauseProxy(60 * kMillisecond);
        fixture.stateIsFresh = false;
        while (fixture.proxyLoop.poll() > 0) {
        }
        fixture.stateIsFresh = true;
        fixture.until([&] { return fixture.arrivals["wait"] == 1; });
        fixture.release("A", "wait"), fixture.release("B", "wait");
        for (const auto& id : ids) fixture.awaitResponses(clients[id]);
        fixture.awaitResponses(clients["wait"]);
        fixture.awaitIdle();
        CPPUNIT_ASSERT_EQUAL(200, clients["wait"]->responses().at(0).status);
        CPPUNIT_ASSERT_EQUAL(0, fixture.arrivals["left"]);
        for (const auto& id : ids) {
            CPPUNIT_ASSERT_EQUAL(1, fixture.arrivals[id]);
            const auto status = clients[id]->responses().at(0).status;
            CPPUNIT_ASSERT_MESSAGE(id + " " + std::to_string(status),
                                   status >= 502 || (status == 200 && (id == "late" || id == "read")));
            CPPUNIT_ASSERT(id == "turn" || status != 503);
        }
    }

    // Drain with requests in flight: their responses are complete and announce the close. Requests already
    // received are served, or rejected at once if there is no pod; those after the last response are not
    // executed.
    void drainAnswersReceivedRequests() {
        ProxyFixture fixture(
            [](const Arrival&) {
                return Reply{ok(), Reply::keep, true, true};
            },
            {"A", "B", "C", "D"});
        const auto one = fixture.client(post("one1"), {"one1"});
        const auto pipelined = fixture.client(get("two2") + get("thr3"), {"two2", "thr3"});
        fixture.idempotent = {"two2", "thr3", "behd"};
        fixture.until([&] {
            return fixture.arrivals["one1"] + fixture.arrivals["two2"] + fixture.arrivals["thr3"] == 3;
        });
        fixture.httpServer->drain();
        // Reading continues while responses are due, so that clients need not resend what can be served. Once
        // idle connections are being closed, the next request is the last, and further ones count as not
        // received.
        for (const auto* id : {"four", "five", "six6"}) {
            if (id[0] == 's') fixture.httpServer->closeIdle();
            fixture.write(one, post(id), {id});
            fixture.until([&] { return fixture.arrivals[id] == 1; });
        }
        fixture.write(one, post("sevn"), {"sevn"});
        fixture.pauseProxy(2 * kMillisecond);
        for (const auto* id : {"two2", "six6", "four", "thr3", "five", "one1"})
            for (const auto* pod : {"A", "B", "C", "D"}) fixture.release(pod, id);
        fixture.until([&] { return one->ended && pipelined->ended; });
        fixture.awaitIdle();
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, one->responses().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, pipelined->responses().size());
        for (const auto& client : {one, pipelined}) {
            const auto responses = client->responses();
            for (const auto& response : responses) {
                CPPUNIT_ASSERT_EQUAL(200, response.status);
                CPPUNIT_ASSERT_EQUAL(response.id == responses.back().id, response.close);
            }
        }
        CPPUNIT_ASSERT_EQUAL(0, fixture.arrivals["sevn"]);
        for (const auto* pod : {"A", "B", "C", "D"}) fixture.listEndpoint(pod, true);
        const auto lateClient = fixture.client(post("last"), {"last"});
        fixture.until([&] { return lateClient->ended; });
        fixture.awaitIdle();
        const auto rejection = lateClient->responses().at(0);
        CPPUNIT_ASSERT_EQUAL(503, rejection.status);
        CPPUNIT_ASSERT(rejection.close && !rejection.retryAfter.empty());
        fixture.httpServer->enforceTimeouts(
            now() + kSecond);  // the clients don't close: the linger timeout has passed
        fixture.until([&] { return fixture.httpServer->openConnections() == 0; });
    }

    // A client sends more requests while the last response of a draining connection is in transit. They must
    // not be executed: the client treats them as not received and resends them elsewhere.
    void requestsAfterTheLastResponseAreNotExecuted() {
        const std::string halfBody(300'000, 'b');
        ProxyFixture fixture([&](const Arrival&) {
            Reply reply{
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: s\r\nContent-Length: "
                "600012\r\n\r\nbody of {id}" +
                halfBody};
            reply.bytesAfterRelease = halfBody;
            return reply;
        });
        const auto client = fixture.client(post("long"), {"long"});
        fixture.until([&] { return fixture.arrivals["long"] == 1; });
        fixture.httpServer->drain();
        fixture.until([&] { return client->received.size() > 200'000; });
        fixture.write(client, post("more") + post("evry"), {"more", "evry"});
        fixture.pauseProxy(2 * kMillisecond);
        while (fixture.proxyLoop.poll() + fixture.externalLoop.poll() > 0) {
        }
        CPPUNIT_ASSERT_EQUAL(0, fixture.arrivals["more"] + fixture.arrivals["evry"]);
        fixture.release("A", "long"), fixture.release("B", "long");
        fixture.until([&] { return client->ended; });
        fixture.awaitIdle();
        const auto responses = client->responses();
        CPPUNIT_ASSERT(responses.size() == 1 && responses[0].whole && responses[0].close);
        CPPUNIT_ASSERT_EQUAL(0, fixture.arrivals["more"] + fixture.arrivals["evry"]);
        ProxyFixture::disconnect(client, false);
        fixture.until([&] { return fixture.httpServer->openConnections() == 0; });
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamAttemptsTest);
