// Typed representations of the documents of the four top-level roles and delegated targets roles, and the
// verification of signatures.
// Source: TUF 1.0, 4.1 (envelope), 4.3 (root), 4.4 (snapshot), 4.5 (targets, delegations), 4.6 (timestamp);
// TAP 15 (succinct hash bin delegations).
#pragma once

#include <map>
#include <set>
#include <vector>

#include "metadata/delegation_index.hpp"
#include "metadata/key.hpp"

namespace lichenlanding::metadata {

using UnixSeconds = std::int64_t;  ///< metadata times are in whole seconds, UTC

/// Parses a time of the form "2026-12-01T09:30:00Z". Empty for any other form or an invalid date.
std::optional<UnixSeconds> parseTime(std::string_view text);
std::string formatTime(UnixSeconds time);

/// Makes a role name usable as a file name: bytes other than letters, digits, '.', '_', '-' and '~' become
/// %XX.
std::string percentEncoded(std::string_view name, bool keepSlash = false);
bool isRoleName(std::string_view name);    ///< not empty, no control bytes, at most 200 bytes when encoded
bool isTargetName(std::string_view name);  ///< not empty, no control bytes, at most 1,024 bytes

/// The keys that may sign for a role, and how many of them must.
struct Signers {
    std::vector<std::string> keyIds;  ///< distinct
    std::int64_t threshold = 1;       ///< at least 1

    bool operator==(const Signers&) const = default;
};

using Keys = std::map<std::string, Key>;  ///< by id

/// A signed document: the signed part, its canonical form, and the signatures over it.
struct Envelope {
    Json document;                                  ///< "signed"
    std::string bytes;                              ///< canonical form of the document
    std::map<std::string, std::string> signatures;  ///< raw, by key id
    std::string type;
    std::int64_t version = 0;
    UnixSeconds expires = 0;

    /// `type`: expected "_type". Unknown fields stay in the document and are covered by the signatures.
    static Result<Envelope> read(std::string_view text, const std::string& role, const std::string& type,
                                 std::size_t maxBytes);

    /// Number of distinct keys with a valid signature. Stops counting once the threshold is reached.
    std::int64_t countSigners(const Keys& keys, const Signers& signers) const;
    Check verify(const Keys& keys, const Signers& signers, const std::string& role) const;
};

/// A metadata file as listed by a snapshot or timestamp.
struct FileInfo {
    std::int64_t version = 0;
    std::optional<std::int64_t> length;
    std::map<std::string, std::string> hashes;  ///< hex, by algorithm; may be empty
};

/// Verifies bytes against the listed length and hashes; refuses with wrongLength or wrongHash. A listing with
/// hashes of unsupported algorithms only is refused with wrongHash, since it protects nothing.
Check verifyBytes(std::string_view bytes, const std::optional<std::int64_t>& length,
                  const std::map<std::string, std::string>& hashes, const std::string& role);

struct Root {
    std::int64_t version = 0;
    UnixSeconds expires = 0;
    bool consistent = true;
    Keys keys;
    std::map<std::string, Signers> roles;  ///< the four top-level roles

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
    std::map<std::string, FileInfo> files;  ///< by file name, e.g. "targets.json"

    static Result<Snapshot> read(const Envelope& envelope);
};

struct Target {
    std::int64_t length = 0;
    std::map<std::string, std::string> hashes;
    Json custom;  ///< null if none
};

/// Path of a target under the base URL of a consistent repository: the hash precedes the file name (TUF 6.2).
std::string locationOf(const std::string& path, const Target& target);

struct Delegation {
    std::string name;
    Signers signers;
    bool terminating = false;
    std::vector<std::string> paths, prefixes;  ///< path patterns, or prefixes of the hex SHA-256 of a path
};

/// 2^bits delegated roles, each for the paths whose hash begins with the role's number (TAP 15).
struct HashBins {
    Signers signers;
    int bits = 0;        ///< 1 to 32
    std::string prefix;  ///< of the role names

    std::string roleOf(std::string_view pathHash) const;  ///< pathHash: hex SHA-256 of the path
    bool contains(const std::string& role) const;
};

struct Targets {
    std::int64_t version = 0;
    UnixSeconds expires = 0;
    std::map<std::string, Target> targets;      ///< by path
    Keys keys;                                  ///< of the delegated roles
    std::vector<Delegation> delegations;        ///< in order of priority
    std::map<std::string, std::size_t> byName;  ///< index in delegations
    std::optional<HashBins> bins;
    DelegationIndex index;

    static Result<Targets> read(const Envelope& envelope, const std::string& role);

    /// The delegated roles to search for a path, by priority, up to the first terminating one.
    struct Step {
        std::string role;
        bool terminating = false;
    };
    std::vector<Step> rolesFor(const std::string& path) const;
    const Signers* signersOf(const std::string& role) const;  ///< null if the role is not delegated to
};

}  // namespace lichenlanding::metadata
