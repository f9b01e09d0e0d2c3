/// Which processes of the gateway have a task, by rendezvous hashing: who votes on a version, who has a
/// lease, who watches whom. Pure; any thread.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lichenlanding::hashing {

/// The same on every machine, in every run and in every version: processes agree by it without a message.
std::uint64_t hash(std::string_view about, std::string_view name);

/// The `count` names of lowest hash for `about`, lowest first; all if there are no more.
std::vector<std::string> rendezvousSelect(const std::vector<std::string>& names, std::string_view about,
                                          std::size_t count);

/// Those of `names` that `me` watches: the same on every machine that knows the same names, and changed by
/// one at most when one comes or goes.
std::vector<std::string> watchedPeers(std::vector<std::string> names, const std::string& me);

}  // namespace lichenlanding::hashing
