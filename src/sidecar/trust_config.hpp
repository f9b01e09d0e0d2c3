// The file that switches signed metadata on: JSON, comments allowed. docs/operate/metadata.md shows one
// whole.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "metadata/mirrors.hpp"
#include "metadata/trusted_set.hpp"
#include "sidecar/http_fetch.hpp"

namespace lichenlanding::net {

struct MirrorUrl {
    Url url;
    bool draining = false;  // by the operator's word: nothing new is asked of it
};

struct TrustConfig {
    std::string root;    // file of the shipped root
    std::string folder;  // that keeps what is trusted; empty: no disk lasts
    std::vector<MirrorUrl> metadata, targets;
    std::string builds;                                // "releases/{build}"
    metadata::Rhythm::Figures rhythm;                  // "refreshMs"
    metadata::Sizes sizes = metadata::Sizes::small();  // "documentMegabytes", of a snapshot or targets
    bool thread = true;                                // verify beside the loop
    metadata::Patience patience;                       // "answerMs"
    std::optional<Address> serve;                      // as a mirror to others
    std::size_t serveConnections = 64, serveBytes = 32u << 20;
    struct Director {
        std::string root;
        std::vector<MirrorUrl> metadata;
    };
    std::optional<Director> director;
};

// Throws std::invalid_argument with one line that names the field: "FILE: metadata.0.url: ...".
TrustConfig readTrustConfig(const std::string& path);
// The same file again, after a change; nothing, and one log line, if it cannot be read.
std::optional<TrustConfig> trustConfigAgain(const std::string& path);

}  // namespace lichenlanding::net
