#include "sidecar/platform_client.hpp"

#include "support/sidecar_fixture.hpp"

using namespace lichenlanding::sidecar;

TEST_CASE("votes and their answers, and the platform's watch") {
    SidecarFixture fixture;
    std::string answer;
    int platformStatus = 200;
    HttpStandIn platform(fixture.loop, [&](auto& standIn, auto* request) {
        if (std::string(evhttp_request_get_uri(request)) == paths::kRolloutWatch)
            return standIn.hold(request);
        fixture.trace << HttpStandIn::bodyOf(request) << " -> ";
        if (platformStatus == 0) standIn.disconnect(request);
        else if (platformStatus > 0) standIn.respond(request, platformStatus, answer);
    });
    int received = 0;
    PlatformClient client(
        fixture.loop, platform.address, 5000 * kMs, 1500 * kMs,
        limits::ReconnectBackoff(PlatformClient::kIdleTimeout, 1),
        [&](const RolloutUpdate& update, bool isAnswer, Outcome outcome) {
            ++received;
            fixture.trace << (isAnswer ? "answer " : "update ") << outcomeName(outcome) << " build "
                          << update.build << " stage " << update.stage << " state "
                          << static_cast<int>(update.state) << " cap " << update.cap << " age "
                          << update.age / kMs << '\n';
        },
        [&](const Dispute& dispute) {
            ++received;
            fixture.trace << "dispute " << dispute.pod << " " << dispute.group << " " << dispute.age / kMs
                          << '\n';
        });
    const std::string state = R"({"image":42,"ring":1,"progress":"testing","ceiling":0.28,"lag_ms":310})";
    const std::tuple<int, std::string, Verdict> votes[] = {{200, state, Verdict::advance},
                                                           {200, "{}", Verdict::advance},
                                                           {429, R"({"error":"BUSY"})", Verdict::rollBack},
                                                           {409, R"({"error":"STALE"})", Verdict::rollBack},
                                                           {500, R"({"error":"FAILED"})", Verdict::hold},
                                                           {400, R"({"error":"SYNTAX"})", Verdict::none},
                                                           {0, "", Verdict::advance},
                                                           {-1, "", Verdict::advance}};
    for (const auto& [statusCode, body, verdict] : votes) {
        platformStatus = statusCode;
        answer = body;
        const auto before = received;
        client.vote(verdict, 42, 1);
        fixture.runUntil([&] { return received > before; });
    }
    client.start();
    fixture.runUntil([&] { return platform.pending.size() == 1; });
    platform.beginStream(platform.pending[0]);
    platform.sendChunk(platform.pending[0], "{}\n{\"type\":\"ROLLOUT\",\"object\":" + state + "}\n{\"ty");
    platform.sendChunk(
        platform.pending[0],
        "pe\":\"DISPUTE\",\"object\":{\"host\":\"s-5\",\"type\":\"read\",\"lag_ms\":1200}}\nnonsense\n");
    platform.sendChunk(platform.pending[0], R"({"type":"NEWER","object":{}})"
                                            "\n");
    platform.sendChunk(platform.pending[0], "{\"type\":\"ROLLOUT\",\"object\":" + state + "}\n");
    const auto before = received;
    // Lines after a malformed one are ignored; the client opens a new watch.
    fixture.runUntil([&] { return received == before + 2 && platform.requestPaths.size() == 10; });
    matchesTrace("platform-client", fixture.trace.str());
}
