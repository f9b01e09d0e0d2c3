// Lines of the simulator's wire: fields separated by tabs, read in order, and the formats of replies.
#pragma once

#include <limits>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "settings.hpp"

namespace lichenlanding::adapter {

/// A line that cannot be parsed; what() names the message and the field.
struct ParseError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// A cursor over the fields of one line. Every reader takes the next field and throws ParseError, naming
/// `field`, if there is none or it is not in the format or range.
class LineReader {
  public:
    /// `text` must outlive the reader.
    explicit LineReader(std::string_view text);

    std::string_view messageName() const { return messageName_; }
    std::string_view word(const char* field);
    std::int64_t integer(const char* field, std::int64_t least, std::int64_t most);
    double number(const char* field);
    /// Milliseconds on the wire.
    Nanos time(const char* field);
    std::uint64_t seed(const char* field);
    bool boolean(const char* field);  ///< 0 or 1
    /// The figure `name` of a load report ("name:1,other:2"); below 0 if the report has none.
    double loadFigure(const char* field, std::string_view name);
    /// Hexadecimal digits, or "-" for none.
    std::string bytes(const char* field);
    /// All fields that are left.
    std::vector<std::string_view> rest();

    /// Fields that may be absent, which is a "-": `otherwise` is returned then.
    std::int64_t integerOr(std::int64_t otherwise, const char* field, std::int64_t least, std::int64_t most);
    double numberOr(double otherwise, const char* field);
    Nanos timeOr(Nanos otherwise, const char* field);
    std::string_view wordOr(std::string_view otherwise, const char* field);

    [[noreturn]] void fail(const char* field) const;

  private:
    bool skipAbsent();

    std::string_view messageName_;
    std::vector<std::string_view> fields_;
    std::size_t next_ = 0;
};

/// One row of an endpoint ledger.
struct EndpointRow {
    int build = 0;
    std::uint32_t pod = 0;
    std::string zone;
    int cell = -1;
    Availability availability = Availability::up;
    Nanos startedAt = std::numeric_limits<Nanos>::min() / 4;
};

/// Throws ParseError, as readOutcome() does.
EndpointRow readEndpointRow(LineReader& line);
Outcome readOutcome(LineReader& line, const char* field);
/// From "name=value" fields; others are skipped.
NamedValues readNamedValues(const std::vector<std::string_view>& fields);

/// Hexadecimal digits; "-" for none.
std::string formatHex(std::string_view bytes);
/// Milliseconds with three decimals.
std::string formatMillis(Nanos span);

}  // namespace lichenlanding::adapter
