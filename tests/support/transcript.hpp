// Approved transcripts: the full output of a test is compared with a reviewed text file.
// WRITE_TRANSCRIPTS=1 in the environment rewrites the files; review the difference before committing it.
#pragma once

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>

// Asserts that `actual` equals the approved transcript `name`.txt.
inline void approve(const std::string& name, const std::string& actual) {
    const auto path = std::string(TRANSCRIPTS) + "/" + name + ".txt";
    if (std::getenv("WRITE_TRANSCRIPTS")) std::ofstream(path) << actual;
    std::ifstream file(path);
    std::stringstream approved;
    approved << file.rdbuf();
    CPPUNIT_ASSERT_EQUAL_MESSAGE(name, approved.str(), actual);
}
