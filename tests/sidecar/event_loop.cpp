#include "support/sidecar_fixture.hpp"

using namespace lichenlanding::sidecar;

// libevent measures a timer's delay from the start of the loop iteration. After a long iteration the policy's
// timer fired early, the policy started no other, and the sidecar stopped pooling counts and voting.
TEST_CASE("a timer never fires early, however long the loop iteration that started it") {
    SidecarFixture fixture;
    int fired = 0;
    Nanos startedAt = 0;
    Timer timer(fixture.loop, [&] {
        CHECK(fixture.loop.now() - startedAt >= 5 * kMs);
        ++fired;
    });
    for (int iteration = 1; iteration <= 3; ++iteration) {
        fixture.loop.post([&] {
            const auto busySince = fixture.loop.now();
            while (fixture.loop.now() - busySince < 8 * kMs) continue;
            startedAt = fixture.loop.now();
            timer.start(5 * kMs);
        });
        fixture.runUntil([&] { return fired == iteration; });
    }
}
