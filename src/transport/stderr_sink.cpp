#include "transport/stderr_sink.hpp"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <climits>
#include <string_view>

namespace lichenlanding::transport {
namespace {

// Whether a write of up to PIPE_BUF bytes would not block.
bool isWritable() {
    pollfd entry{STDERR_FILENO, POLLOUT, 0};
    int ready = -1;
    do ready = ::poll(&entry, 1, 0);
    while (ready < 0 && errno == EINTR);
    return ready != 0;
}

// Returns the number of bytes written, which is less than all if the reader is too slow or gone.
std::size_t writeWithoutBlocking(std::string_view bytes) {
    std::size_t written = 0;
    while (written < bytes.size() && isWritable()) {
        const auto part = bytes.substr(written, PIPE_BUF);
        const auto count = ::write(STDERR_FILENO, part.data(), part.size());
        if (count < 0 && errno == EINTR) continue;
        if (count <= 0) break;
        written += static_cast<std::size_t>(count);
    }
    return written;
}

}  // namespace

void StderrSink::sink_it_(const spdlog::details::log_msg& message) {
    spdlog::memory_buf_t line;
    if (lineIsCut_) line.push_back('\n');
    formatter_->format(message, line);
    const auto written = writeWithoutBlocking({line.data(), line.size()});
    if (written == line.size()) {
        lineIsCut_ = false;
        return;
    }
    ++droppedLines_;
    lineIsCut_ = lineIsCut_ || written > 0;
}

}  // namespace lichenlanding::transport
