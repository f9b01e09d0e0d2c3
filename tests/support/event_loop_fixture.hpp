// A loop that is driven until something is so, or until a task has ended. Nothing waits for time to pass.
#pragma once

#include <optional>

#include "support/transcript.hpp"
#include "transport/event_loop.hpp"

namespace event_loop_fixture {

using namespace lichenlanding::transport;

template <typename Done>
void runUntil(asio::io_context& io, int maxTurns, Done done) {
    for (int turns = 0; !done(); ++turns) {
        CPPUNIT_ASSERT_MESSAGE("nothing happens any more", io.run_one_for(std::chrono::seconds(8)) > 0);
        CPPUNIT_ASSERT(turns < maxTurns);
    }
}

// What a task comes to; `until` runs the loop.
template <typename Result, typename Until>
Result runTask(asio::io_context& io, Task<Result> task, Until until) {
    std::optional<Result> ended;
    spawn(io, "task", [](Task<Result> task_, std::optional<Result>& ended_) -> Task<> {
        ended_ = co_await std::move(task_);
    }(std::move(task), ended));
    until([&] { return ended.has_value(); });
    return std::move(*ended);
}

}  // namespace event_loop_fixture
