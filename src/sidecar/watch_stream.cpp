#include "sidecar/watch_stream.hpp"

#include <algorithm>

namespace lichenlanding::net {
namespace {

constexpr std::size_t longestLine = 8 * 1024 * 1024;  // a list of tens of thousands of pods

}  // namespace

Stream::Stream(Loop& loop, const Address& address, Kind kind, Nanos connectWithin, Nanos silence,
               limits::Reopening reopening, Path path, Each each)
    : loop_(loop),
      address_(address),
      kind_(kind),
      connectWithin_(connectWithin),
      silence_(silence),
      reopening_(reopening),
      path_(std::move(path)),
      each_(std::move(each)),
      silent_(loop,
              [this] {
                  again("silent");
                  reopen_.in(reopening_.soon());  // the silence has spaced them out, but for the fleet
              }),
      reopen_(loop, [this] { open(); }) {}

void Stream::start(bool atOnce) {
    if (const auto wait = atOnce ? 0 : reopening_.soon(); wait > 0) reopen_.in(wait);
    else open();
}

void Stream::open() {
    partial_.clear();
    connection_ = std::make_shared<Connection>(loop_, address_, SIZE_MAX >> 1);
    silent_.in(silence_);
    connection_->call(
        {EVHTTP_REQ_GET, path_(), {{"Host", address_.text()}}, {}}, connectWithin_, 0,
        [this](const Return& back) { ended(back); },
        [this](std::string_view bytes) {
            // What comes with a refusal is no line, nor is what comes behind a line that could not be read.
            if (connection_ && connection_->code() == 200) came(bytes);
        });
}

void Stream::move(const Address& address) {
    again("its address is another");
    address_ = address;
    reopening_.stood();
    reopen_.stop();
    open();
}

// An answer that has come whole ends its last line, too.
void Stream::ended(const Return& back) {
    if (back.ending == Ending::answered && !partial_.empty()) came("\n");
    if (connection_) again(nameOf(back.ending), back.retryAfter);
}

void Stream::came(std::string_view bytes) {
    silent_.in(silence_);
    partial_ += bytes;
    if (partial_.size() > longestLine) return again("a line is too long");
    if (bytes.find('\n') == bytes.npos) return;
    const auto end = partial_.rfind('\n');
    std::string lines(partial_, 0, end + 1);
    partial_.erase(0, end + 1);
    for (std::size_t from = 0; from < lines.size();) {
        const auto to = lines.find('\n', from);
        const auto line = std::string_view(lines).substr(from, to - from);
        from = to + 1;
        if (line.empty() || line == "\r") continue;
        if (!each_(line)) return again("a line cannot be read");
    }
    reopening_.stood();
    if (!std::exchange(up_, true)) log(kind_, "watch on " + address_.text() + " stands");
}

void Stream::again(const char* why, Nanos retryAfter) {
    if (std::exchange(up_, false) || std::exchange(told_, false))
        log(kind_, "watch on " + address_.text() + " lost: " + why);
    silent_.stop();
    if (connection_) {
        connection_->abandon();
        loop_.bury(std::exchange(connection_, nullptr));
    }
    reopen_.in(reopening_.next(retryAfter));
}

}  // namespace lichenlanding::net
