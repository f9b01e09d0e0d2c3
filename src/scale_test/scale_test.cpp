#include "scale_test/scale_test.hpp"

#include "scale_test/scale_run.hpp"

namespace lichenlanding::scale_test {

bool scale(const ScenarioConfig& plan, const std::string& program) { return ScaleRun(plan, program).run(); }

}  // namespace lichenlanding::scale_test
