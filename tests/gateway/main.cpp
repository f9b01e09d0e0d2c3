#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <csignal>
#include <iostream>

int main() {
    std::signal(SIGPIPE, SIG_IGN);
    CppUnit::TestResult results;
    CppUnit::TestResultCollector collected;
    CppUnit::BriefTestProgressListener progress;
    results.addListener(&collected), results.addListener(&progress);
    CppUnit::TestRunner runner;
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    runner.run(results);
    CppUnit::CompilerOutputter(&collected, std::cerr).write();
    std::cout << collected.runTests() - collected.testFailuresTotal() << " passed, "
              << collected.testFailuresTotal() << " failed" << std::endl;
    return collected.wasSuccessful() && collected.runTests() > 0 ? 0 : 1;
}
