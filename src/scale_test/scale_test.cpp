#include "scale_test/scale_test.hpp"

#include "scale_test/scale_run.hpp"

namespace lichenlanding::scale_test {

bool runScaleTest(const ScenarioConfig& scenario, const std::string& program) {
    return ScaleRun(scenario, program).run();
}

}  // namespace lichenlanding::scale_test
