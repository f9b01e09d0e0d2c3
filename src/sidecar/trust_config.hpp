// The configuration file that enables signed metadata: JSON, with comments. docs/operate/metadata.md shows a
// complete one.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "metadata/mirror_selection.hpp"
#include "metadata/trusted_set.hpp"
#include "sidecar/http_fetch.hpp"

namespace lichenlanding::sidecar {

struct MirrorUrl {
    Url url;
    bool draining = false;  ///< no new requests are sent to it
};

struct TrustConfig {
    struct Director {
        std::string rootFile;
        std::vector<MirrorUrl> metadata;
    };

    std::string rootFile;   ///< path of the shipped root
    std::string directory;  ///< of the store; empty: trust is kept in memory only
    std::vector<MirrorUrl> metadata, targets;
    std::string buildPathPattern;  ///< of the targets, such as "releases/{build}"
    metadata::RefreshSchedule::Intervals refreshIntervals;
    metadata::Sizes sizes = metadata::Sizes::small();  ///< size limits of documents
    bool verifyOnWorker = true;                        ///< verify on a WorkerThread
    metadata::FetchTimeouts timeouts;
    std::optional<Address> serveAddress;  ///< serve as a mirror for others
    std::size_t maxServeConnections = 64, serveCacheBytes = 32U << 20;
    std::optional<Director> director;
};

/// Throws std::invalid_argument with one line that names file and field: "FILE: metadata.0.url: ...".
TrustConfig readTrustConfig(const std::string& path);
/// Reads the same file again. If that fails, logs the reason and returns nullopt.
std::optional<TrustConfig> reloadTrustConfig(const std::string& path);

}  // namespace lichenlanding::sidecar
