// Why metadata, a file or a directory was refused: a typed reason with the role and version concerned.
// Functions of this module do not throw for invalid input, and a refused input changes no state.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>

namespace lichenlanding::metadata {

/// Section numbers refer to the TUF specification 1.0 unless another one is named.
enum class Reason {
    tooLong,       ///< longer than the limit or the listed length (5.3.3, 5.4.1, 5.5.1, 5.6.1)
    unreadable,    ///< not valid JSON, or a duplicate member, fraction, deep nesting or integer over 64 bits
    wrongShape,    ///< a field is missing, of another type, or out of its range (4.2 to 4.6)
    wrongType,     ///< "_type" is that of another role
    wrongSpec,     ///< "spec_version" has an unsupported major version
    badName,       ///< invalid name of a role or target
    badKeyId,      ///< the key id is not the hash of the key (4.2)
    repeatedKey,   ///< two signatures, or two entries of a role, with the same key id
    unsigned_,     ///< fewer valid signatures by distinct keys than the threshold
    rollback,      ///< a version lower than the trusted one (5.3.5, 5.4.3, 5.5.5)
    wrongVersion,  ///< not the requested or listed version (5.3.5, 5.5.4, 5.6.4)
    wrongLength,   ///< not the listed length
    wrongHash,     ///< not the listed hash (5.5.2, 5.6.2, 5.7.3)
    expired,       ///< expired at the fixed start time of the update (5.3.10, 5.4.4, 5.5.6, 5.6.5)
    vanished,      ///< a role of the trusted snapshot is missing in the new one (5.5.5)
    notListed,     ///< a role that the snapshot or its parent does not list
    wrongOrder,    ///< a role that must be loaded first is missing, or a later one is trusted already
    tooMany,       ///< too many keys, signatures, or delegations visited in one search (5.3.3, 5.6.7)
    unavailable,   ///< no mirror provides it
    notFound,      ///< no trusted role lists the target (5.7.1)
    disagrees,     ///< director and image repository differ (Uptane 2, 5.4.4.4)
    wrongUnit,     ///< the directive is for another unit or hardware (Uptane 2, 5.4.4.2)
    busy,          ///< another process uses the directory
    folder,        ///< the directory cannot be read or written
    count
};

const char* nameOf(Reason reason);  ///< stable name, used in logs, error output and the operators' manual

struct Refusal {
    Reason reason = Reason::wrongShape;
    std::string role;  ///< "root", "timestamp", ..., or a delegated role's or target's name; may be empty
    std::int64_t version = 0;  ///< version of the refused document; 0 if unknown
    std::string detail;        ///< for operators; escaped, at most 200 bytes

    std::string text() const;  ///< one line: "role: reason (version N): detail"
};

using Check = std::optional<Refusal>;  ///< empty if the input was accepted

/// A value, or the refusal if there is none.
template <typename T>
class Result {
  public:
    Result(T value) : value_(std::move(value)) {}
    Result(Refusal refusal) : value_(std::move(refusal)) {}

    explicit operator bool() const { return value_.index() == 0; }
    T& operator*() { return std::get<0>(value_); }
    const T& operator*() const { return std::get<0>(value_); }
    T* operator->() { return &std::get<0>(value_); }
    const T* operator->() const { return &std::get<0>(value_); }
    const Refusal& refusal() const { return std::get<1>(value_); }

  private:
    std::variant<T, Refusal> value_;
};

/// Makes untrusted text safe for a log line: writes bytes that are not printable ASCII as \xNN and truncates.
std::string escaped(std::string_view text, std::size_t maxBytes = 200);

}  // namespace lichenlanding::metadata
