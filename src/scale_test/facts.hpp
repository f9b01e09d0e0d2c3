/// Protocol between a run and its child processes of simulated proxies. The children write JSON lines to
/// standard error, each with "fact" (one of these names) and "ns" (steady clock in nanoseconds, which all
/// processes share). Both sides are the same executable, so that the format needs no versioning.
#pragma once

namespace lichenlanding::scale_test::facts {

/// Proxy "name" became ready.
inline constexpr const char* kReady = "ready";
/// Proxy "name" applied the configuration "version".
inline constexpr const char* kConfiguration = "configuration";
/// Proxy "name" knows that the endpoint "id" is draining or removed.
inline constexpr const char* kEndpoint = "endpoint";
/// Proxy "name" opened or closed ("open") its connection to the control node "to".
inline constexpr const char* kConnection = "connection";
/// Numbers of messages that the process received ("heard") and "sent".
inline constexpr const char* kMessageCounts = "tally";

/// Command on a child's standard input, followed by the name of the proxy to restart.
inline constexpr const char* kRestartCommand = "restart";

}  // namespace lichenlanding::scale_test::facts
