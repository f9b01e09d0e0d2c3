#include "adapter/wire.hpp"

#include "doctest/doctest.h"

using namespace lichenlanding::adapter;

TEST_CASE("the error for a line that cannot be parsed names the message and the field") {
    LineReader line("NEW_REQUEST\t3\tr-1\t-\tmany");
    line.integer("who", 0, 100);
    line.string("tid");
    line.string("affinity");
    CHECK_THROWS_WITH(line.integer("marks", 0, 100), "cannot read NEW_REQUEST: field marks");
    LineReader odd("HEARD\t3\t2\tabc");
    odd.integer("who", 0, 100);
    odd.integer("srcPeer", 0, 100);
    CHECK_THROWS_WITH(odd.bytes("data"), "cannot read HEARD: field data");
}

TEST_CASE("times are parsed to nanoseconds with microsecond resolution") {
    LineReader line("X\t8412.25\t0.001\t-3.5");
    CHECK(line.time("a") == 8'412'250'000);
    CHECK(line.time("b") == 1000);
    CHECK(line.time("c") == -3'500'000);
    CHECK(formatMillis(250'001'000) == "250.001");
    CHECK(formatHex("hi!") == "686921");
}

TEST_CASE("a missing setting is reported by name and unknown ones are ignored") {
    CHECK_THROWS_WITH(lichenlanding::readSettings(readNamedValues({"colour=blue", "index=0"})),
                      "missing setting balancers");
}
