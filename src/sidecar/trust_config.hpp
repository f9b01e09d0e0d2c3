// The file that switches signed metadata on: JSON, with comments. docs/operate/metadata.md shows a full one.
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
    bool draining = false;  ///< nothing new is requested from it
};

struct TrustConfig {
    struct Director {
        std::string root;
        std::vector<MirrorUrl> metadata;
    };

    std::string root;       ///< file of the shipped root
    std::string directory;  ///< of the store; empty: no disk lasts
    std::vector<MirrorUrl> metadata, targets;
    std::string builds;  ///< "releases/{build}"
    metadata::RefreshSchedule::Intervals rhythm;
    metadata::SizeLimits sizes = metadata::SizeLimits::small();  ///< limits of documents
    bool thread = true;                                          ///< verify on a WorkerThread
    metadata::FetchTimeouts timeouts;
    std::optional<Address> serve;  ///< as a mirror for others
    std::size_t serveConnections = 64, serveBytes = 32U << 20;
    std::optional<Director> director;
};

/// Throws std::invalid_argument with one line that names the field: "FILE: metadata.0.url: ...".
TrustConfig readTrustConfig(const std::string& path);
/// The same file again; nothing, and a log line, if it cannot be read.
std::optional<TrustConfig> reloadTrustConfig(const std::string& path);

}  // namespace lichenlanding::sidecar
