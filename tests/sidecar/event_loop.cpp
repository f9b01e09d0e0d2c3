#include "support/sidecar_fixture.hpp"

using namespace lichenlanding::sidecar;

// Seen on sockets: after a long turn of the loop the policy's timer fired early and was the last one, so that
// a sidecar pooled and voted no more.
TEST_CASE("a timer never fires early, however long the turn that started it") {
    SidecarFixture fixture;
    int fired = 0;
    Nanos set = 0;
    Timer timer(fixture.loop, [&] {
        CHECK(fixture.loop.now() - set >= 5 * kMs);
        ++fired;
    });
    for (int turn = 1; turn <= 3; ++turn) {
        fixture.loop.post([&] {
            const auto begun = fixture.loop.now();
            while (fixture.loop.now() - begun < 8 * kMs) continue;
            set = fixture.loop.now();
            timer.start(5 * kMs);
        });
        fixture.runUntil([&] { return fired == turn; });
    }
}
