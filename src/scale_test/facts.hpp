/// What hollow processes tell the run that started them: JSON lines on standard error, each with "fact" (one
/// of these words) and "ns" (steady nanoseconds, which all processes share). Both sides are one program.
#pragma once

namespace lichenlanding::scale_test::facts {

inline constexpr const char* kReady = "ready";                  ///< of a proxy ("name")
inline constexpr const char* kConfiguration = "configuration";  ///< "name" holds "version"
inline constexpr const char* kEndpoint = "endpoint";            ///< "name" knows that "id" drains or is gone
inline constexpr const char* kConnection = "connection";  ///< of "name" "to" a control node, "open" or not
inline constexpr const char* kTally = "tally";            ///< messages "heard" and "sent" by the process

/// The order that a hollow process takes on standard input, with the name of a proxy behind it.
inline constexpr const char* kRestartOrder = "restart";

}  // namespace lichenlanding::scale_test::facts
