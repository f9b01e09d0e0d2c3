// Lines of the wire: cutting them up and reading values, and the pairs of a HELLO.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "settings.hpp"

namespace lichenlanding::wire {

// A line that cannot be read; what() names the message and the field.
struct Unreadable : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// The parts of one line, read in order, each under the name it has on the wire page.
class Line {
  public:
    explicit Line(std::string_view text);

    std::string_view name() const { return name_; }
    std::string_view word(const char* field);
    bool absent() const { return parts_.size() > next_ && parts_[next_] == "-"; }
    std::int64_t integer(const char* field, std::int64_t least, std::int64_t most);
    double number(const char* field);
    Nanos time(const char* field);  // milliseconds on the wire
    std::uint64_t seed(const char* field);
    bool truth(const char* field);
    double report(const char* field, std::string_view value);  // of a load report; below 0 if not in it
    std::string bytes(const char* field);                      // hex digits
    std::vector<std::string_view> rest();
    [[noreturn]] void fail(const char* field) const;

  private:
    std::string_view name_;
    std::vector<std::string_view> parts_;
    std::size_t next_ = 0;
};

struct Row {
    int build = 0;
    std::uint32_t pod = 0;
    std::string zone;
    int cell = -1;
    Availability availability = Availability::up;
    Nanos started = std::numeric_limits<Nanos>::min() / 4;
};

Row readRow(Line& line);
Outcome readOutcome(Line& line, const char* field);
NamedValues readPairs(const std::vector<std::string_view>& pairs);

std::string hex(std::string_view bytes);
std::string millis(Nanos span);

}  // namespace lichenlanding::wire
