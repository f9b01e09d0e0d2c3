// Why metadata, a file or a directory was not accepted: one typed reason, with the role and version it
// concerns. Nothing in this module throws for bad input; what is refused has changed nothing.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>

namespace lichenlanding::metadata {

/// Sections are those of the TUF specification 1.0 unless another is named.
enum class Reason {
    tooLong,       ///< more bytes than the bound or the listed length (5.3.3, 5.4.1, 5.5.1, 5.6.1)
    unreadable,    ///< no JSON: syntax, UTF-8, a member twice, a fraction, too deep, a number beyond 64 bits
    wrongShape,    ///< a field is missing, of another type, or out of its range (4.2 to 4.6)
    wrongType,     ///< "_type" is another role's
    wrongSpec,     ///< "spec_version" is of another major version
    badName,       ///< a role or target name that cannot be one
    badKeyId,      ///< a key under an id that is not its own (4.2)
    repeatedKey,   ///< two signatures, or two entries of a role, under one key id
    unsigned_,     ///< fewer good signatures of distinct keys than the threshold
    rollback,      ///< a version lower than the trusted one (5.3.5, 5.4.3, 5.5.5)
    wrongVersion,  ///< another version than asked for or listed (5.3.5, 5.5.4, 5.6.4)
    wrongLength,   ///< another length than listed
    wrongHash,     ///< another hash than listed (5.5.2, 5.6.2, 5.7.3)
    expired,       ///< its time is over at the update's fixed start (5.3.10, 5.4.4, 5.5.6, 5.6.5)
    vanished,      ///< a role that a snapshot listed is missing from the next (5.5.5)
    notListed,     ///< a role that the snapshot or its parent does not list
    wrongOrder,    ///< the roles before it are not trusted yet
    tooMany,       ///< roots in one update, or delegations visited in one search (5.3.3, 5.6.7)
    unavailable,   ///< no mirror had it
    notFound,      ///< no trusted role lists the target (5.7.1)
    disagrees,     ///< the director's and the image repository's word differ (Uptane 2, 5.4.4.4)
    wrongUnit,     ///< for another unit or hardware (Uptane 2, 5.4.4.2)
    busy,          ///< another process has the directory
    folder,        ///< the directory cannot be read or written
    count
};

const char* nameOf(Reason reason);  ///< one word a reason, stable: logs, exit lines and the operators' page

struct Refusal {
    Reason reason = Reason::wrongShape;
    std::string role;  ///< "root", "timestamp", ..., or a delegated role's or target's name; may be empty
    std::int64_t version = 0;  ///< that was offered; 0 if none could be read
    std::string detail;        ///< for an operator; escaped, at most 200 bytes

    std::string text() const;  ///< "role: reason (version N): detail", in one line
};

using Check = std::optional<Refusal>;  ///< nothing: accepted

/// A value or the reason why there is none.
template <typename T>
class Result {
  public:
    Result(T value) : held_(std::move(value)) {}
    Result(Refusal refusal) : held_(std::move(refusal)) {}

    explicit operator bool() const { return held_.index() == 0; }
    T& operator*() { return std::get<0>(held_); }
    const T& operator*() const { return std::get<0>(held_); }
    T* operator->() { return &std::get<0>(held_); }
    const T* operator->() const { return &std::get<0>(held_); }
    const Refusal& refusal() const { return std::get<1>(held_); }

  private:
    std::variant<T, Refusal> held_;
};

/// Text from outside, made safe for a log line: control bytes and what is no ASCII as \xNN, cut to a length.
std::string escaped(std::string_view text, std::size_t maxBytes = 200);

}  // namespace lichenlanding::metadata
