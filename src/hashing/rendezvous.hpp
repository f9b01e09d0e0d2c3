/// Assigns tasks to processes by rendezvous hashing: which proxies vote on a version, the order of candidates
/// for a lease, which peers a proxy watches. Pure; thread-safe.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lichenlanding::hashing {

/// A hash that is the same on every machine, in every run and in every version of the software: processes
/// agree on it without messages.
std::uint64_t hash(std::string_view key, std::string_view name);

/// The `count` names with the lowest hash for `key`, lowest first; all names if there are fewer.
std::vector<std::string> rendezvousSelect(const std::vector<std::string>& names, std::string_view key,
                                          std::size_t count);

/// The peers among `names` that `self` watches. The result depends only on the names, and changes by at most
/// one peer if a name is added or removed.
std::vector<std::string> watchedPeers(std::vector<std::string> names, const std::string& self);

}  // namespace lichenlanding::hashing
