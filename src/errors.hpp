/// Errors of the gateway's modules. Each holds the failed operation, its subject and the step in which it
/// failed; what() combines them in one line for the log.
#pragma once

#include <stdexcept>
#include <string>
#include <utility>

namespace lichenlanding {

/// Common base class; not thrown itself.
struct Error : std::runtime_error {
    Error(const std::string& what, std::string operation_, std::string subject_, std::string step_)
        : std::runtime_error(what),
          operation(std::move(operation_)),
          subject(std::move(subject_)),
          step(std::move(step_)) {}
    std::string operation;  // such as "read settings"
    std::string subject;    // the field, file or peer concerned; may be empty
    std::string step;       // of the operation, such as "sync folder"
};

/// Invalid input, as text or bytes: settings, a duration, an address.
struct ParseError : Error {
    using Error::Error;
};

/// Invalid data from the peer of a connection, which has to be closed.
struct PeerError : Error {
    using Error::Error;
};

}  // namespace lichenlanding
