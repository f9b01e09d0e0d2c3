// The simulator's line protocol: lines of tab-separated fields, read in order, and the formats of replies.
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

/// Reads the fields of one line in order. Every call reads the next field. It throws ParseError, which names
/// `field`, if there is none or if its format or range is invalid.
class LineReader {
  public:
    /// `text` must outlive the reader.
    explicit LineReader(std::string_view text);

    std::string_view messageName() const { return messageName_; }
    std::string_view string(const char* field);
    std::int64_t integer(const char* field, std::int64_t min, std::int64_t max);
    double number(const char* field);
    /// A time that is sent in milliseconds.
    Nanos time(const char* field);
    std::uint64_t seed(const char* field);
    bool boolean(const char* field);  ///< 0 or 1
    /// The value `name` of a load report ("name:1,other:2"); negative if the report does not contain it.
    double loadValue(const char* field, std::string_view name);
    /// Bytes in hexadecimal digits; "-" for no bytes.
    std::string bytes(const char* field);
    /// All remaining fields.
    std::vector<std::string_view> remainingFields();

    /// Optional fields: `fallback` is returned for "-".
    std::int64_t integerOr(std::int64_t fallback, const char* field, std::int64_t min, std::int64_t max);
    double numberOr(double fallback, const char* field);
    Nanos timeOr(Nanos fallback, const char* field);
    std::string_view stringOr(std::string_view fallback, const char* field);

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
/// Reads "name=value" fields; other fields are ignored.
NamedValues readNamedValues(const std::vector<std::string_view>& fields);

/// Hexadecimal digits; "-" for no bytes.
std::string formatHex(std::string_view bytes);
/// Milliseconds with three decimals.
std::string formatMillis(Nanos span);

}  // namespace lichenlanding::adapter
