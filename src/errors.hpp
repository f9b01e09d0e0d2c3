/// Errors of the gateway's modules. Each says what was attempted, on what, and in which step; what() is the
/// whole as one line for the log.
#pragma once

#include <stdexcept>
#include <string>
#include <utility>

namespace lichenlanding {

/// The common base. Not thrown itself.
struct Error : std::runtime_error {
    Error(const std::string& what, std::string attempted_, std::string subject_, std::string step_)
        : std::runtime_error(what),
          attempted(std::move(attempted_)),
          subject(std::move(subject_)),
          step(std::move(step_)) {}
    std::string attempted;  // such as "read settings"
    std::string subject;    // the field, file or peer that it was attempted on; may be empty
    std::string step;       // of the attempt, such as "sync folder"
};

/// Text or bytes that the program was given (settings, a duration, an address) are not what they must be.
struct ParseError : Error {
    using Error::Error;
};

/// What came from the other end of a connection cannot be trusted: the connection has to end.
struct PeerError : Error {
    using Error::Error;
};

}  // namespace lichenlanding
