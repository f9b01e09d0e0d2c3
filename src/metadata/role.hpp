// The four roles' documents, read into small typed values once, and what a document's signatures are worth.
// Source: TUF 1.0, 4.1 (envelope), 4.3 (root), 4.4 (snapshot), 4.5 (targets, delegations), 4.6 (timestamp);
// TAP 15 (succinct hash bin delegations).
#pragma once

#include <map>
#include <set>
#include <vector>

#include "metadata/delegation_index.hpp"
#include "metadata/key.hpp"

namespace lichenlanding::metadata {

using UnixSeconds = std::int64_t;  ///< metadata's times are dates, whole seconds, UTC

/// "2026-12-01T09:30:00Z", and no other form; nothing if it is none, or no date.
std::optional<UnixSeconds> parseTime(std::string_view text);
std::string formatTime(UnixSeconds time);

/// A role's name can be a file's name once each byte that is not a letter, digit, '.', '_', '-' or '~' is
/// written as %XX; with more than 200 bytes it cannot.
std::string percentEncoded(std::string_view name, bool keepSlash = false);
bool isRoleName(std::string_view name);
bool isTargetName(std::string_view name);  ///< not empty, no control bytes, at most 1,024 bytes

struct Signers {
    std::vector<std::string> keyIds;  ///< distinct
    std::int64_t threshold = 1;       ///< at least 1

    bool operator==(const Signers&) const = default;
};

using Keys = std::map<std::string, Key>;  ///< by id

/// A signed document: what was signed, in canonical form, and the signatures over it.
struct Envelope {
    Json document;  ///< "signed"
    std::string bytes;
    std::map<std::string, std::string> signatures;  ///< raw, by key id
    std::string type;
    std::int64_t version = 0;
    UnixSeconds expires = 0;

    /// `type`: what "_type" must be. Unknown fields stay in the document and are covered by the signatures.
    static Result<Envelope> read(std::string_view text, const std::string& role, const std::string& type,
                                 std::size_t maxBytes);

    /// How many distinct keys of the signers have signed well. Stops once the threshold is reached.
    std::int64_t countSigners(const Keys& keys, const Signers& by) const;
    Check verify(const Keys& keys, const Signers& by, const std::string& role) const;
};

struct FileInfo {
    std::int64_t version = 0;
    std::optional<std::int64_t> length;
    std::map<std::string, std::string> hashes;  ///< hex, by name; may be empty
};

/// Of bytes against a listing: wrongLength, wrongHash, or nothing. A listing whose hashes are all of unknown
/// kinds is refused with wrongHash, since it protects nothing.
Check verifyBytes(std::string_view bytes, const std::optional<std::int64_t>& length,
                  const std::map<std::string, std::string>& hashes, const std::string& role);

struct Root {
    std::int64_t version = 0;
    UnixSeconds expires = 0;
    bool consistent = true;
    Keys keys;
    std::map<std::string, Signers> roles;  ///< the four

    static Result<Root> read(const Envelope& envelope);
};

struct Timestamp {
    std::int64_t version = 0;
    UnixSeconds expires = 0;
    FileInfo snapshot;

    static Result<Timestamp> read(const Envelope& envelope);
};

struct Snapshot {
    std::int64_t version = 0;
    UnixSeconds expires = 0;
    std::map<std::string, FileInfo> files;  ///< by file name, "targets.json"

    static Result<Snapshot> read(const Envelope& envelope);
};

struct Target {
    std::int64_t length = 0;
    std::map<std::string, std::string> hashes;
    Json custom;  ///< null if none
};

/// Where a target lies under the base of a consistent repository: its hash before its file name (TUF 6.2).
std::string locationOf(const std::string& path, const Target& target);

struct Delegation {
    std::string name;
    Signers signers;
    bool terminating = false;
    std::vector<std::string> paths, prefixes;  ///< patterns, or beginnings of the hex of a path's SHA-256
};

/// 2^bits roles, each for the paths whose hash begins with its number (TAP 15).
struct HashBins {
    Signers signers;
    int bits = 0;  ///< 1 to 32
    std::string prefix;

    std::string roleOf(std::string_view pathHash) const;  ///< hex of the path's SHA-256
    bool contains(const std::string& role) const;
};

struct Targets {
    std::int64_t version = 0;
    UnixSeconds expires = 0;
    std::map<std::string, Target> targets;  ///< by path
    Keys keys;                              ///< of the delegations
    std::vector<Delegation> delegations;    ///< in order of priority
    std::map<std::string, std::size_t> byName;
    std::optional<HashBins> bins;
    DelegationIndex index;

    static Result<Targets> read(const Envelope& envelope, const std::string& role);

    /// The roles that may speak of a path, by priority; behind a terminating one no other is named.
    struct Step {
        std::string role;
        bool terminating = false;
    };
    std::vector<Step> rolesFor(const std::string& path) const;
    const Signers* signersOf(const std::string& role) const;  ///< none if it is not delegated to
};

}  // namespace lichenlanding::metadata
