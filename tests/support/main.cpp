#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <csignal>
#include <iostream>

int main(int count, char** words) {
    std::signal(SIGPIPE, SIG_IGN);
    CppUnit::TestResult results;
    CppUnit::TestResultCollector collected;
    CppUnit::BriefTestProgressListener progress;
    results.addListener(&collected), results.addListener(&progress);
    CppUnit::TestRunner runner;
    auto* all = CppUnit::TestFactoryRegistry::getRegistry().makeTest();
    runner.addTest(count > 1
                       ? all->findTest(words[1])
                       : all);  // one suite or test by its name, such as RegisterTest::holdsInSeededSchedules
    runner.run(results);
    CppUnit::CompilerOutputter(&collected, std::cerr).write();
    std::cout << collected.runTests() - collected.testFailuresTotal() << " passed, "
              << collected.testFailuresTotal() << " failed" << std::endl;
    return collected.wasSuccessful() && collected.runTests() > 0 ? 0 : 1;
}
