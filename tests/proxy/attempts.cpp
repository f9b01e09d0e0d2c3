// Requests through a whole HTTP server to pods that break off, fall silent, answer late, twice or for
// another, at every byte. Counted at the pods: what may run once runs once; each client gets its own answers
// alone; what is promised not to have run has not. The checks are in ProxyFixture::checkInvariants(), and run
// at the end of every exchange.
#include "support/scripted_pods.hpp"

using namespace scripted;

namespace {

std::string idOf(int number) {
    char text[8];
    std::snprintf(text, sizeof text, "%04d", number);
    return text;
}

// The same for all pods, whatever is asked of them.
Script each(const Reply& reply) {
    return [reply](const Arrival&) { return reply; };
}

}  // namespace

class UpstreamAttemptsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(UpstreamAttemptsTest);
    CPPUNIT_TEST(answersCutAtEveryByte);
    CPPUNIT_TEST(podsSilentAtEveryByte);
    CPPUNIT_TEST(answersMalformedAtEveryByte);
    CPPUNIT_TEST(surplusAnswersAtEveryByte);
    CPPUNIT_TEST(answersToOtherRequestsReachNobody);
    CPPUNIT_TEST(rejectionsByPods);
    CPPUNIT_TEST(connectionsThatThePodHasForgotten);
    CPPUNIT_TEST(clientsThatLeave);
    CPPUNIT_TEST(pipelinedRequests);
    CPPUNIT_TEST(hedgedRequestBesideASilentAttempt);
    CPPUNIT_TEST(hedgedRequestOnceThereIsBudget);
    CPPUNIT_TEST(abortedAttemptWritesNothing);
    CPPUNIT_TEST(raisedLimitsHoldForTheNextRequest);
    CPPUNIT_TEST(expectContinueInItsTurn);
    CPPUNIT_TEST(largeBodies);
    CPPUNIT_TEST(ambiguousRequestsAndAnswers);
    CPPUNIT_TEST(idleTimeoutFromTheLastAnswer);
    CPPUNIT_TEST(readRequestsAreServedWhileDraining);
    CPPUNIT_TEST(podSilentInALargeAnswer);
    CPPUNIT_TEST(standstillOverDeadlines);
    CPPUNIT_TEST(drainAnswersWhatIsRead);
    CPPUNIT_TEST(requestsBehindTheLastAnswerAreNotRun);
    CPPUNIT_TEST_SUITE_END();

    // Plays one exchange for each cut of an answer, all through one fixture: what is idle, rests or is kept
    // from one to the next is part of it.
    static void answerCutAtEveryByte(const std::string& whole, Reply::After end, bool write) {
        std::size_t cut = 0;
        ProxyFixture fixture([&](const Arrival& arrival) {
            if (arrival.number > 1) return Reply{ok()};
            return Reply{whole.substr(0, cut), cut < whole.size() ? end : Reply::keep};
        });
        for (; cut <= whole.size(); ++cut) {
            const auto id = idOf(static_cast<int>(cut));
            if (!write) fixture.repeatable.insert(id);
            const auto client = fixture.client(write ? post(id) : get(id), {id});
            fixture.awaitAnswers(client);
            fixture.awaitQuiet();
            const auto answer = client->answers().at(0);
            const auto where = "cut at " + std::to_string(cut) + (write ? ", write" : ", read");
            CPPUNIT_ASSERT_EQUAL_MESSAGE(where, cut == whole.size() || !write ? 200 : 502, answer.status);
            // A whole answer to a read may come behind a second send: answers here are quick, and so is that.
            const int most = write ? 1 : 2;
            const int least = write || cut == whole.size() ? 1 : 2;
            CPPUNIT_ASSERT_MESSAGE(where, fixture.runs[id] >= least && fixture.runs[id] <= most);
            ProxyFixture::disconnect(client, false);
        }
    }

  public:
    void answersCutAtEveryByte() {
        for (const bool write : {true, false})
            for (const auto end : {Reply::close, Reply::reset}) {
                answerCutAtEveryByte(ok(), end, write);
                answerCutAtEveryByte(chunks(), end, write);
                answerCutAtEveryByte("HTTP/1.1 103 Early\r\nLink: x\r\n\r\n" + ok(), end, write);
            }
    }

    // Silence ends with the deadline, never in a refusal; nothing stays behind at the pods.
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
                    if (!write) fixture.repeatable.insert(id);
                    clients.push_back(fixture.client(write ? post(id, 60) : get(id, 60), {id}));
                }
                for (const auto& client : clients) fixture.awaitAnswers(client);
                fixture.awaitQuiet();
                for (const auto& client : clients) {
                    CPPUNIT_ASSERT_EQUAL(504, client->answers().at(0).status);
                    CPPUNIT_ASSERT_EQUAL(1, fixture.runs[client->asked[0]]);
                    ProxyFixture::disconnect(client, true);
                }
                fixture.until([&] { return fixture.open["A"] + fixture.open["B"] == 0; });
            }
        }
    }

    // One byte of the head is another: either the answer still holds, or it counts for nothing.
    void answersMalformedAtEveryByte() {
        const auto whole = ok();
        const auto head = whole.find("\r\n\r\n") + 4;
        const auto length =
            whole.find("Content-Length: ") + 16;  // another length can't be told from the pod's
        for (const char wrong : {'\x01', ' ', '\n', '9'}) {
            std::size_t at = 0;
            ProxyFixture fixture([&](const Arrival&) {
                auto bytes = whole;
                for (auto brace = bytes.find("{id}"); brace != std::string::npos; brace = bytes.find("{id}"))
                    bytes.replace(brace, 4, idOf(static_cast<int>(at)));
                bytes[at] = wrong;
                return Reply{bytes, Reply::close};
            });
            for (; at < head; ++at) {
                if (at >= length && at < length + 2) continue;
                const auto id = idOf(static_cast<int>(at));
                const auto client = fixture.client(post(id), {id});
                fixture.awaitAnswers(client);
                fixture.awaitQuiet();
                CPPUNIT_ASSERT_EQUAL(1, fixture.runs[id]);
                const auto status = client->answers().at(0).status;
                CPPUNIT_ASSERT_MESSAGE(std::to_string(at), status / 100 != 5 || status >= 500);
                CPPUNIT_ASSERT_MESSAGE(std::to_string(status), status != 429 && status != 503);
                ProxyFixture::disconnect(client, false);
            }
        }
    }

    // A second answer to the request before stands, whole or in part, in the place of the next one's; or it
    // comes while the connection rests.
    void surplusAnswersAtEveryByte() {
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
            fixture.awaitAnswers(before);
            const auto id = idOf(static_cast<int>(cut));
            const auto status = fixture.roundTrip(post(id), id).status;
            CPPUNIT_ASSERT_EQUAL(1, fixture.runs[id]);
            // Cut in its reason phrase, the next one's first line is the rest of that: then this is the next
            // one.
            const bool holds = cut == 0 || cut == surplus.size() || (cut >= 13 && cut <= 15);
            CPPUNIT_ASSERT_EQUAL_MESSAGE("cut at " + std::to_string(cut), holds ? 200 : 502, status);
        }
        for (std::size_t cut = 1; cut <= surplus.size(); cut += 7) {
            ProxyFixture fixture(each({ok()}), {"A"});
            const auto before = fixture.client(post(first), {first});
            fixture.awaitAnswers(before);
            fixture.sendUnasked("A", surplus.substr(0, cut));
            CPPUNIT_ASSERT_EQUAL(200, fixture.roundTrip(post("next"), "next").status);
            CPPUNIT_ASSERT_EQUAL(2, fixture.connections["A"]);
        }
    }

    // Answers that name another request, and none behind them: of any status and size.
    void answersToOtherRequestsReachNobody() {
        for (const auto* ids : {"X-Attempt-Id: else\r\n", "X-Attempt-Id: {id}\r\nX-Attempt-Id: else\r\n"})
            for (const int status : {200, 404, 429, 500, 503})
                for (const std::size_t size : {0U, 5U, 300'000U})
                    for (const auto* word : {"", "X-Not-Executed: 1\r\n"}) {
                        const auto bytes = "HTTP/1.1 " + std::to_string(status) + " X\r\n" + ids +
                                           "X-Response-Seal: s\r\n" + word +
                                           "Content-Length: " + std::to_string(size) + "\r\n\r\n" +
                                           std::string(size, 'b');
                        ProxyFixture fixture(each({bytes, Reply::close}));
                        CPPUNIT_ASSERT_EQUAL(502, fixture.roundTrip(post("mine"), "mine").status);
                        CPPUNIT_ASSERT_EQUAL(1, fixture.arrivals["mine"]);
                    }
    }

    // The pod's own word: the next pod is asked, once; without one that can, the client hears that it did not
    // run, and when to come back. Statuses that promise and come without that word are not passed on.
    void rejectionsByPods() {
        for (const int status : {400, 421, 429, 503}) {
            ProxyFixture both(each({refusal(status), Reply::keep, false}));
            const auto client = both.client(post("none"), {"none"});
            both.awaitAnswers(client);
            both.awaitQuiet();
            CPPUNIT_ASSERT_EQUAL(503, client->answers().at(0).status);
            CPPUNIT_ASSERT_EQUAL(2, both.arrivals["none"]);
            ProxyFixture one([&](const Arrival& arrival) {
                return arrival.number == 1 ? Reply{refusal(status), Reply::keep, false} : Reply{ok()};
            });
            CPPUNIT_ASSERT_EQUAL(200, one.roundTrip(post("once"), "once").status);
            CPPUNIT_ASSERT_EQUAL(1, one.runs["once"]);
        }
        for (const int status : {408, 429, 503}) {
            ProxyFixture fixture(each({refusal(status, "")}));
            CPPUNIT_ASSERT_EQUAL(502, fixture.roundTrip(post("once"), "once").status);
            CPPUNIT_ASSERT_EQUAL(1, fixture.arrivals["once"]);
        }
        // An address that can't be read is a pod that is not reached.
        ProxyFixture nowhere(each({ok()}), {});
        nowhere.router->applyEndpointEvent({0, {"N", "s", "nowhere", "z", "v1", 2, false, 0}, false}, now());
        CPPUNIT_ASSERT_EQUAL(503, nowhere.roundTrip(post("lost"), "lost").status);
        ProxyFixture wide(each({ok("{id}", "X-Wide: " + std::string(12'000, 'w') + "\r\n")}));
        CPPUNIT_ASSERT_EQUAL(200, wide.roundTrip(post("wide"), "wide").status);
    }

    // A kept connection that the pod has forgotten: its reset comes after our write, and nothing says that
    // the pod did not run it.
    void connectionsThatThePodHasForgotten() {
        for (const bool write : {true, false}) {
            ProxyFixture fixture(each({ok()}), {"A"});
            fixture.repeatable.insert("next");
            fixture.roundTrip(post("frst"), "frst");
            fixture.forgetful.insert("A");
            CPPUNIT_ASSERT_EQUAL(502, fixture.roundTrip(write ? post("next") : get("next"), "next").status);
            CPPUNIT_ASSERT_EQUAL(0, fixture.arrivals["next"]);
        }
        ProxyFixture fixture(each({ok()}));
        fixture.repeatable.insert("next");
        fixture.forgetful.insert("A");
        fixture.router->hosts().at("B")->relativeLatency = 9;  // A is asked first
        CPPUNIT_ASSERT_EQUAL(200, fixture.roundTrip(get("next"), "next").status);
        CPPUNIT_ASSERT_EQUAL(1, fixture.runs["next"]);
    }

    // A client that leaves at any byte of its request, or before its answer: a part of a request reaches no
    // pod, a whole one runs once, and nobody else gets its answer.
    void clientsThatLeave() {
        ProxyFixture fixture([](const Arrival& arrival) {
            Reply reply{ok()};
            reply.held = arrival.id[0] == 'h';
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
                const auto gone = fixture.client(post(id), {id});
                fixture.until([&] { return fixture.arrivals[id] == 1; });
                ProxyFixture::disconnect(gone, reset);
                const auto next = "n" + id.substr(1);
                const auto client = fixture.client(post(next), {next});
                fixture.release("A", id), fixture.release("B", id);
                fixture.awaitAnswers(client);
                fixture.awaitQuiet();
                CPPUNIT_ASSERT_EQUAL(200, client->answers().at(0).status);
                CPPUNIT_ASSERT_EQUAL(1, fixture.runs[id]);
                ProxyFixture::disconnect(client, false);
            }
        fixture.until([&] { return fixture.httpServer->openConnections() == 0; });
    }

    // Requests sent ahead, whose pods answer in any order, break off or answer for another.
    void pipelinedRequests() {
        for (unsigned order = 0; order < 24; ++order) {
            ProxyFixture fixture(
                [](const Arrival& arrival) {
                    Reply reply{ok(), Reply::keep, true, true};
                    if (arrival.number == 1 && arrival.id == "two2")
                        reply = {ok().substr(0, 60), Reply::reset, true, true};
                    if (arrival.number == 1 && arrival.id == "thr3")
                        reply = {ok("four") + ok(), Reply::keep, true, true};
                    if (arrival.number > 1) reply.held = false;
                    return reply;
                },
                {"A", "B", "C", "D"});
            const std::vector<std::string> ids{"one1", "two2", "thr3", "four"};
            fixture.repeatable.insert(ids.begin(), ids.end());
            std::string all;
            for (const auto& id : ids) all += get(id);
            const auto client = fixture.client(all, ids);
            fixture.until([&] {
                int arrived = 0;
                for (const auto& id : ids) arrived += fixture.arrivals[id];
                return arrived == 4;
            });
            auto left = ids;
            for (unsigned from = order, size = 4; size > 0; from /= size--) {
                const auto id = left[from % size];
                left.erase(left.begin() + from % size);
                for (const auto* pod : {"A", "B", "C", "D"}) fixture.release(pod, id);
                while (fixture.proxyLoop.poll() + fixture.worldLoop.poll() > 0) {
                }
            }
            fixture.awaitAnswers(client, 4);
            fixture.awaitQuiet();
            for (const auto& answer : client->answers()) CPPUNIT_ASSERT_EQUAL(200, answer.status);
            CPPUNIT_ASSERT_EQUAL(2, fixture.runs["two2"]);
        }
    }

    // A second send beside a silent first one: the client gets the second's answer; the first's comes late
    // and reaches nobody, or never comes and is ended with the request's time.
    void hedgedRequestBesideASilentAttempt() {
        for (const bool late : {true, false}) {
            ProxyFixture fixture([&](const Arrival& arrival) {
                Reply reply{ok()};
                if (arrival.id == "slow" && arrival.number == 1)
                    reply = late ? Reply{ok(), Reply::keep, true, true} : Reply{"", Reply::silent};
                return reply;
            });
            fixture.repeatable = {"slow"};
            const auto client = fixture.client(get("slow", 80, "", "/quick/1"), {"slow"});
            fixture.awaitAnswers(client);
            CPPUNIT_ASSERT_EQUAL(200, client->answers().at(0).status);
            CPPUNIT_ASSERT_EQUAL(2, fixture.runs["slow"]);
            if (late) fixture.release("A", "slow"), fixture.release("B", "slow");
            fixture.awaitQuiet();
            for (int at = 0; at < 4; ++at) {
                const auto next = fixture.client(post(idOf(at)), {idOf(at)});
                fixture.awaitAnswers(next);
                CPPUNIT_ASSERT_EQUAL(200, next->answers().at(0).status);
            }
            fixture.awaitQuiet();
            if (!late) fixture.until([&] { return fixture.open["A"] + fixture.open["B"] <= 1; });
        }
    }

    // A second send for which there is no budget goes once there is.
    void hedgedRequestOnceThereIsBudget() {
        ProxyFixture fixture(
            [](const Arrival& arrival) {
                if (arrival.id == "slow" && arrival.number == 1) return Reply{"", Reply::silent};
                return Reply{ok()};
            },
            {"A", "B"}, 0);
        fixture.repeatable = {"slow"};
        const auto client = fixture.client(get("slow", 1500, "", "/quick/1"), {"slow"});
        fixture.until([&] { return fixture.arrivals["slow"] == 1; });
        const Nanos asked = now() + 40 * kMillisecond;  // the second was due after 12 ms
        fixture.until([&] { return now() > asked; });
        CPPUNIT_ASSERT_EQUAL(1, fixture.arrivals["slow"]);
        for (int at = 0; at < 30; ++at) {
            const auto other = fixture.client(post(idOf(at)), {idOf(at)});
            fixture.awaitAnswers(other);
        }
        fixture.awaitAnswers(client);
        CPPUNIT_ASSERT_EQUAL(200, client->answers().at(0).status);
        CPPUNIT_ASSERT_EQUAL(2, fixture.arrivals["slow"]);
        fixture.awaitQuiet();
    }

    // A call that is given up before its turn comes writes nothing, on a kept connection either: its send has
    // surely not run.
    void abortedAttemptWritesNothing() {
        ProxyFixture fixture(each({ok()}), {"A"});
        fixture.awaitAnswers(fixture.client(post("frst"), {"frst"}));
        fixture.awaitQuiet();
        routing::RoutedRequest routed;
        CPPUNIT_ASSERT(fixture.router->startRequest(routed, "h", "/write/1", now(), kSecond));
        const auto call =
            std::make_shared<proxy::UpstreamRequest>(fixture.router->nextAttempt(routed, now()));
        const auto request = std::make_shared<proxy::Request>(proxy::http::verb::post, "/write/1", 11);
        request->set("X-Attempt-Id", "left");
        bool back = false;
        const auto send = [](ProxyFixture& in, std::shared_ptr<proxy::UpstreamRequest> sent,
                             std::shared_ptr<proxy::Request> its, bool& done) -> Task<> {
            co_await in.upstream->call(sent, its, now() + kSecond, true, 2);
            done = true;
        };
        call->abort();
        spawn(fixture.proxyLoop, "send", send(fixture, call, request, back));
        fixture.until([&] { return back; });
        CPPUNIT_ASSERT_EQUAL(0, fixture.arrivals["left"]);
        CPPUNIT_ASSERT(call->attempt->state() == routing::AttemptState::unsent);
        fixture.router->onAttemptEnded(routed, *call->attempt, call->end, 0, 0, now());
        CPPUNIT_ASSERT_EQUAL(503, fixture.router->localReply(routed).status());
        fixture.awaitQuiet();
    }

    // Limits raised while a connection rests hold for its next request.
    void raisedLimitsHoldForTheNextRequest() {
        for (const bool header : {true, false}) {
            ProxyFixture fixture(each({ok()}), {"A"});
            fixture.setLimits(header ? 1000 : 2000, header ? 9000 : 1000);
            const auto client = fixture.client(post("frst"), {"frst"});
            fixture.awaitAnswers(client);
            fixture.awaitQuiet();
            fixture.setLimits(9000, 9000);
            const std::string more(3000, 'x');
            fixture.write(
                client,
                header ? post("next", 4000, "x", "X-More: " + more + "\r\n") : post("next", 4000, more),
                {"next"});
            fixture.awaitAnswers(client, 2);
            fixture.awaitQuiet();
            CPPUNIT_ASSERT_EQUAL(200, client->answers().at(1).status);
        }
    }

    // Who waits for 100 gets it, once it is its turn.
    void expectContinueInItsTurn() {
        ProxyFixture fixture([](const Arrival& arrival) {
            return Reply{ok(), Reply::keep, true, arrival.id == "frst"};
        });
        fixture.repeatable.insert("frst");
        const auto body = std::string("whole");
        const auto asking = post("next", 4000, body, "Expect: 100-continue\r\n");
        const auto client =
            fixture.client(get("frst") + asking.substr(0, asking.size() - body.size()), {"frst", "next"});
        fixture.until([&] { return fixture.arrivals["frst"] == 1; });
        CPPUNIT_ASSERT(client->got.empty());
        fixture.release("A", "frst"), fixture.release("B", "frst");
        fixture.until([&] { return client->got.find("100 Continue") != std::string::npos; });
        fixture.write(client, body);
        fixture.awaitAnswers(client, 2);
        fixture.awaitQuiet();
        CPPUNIT_ASSERT_EQUAL(200, client->answers().at(1).status);
        CPPUNIT_ASSERT_EQUAL(1, fixture.runs["next"]);
    }

    // Bodies that pass through, cut at either end, either way.
    void largeBodies() {
        const std::string big(600'000, 'b');
        const auto head = std::string("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: s\r\n");
        const auto length = head + "Content-Length: 600012\r\n\r\nbody of {id}" + big;
        const auto chunked =
            head + "Transfer-Encoding: chunked\r\n\r\nc\r\nbody of {id}\r\n927c0\r\n" + big + "\r\n0\r\n\r\n";
        for (const auto& whole : {length, chunked})
            for (std::size_t cut = 100; cut <= whole.size() + 65'000; cut += 65'000)
                for (const auto end : {Reply::close, Reply::reset}) {
                    ProxyFixture fixture(each({whole.substr(0, cut), end}));
                    const auto answer = fixture.roundTrip(post("once"), "once");
                    CPPUNIT_ASSERT_EQUAL(1, fixture.runs["once"]);
                    if (cut < whole.size()) CPPUNIT_ASSERT(answer.status == 502 || !answer.whole);
                    if (cut >= whole.size() && end == Reply::close)
                        CPPUNIT_ASSERT(answer.whole && answer.status == 200);
                }
        // A body on its way to the pod: the client breaks off, or the pod does.
        const auto upload = post("once", 4000, big);
        for (std::size_t cut = upload.size() - big.size(); cut < upload.size(); cut += 99'000) {
            ProxyFixture fixture(each({ok()}));
            const auto client = fixture.client(upload.substr(0, cut), {"once"});
            // What is too large to hold is at a pod already, in part.
            fixture.until([&] {
                return fixture.httpServer->openConnections() == 1 &&
                       (cut < 300'000 || !fixture.connections.empty());
            });
            ProxyFixture::disconnect(client, true);
            fixture.until([&] { return fixture.httpServer->openConnections() == 0; });
            fixture.awaitQuiet();
            CPPUNIT_ASSERT_EQUAL(0, fixture.runs["once"]);
        }
        // More than buffers on the way hold: the reset comes in the middle of our write.
        const auto longHead = post("once", 4000, std::string(8'000'000, 'b'));
        for (const auto* pods : {"A", "AB"}) {
            ProxyFixture fixture(
                each({ok()}), pods[1] ? std::vector<std::string>{"A", "B"} : std::vector<std::string>{"A"});
            fixture.forgetful = {"A", "B"};
            CPPUNIT_ASSERT_EQUAL(502, fixture.roundTrip(longHead, "once").status);
            CPPUNIT_ASSERT_EQUAL(0, fixture.arrivals["once"]);
        }
    }

    // What one reader takes for a body and another for the next request; headers that Connection names away.
    void ambiguousRequestsAndAnswers() {
        const auto inner = post("innr");
        for (const auto* coding : {"xchunked", "chunked, gzip", "gzip, chunked", "identity",
                                   "\x0b"
                                   "chunked",
                                   "chunked\r\nTransfer-Encoding: identity"}) {
            ProxyFixture fixture(each({ok()}));
            const auto client = fixture.client(
                "POST /write/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: outr\r\nTransfer-Encoding: " +
                    std::string(coding) + "\r\n\r\n" + inner,
                {""});
            fixture.awaitAnswers(client);
            fixture.until([&] { return client->ended; });
            fixture.awaitQuiet();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(coding, 400, client->answers().at(0).status);
            CPPUNIT_ASSERT_MESSAGE(coding, fixture.arrivals.empty());
        }
        for (const auto* coding : {"xchunked", "gzip, chunked", "identity"}) {
            ProxyFixture fixture(
                each({"HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: s\r\nTransfer-Encoding: " +
                          std::string(coding) + "\r\n\r\nc\r\nbody of {id}\r\n0\r\n\r\n",
                      Reply::close}));
            CPPUNIT_ASSERT_EQUAL(502, fixture.roundTrip(post("once"), "once").status);
        }
        ProxyFixture fixture(each(
            {ok("{id}", "Connection: keep-alive\r\nConnection: X-Response-Seal, X-Hop\r\nX-Hop: 1\r\n")}));
        const auto client =
            fixture.client(post("once", 4000, "x", "Connection: X-Attempt-Id, Host\r\n"), {"once"});
        fixture.awaitAnswers(client);
        fixture.awaitQuiet();
        CPPUNIT_ASSERT_EQUAL(1, fixture.runs["once"]);
        CPPUNIT_ASSERT(client->got.find("X-Response-Seal: seal-once") != std::string::npos);
        CPPUNIT_ASSERT(client->got.find("X-Hop") == std::string::npos);
        const auto two = fixture.client(post("onea", 4000, "x", "X-Attempt-Id: oneb\r\n"), {""});
        fixture.awaitAnswers(two);
        CPPUNIT_ASSERT_EQUAL(400, two->answers().at(0).status);
        CPPUNIT_ASSERT_EQUAL(0, fixture.arrivals["onea"] + fixture.arrivals["oneb"]);
    }

    // A connection may rest for the whole of idle_timeout, counted from its last answer; one on which bytes
    // wait does not rest.
    void idleTimeoutFromTheLastAnswer() {
        ProxyFixture fixture([](const Arrival&) { return Reply{ok(), Reply::keep, true, true}; }, {"A"});
        const auto client = fixture.client(post("frst"), {"frst"});
        fixture.until([&] { return fixture.arrivals["frst"] == 1; });
        fixture.standStill(30 * kMillisecond);
        fixture.release("A", "frst");
        fixture.awaitAnswers(client);
        fixture.awaitQuiet();
        const auto answered = now();
        fixture.httpServer->enforceTimeouts(answered + 15 * kSecond - 20 * kMillisecond);
        fixture.write(client, post("next"), {"next"});
        fixture.until([&] { return fixture.arrivals["next"] == 1; });
        fixture.release("A", "next");
        fixture.awaitAnswers(client, 2);
        fixture.awaitQuiet();
        fixture.write(client, post("thrd"), {"thrd"});
        fixture.standStill(5 * kMillisecond);  // the bytes are there, the proxy hasn't looked
        fixture.httpServer->enforceTimeouts(now() + 60 * kSecond), fixture.httpServer->closeIdle();
        fixture.until([&] { return fixture.arrivals["thrd"] == 1; });
        fixture.release("A", "thrd");
        fixture.awaitAnswers(client, 3);
        fixture.awaitQuiet();
        CPPUNIT_ASSERT_EQUAL(200, client->answers().at(2).status);
        fixture.httpServer->enforceTimeouts(now() + 16 * kSecond);
        fixture.until([&] { return client->ended; });
    }

    // Idle connections are closed between any two turns of the loop: a request that has been read by then,
    // or can be, is served.
    void readRequestsAreServedWhileDraining() {
        for (int turns = 0; turns < 12; ++turns) {
            ProxyFixture fixture(each({ok()}), {"A"});
            const auto client = fixture.client(post("once"), {"once"});
            fixture.standStill(2 * kMillisecond);  // the bytes are there, the proxy hasn't looked
            for (int at = 0; at < turns; ++at) fixture.proxyLoop.poll_one();
            fixture.httpServer->drain(), fixture.httpServer->closeIdle();
            fixture.awaitAnswers(client);
            fixture.awaitQuiet();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(turns), std::size_t{1}, client->answers().size());
            CPPUNIT_ASSERT_EQUAL(200, client->answers()[0].status);
        }
    }

    // A pod that falls silent in a large answer: nobody ends it before its time, the deadline does; also
    // where its client has gone.
    void podSilentInALargeAnswer() {
        ProxyFixture fixture(
            each({"HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: s\r\nContent-Length: "
                  "600012\r\n\r\nbody of {id}" +
                      std::string(300'000, 'b'),
                  Reply::silent}));
        const auto client = fixture.client(post("once", 20000), {"once"});
        const auto gone = fixture.client(post("gone", 20000), {"gone"});
        const auto began = now();
        fixture.until([&] { return client->got.size() > 200'000 && gone->got.size() > 200'000; });
        ProxyFixture::disconnect(gone, false);
        fixture.httpServer->enforceTimeouts(began + 19'900 * kMillisecond);
        while (fixture.proxyLoop.poll() + fixture.worldLoop.poll() > 0) {
        }
        CPPUNIT_ASSERT(!client->ended);
        fixture.httpServer->enforceTimeouts(now() + 20'100 * kMillisecond);
        fixture.until([&] { return client->ended && fixture.httpServer->openConnections() == 0; });
        fixture.until([&] { return fixture.open["A"] + fixture.open["B"] == 0; });
        CPPUNIT_ASSERT(!client->answers().at(0).whole);
        fixture.awaitQuiet();
    }

    // The proxy stands still, over deadlines and answers, and wakes.
    void standstillOverDeadlines() {
        ProxyFixture fixture([](const Arrival& arrival) {
            if (arrival.id == "cut1") return Reply{ok().substr(0, 50), Reply::reset, true, true};
            if (arrival.id == "turn") return Reply{refusal(503), Reply::keep, false, true};
            if (arrival.id == "mute") return Reply{"", Reply::silent};
            return Reply{ok(), Reply::keep, true, true};
        });
        fixture.repeatable = {"read"};
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
        // Two more come while it stands; one of them leaves again.
        clients["wait"] = fixture.client(post("wait"), {"wait"});
        clients["left"] = fixture.client(post("left"), {"left"});
        fixture.standStill(5 * kMillisecond);
        ProxyFixture::disconnect(clients["left"], false);
        fixture.standStill(60 * kMillisecond);
        fixture.awake = false;
        while (fixture.proxyLoop.poll() > 0) {
        }
        fixture.awake = true;
        fixture.until([&] { return fixture.arrivals["wait"] == 1; });
        fixture.release("A", "wait"), fixture.release("B", "wait");
        for (const auto& id : ids) fixture.awaitAnswers(clients[id]);
        fixture.awaitAnswers(clients["wait"]);
        fixture.awaitQuiet();
        CPPUNIT_ASSERT_EQUAL(200, clients["wait"]->answers().at(0).status);
        CPPUNIT_ASSERT_EQUAL(0, fixture.arrivals["left"]);
        for (const auto& id : ids) {
            CPPUNIT_ASSERT_EQUAL(1, fixture.arrivals[id]);
            const auto status = clients[id]->answers().at(0).status;
            CPPUNIT_ASSERT_MESSAGE(id + " " + std::to_string(status),
                                   status >= 502 || (status == 200 && (id == "late" || id == "read")));
            CPPUNIT_ASSERT(id == "turn" || status != 503);
        }
    }

    // SIGTERM in the middle: what is in flight ends whole and says that the connection ends; what was read is
    // served, or refused at once where no pod is; what stands behind the last answer is not run.
    void drainAnswersWhatIsRead() {
        ProxyFixture fixture(
            [](const Arrival&) {
                return Reply{ok(), Reply::keep, true, true};
            },
            {"A", "B", "C", "D"});
        const auto one = fixture.client(post("one1"), {"one1"});
        const auto ahead = fixture.client(get("two2") + get("thr3"), {"two2", "thr3"});
        fixture.repeatable = {"two2", "thr3", "behd"};
        fixture.until([&] {
            return fixture.arrivals["one1"] + fixture.arrivals["two2"] + fixture.arrivals["thr3"] == 3;
        });
        fixture.httpServer->drain();
        // Read on while answers are due, so that nobody has to send again what could be served; from the
        // closing of idle connections on, the next one read is the last, and what follows counts as not read.
        for (const auto* id : {"four", "five", "six6"}) {
            if (id[0] == 's') fixture.httpServer->closeIdle();
            fixture.write(one, post(id), {id});
            fixture.until([&] { return fixture.arrivals[id] == 1; });
        }
        fixture.write(one, post("sevn"), {"sevn"});
        fixture.standStill(2 * kMillisecond);
        for (const auto* id : {"two2", "six6", "four", "thr3", "five", "one1"})
            for (const auto* pod : {"A", "B", "C", "D"}) fixture.release(pod, id);
        fixture.until([&] { return one->ended && ahead->ended; });
        fixture.awaitQuiet();
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, one->answers().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, ahead->answers().size());
        for (const auto& client : {one, ahead}) {
            const auto answers = client->answers();
            for (const auto& answer : answers) {
                CPPUNIT_ASSERT_EQUAL(200, answer.status);
                CPPUNIT_ASSERT_EQUAL(answer.id == answers.back().id, answer.close);
            }
        }
        CPPUNIT_ASSERT_EQUAL(0, fixture.arrivals["sevn"]);
        for (const auto* pod : {"A", "B", "C", "D"}) fixture.listEndpoint(pod, true);
        const auto resting = fixture.client(post("last"), {"last"});
        fixture.until([&] { return resting->ended; });
        fixture.awaitQuiet();
        const auto refused = resting->answers().at(0);
        CPPUNIT_ASSERT_EQUAL(503, refused.status);
        CPPUNIT_ASSERT(refused.close && !refused.retryAfter.empty());
        fixture.httpServer->enforceTimeouts(now() +
                                            kSecond);  // the clients don't close: it lingers no longer
        fixture.until([&] { return fixture.httpServer->openConnections() == 0; });
    }

    // While the last answer of a draining connection is on its way, its client sends more: that is not run,
    // since the client takes it for not read and sends it elsewhere.
    void requestsBehindTheLastAnswerAreNotRun() {
        const std::string half(300'000, 'b');
        ProxyFixture fixture([&](const Arrival&) {
            Reply reply{
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: s\r\nContent-Length: "
                "600012\r\n\r\nbody of {id}" +
                half};
            reply.later = half;
            return reply;
        });
        const auto client = fixture.client(post("long"), {"long"});
        fixture.until([&] { return fixture.arrivals["long"] == 1; });
        fixture.httpServer->drain();
        fixture.until([&] { return client->got.size() > 200'000; });
        fixture.write(client, post("more") + post("evry"), {"more", "evry"});
        fixture.standStill(2 * kMillisecond);
        while (fixture.proxyLoop.poll() + fixture.worldLoop.poll() > 0) {
        }
        CPPUNIT_ASSERT_EQUAL(0, fixture.arrivals["more"] + fixture.arrivals["evry"]);
        fixture.release("A", "long"), fixture.release("B", "long");
        fixture.until([&] { return client->ended; });
        fixture.awaitQuiet();
        const auto answers = client->answers();
        CPPUNIT_ASSERT(answers.size() == 1 && answers[0].whole && answers[0].close);
        CPPUNIT_ASSERT_EQUAL(0, fixture.arrivals["more"] + fixture.arrivals["evry"]);
        ProxyFixture::disconnect(client, false);
        fixture.until([&] { return fixture.httpServer->openConnections() == 0; });
    }
};
CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamAttemptsTest);
