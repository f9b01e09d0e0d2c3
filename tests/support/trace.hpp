// Approval testing: compares the trace that a test records with an approved file in tests/traces.
#pragma once

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>

#include "doctest/doctest.h"
#include "policy/types.hpp"

using namespace lichenlanding;

constexpr Nanos kMs = 1'000'000;

/// Compares `trace` with tests/traces/NAME.txt. If WRITE_TRACES is set in the environment, it first rewrites
/// the file.
inline void matchesTrace(const std::string& name, const std::string& trace) {
    const auto path = std::string(TRACES) + "/" + name + ".txt";
    if (std::getenv("WRITE_TRACES")) std::ofstream(path) << trace;
    std::ifstream file(path);
    std::stringstream approved;
    approved << file.rdbuf();
    CHECK(!approved.str().empty());
    CHECK(trace == approved.str());
}

inline const char* outcomeName(Outcome outcome) {
    static const char* names[] = {"delivered", "errored", "saturated", "overdue",
                                  "unreached", "severed", "recalled",  "superseded"};
    return names[static_cast<int>(outcome)];
}
