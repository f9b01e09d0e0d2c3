/// The log's output to standard error, which never waits for its reader.
#pragma once

#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>

#include <cstdint>
#include <utility>

namespace lichenlanding::transport {

/// Writes each line at once. What a full pipe has no room for is dropped: a process must not stand still
/// because nobody reads its log. Not thread-safe.
class StderrSink final : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
  public:
    /// The number of lines that were dropped, in whole or in part, since the last call.
    std::uint64_t takeDroppedLines() { return std::exchange(droppedLines_, 0); }

  protected:
    void sink_it_(const spdlog::details::log_msg& message) override;
    void flush_() override {}

  private:
    std::uint64_t droppedLines_ = 0;
    bool lineIsCut_ = false;  // the last line was written in part
};

}  // namespace lichenlanding::transport
