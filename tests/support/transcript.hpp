// Approved transcripts: what a test saw is compared, whole, with a text that somebody has read and kept.
// WRITE_TRANSCRIPTS=1 writes them anew, to be read before they are committed.
#pragma once

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>

inline void approve(const std::string& name, const std::string& seen) {
    const auto path = std::string(TRANSCRIPTS) + "/" + name + ".txt";
    if (std::getenv("WRITE_TRANSCRIPTS")) std::ofstream(path) << seen;
    std::ifstream file(path);
    std::stringstream kept;
    kept << file.rdbuf();
    CPPUNIT_ASSERT_EQUAL_MESSAGE(name, kept.str(), seen);
}
