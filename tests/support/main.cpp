// Runs the gateway's tests, all or one suite or test by its name, less those that KNOWN-RED.txt lists.
#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/TestSuite.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <map>
#include <string>

namespace {

constexpr std::size_t kKnownRedMax = 3;

// The lines of KNOWN-RED.txt ("Suite::test: cause, issue N") by the test that each names.
std::map<std::string, std::string> readKnownRed(const char* path) {
    std::map<std::string, std::string> known;
    std::ifstream file(path);
    for (std::string line; std::getline(file, line);)
        if (const auto end = line.find(": "); end != std::string::npos) known[line.substr(0, end)] = line;
    return known;
}

// Adds the leaves of `test` to `runner`, less the known red ones, which are printed.
void addTests(CppUnit::TestRunner& runner, CppUnit::Test& test,
              const std::map<std::string, std::string>& knownRed) {
    for (int child = 0; child < test.getChildTestCount(); ++child)
        addTests(runner, *test.getChildTestAt(child), knownRed);
    if (test.getChildTestCount() > 0 || dynamic_cast<CppUnit::TestSuite*>(&test)) return;
    const auto known = knownRed.find(test.getName());
    if (known == knownRed.end()) runner.addTest(&test);
    else std::cout << "known red, passed over: " << known->second << std::endl;
}

}  // namespace

// A test that is asked for by its own name runs, known red or not.
int main(int count, char** words) {
    std::signal(SIGPIPE, SIG_IGN);
    CppUnit::TestResult results;
    CppUnit::TestResultCollector collected;
    CppUnit::BriefTestProgressListener progress;
    results.addListener(&collected), results.addListener(&progress);
    const auto knownRed = readKnownRed(KNOWN_RED);
    if (knownRed.size() > kKnownRedMax) {
        std::cerr << "KNOWN-RED.txt lists more than " << kKnownRedMax << " tests" << std::endl;
        return 1;
    }
    auto* all = CppUnit::TestFactoryRegistry::getRegistry().makeTest();
    // It owns what is added; the leaves of `all` are owned by `all`, so neither is ever destroyed.
    auto& runner = *new CppUnit::TestRunner;
    if (count > 1) runner.addTest(all->findTest(words[1]));
    else addTests(runner, *all, knownRed);
    runner.run(results);
    CppUnit::CompilerOutputter(&collected, std::cerr).write();
    std::cout << collected.runTests() - collected.testFailuresTotal() << " passed, "
              << collected.testFailuresTotal() << " failed" << std::endl;
    return collected.wasSuccessful() && collected.runTests() > 0 ? 0 : 1;
}
