// Creates and changes documents in memory, for the repository tool and for the simulated repositories of
// tests. The functions work on an envelope. After a change, bumpVersion() and sign() make a new version.
// Source: TUF 1.0, 4.2 to 4.6, 6.1 (key rotation); TAP 15.
#pragma once

#include "metadata/role.hpp"
#include "metadata/signing_key.hpp"

namespace lichenlanding::metadata {

constexpr const char* kSpecVersion = "1.0.31";

/// A new document of version 1, unsigned.
Json newRoot(UnixSeconds expires, bool consistent);
Json newTargets(UnixSeconds expires);
Json newSnapshot(UnixSeconds expires);
Json newTimestamp(UnixSeconds expires);

Json& documentOf(Json& envelope);              ///< "signed"
std::int64_t versionOf(const Json& envelope);  ///< 0 if it has none
std::string textOf(const Json& envelope);      ///< the published form

/// Increments the version and removes the signatures.
void bumpVersion(Json& envelope, UnixSeconds expires);
void sign(Json& envelope, const SigningKey& key);  ///< replaces an earlier signature by the same key

/// Keys of a role in a root document. Adding a key again changes nothing; a removed key that no other role
/// uses is deleted. The threshold changes by setThreshold() alone, which refuses with wrongShape a threshold
/// above the number of keys.
Check addKey(Json& root, const std::string& role, const Key& key);
Check removeKey(Json& root, const std::string& role, const std::string& keyId);
Check setThreshold(Json& root, const std::string& role, std::int64_t threshold);

/// Refuses an invalid path with badName.
Check addTarget(Json& targets, const std::string& path, std::string_view bytes, const Json& custom = {});
bool removeTarget(Json& targets, const std::string& path);

/// Appends a delegation, or replaces the one of the same name.
Check delegate(Json& targets, const Delegation& to, const std::vector<Key>& keys);
Check delegateBins(Json& targets, const HashBins& to, const std::vector<Key>& keys);
bool revoke(Json& targets, const std::string& role);

/// Entry of a file in a snapshot or timestamp; with length and hash if `hashed`.
Json listingOf(std::int64_t version, std::string_view bytes, bool hashed);
void addListing(Json& snapshot, const std::string& fileName, const Json& listing);

/// Verifies that a document has enough signatures for its role, before the tool publishes it.
Check verifySignedBy(const Json& envelope, const std::string& role, const std::string& type, const Keys& keys,
                     const Signers& signers);

}  // namespace lichenlanding::metadata
