// Runs an event loop until a condition holds or a task has ended, without waiting for a fixed time.
#pragma once

#include <optional>

#include "support/transcript.hpp"
#include "transport/event_loop.hpp"

namespace event_loop_fixture {

using namespace lichenlanding::transport;

template <typename Done>
void runUntil(asio::io_context& io, int maxSteps, Done done) {
    for (int steps = 0; !done(); ++steps) {
        CPPUNIT_ASSERT_MESSAGE("event loop idle before the condition held",
                               io.run_one_for(std::chrono::seconds(8)) > 0);
        CPPUNIT_ASSERT(steps < maxSteps);
    }
}

// Returns the result of a task; `until` runs the loop.
template <typename Result, typename Until>
Result runTask(asio::io_context& io, Task<Result> task, Until until) {
    std::optional<Result> value;
    spawn(io, "task", [](Task<Result> task_, std::optional<Result>& value_) -> Task<> {
        value_ = co_await std::move(task_);
    }(std::move(task), value));
    until([&] { return value.has_value(); });
    return std::move(*value);
}

}  // namespace event_loop_fixture
