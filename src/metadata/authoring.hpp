// Making and changing documents: what the tool for repositories does, without its files, and what tests put
// their stand-in repositories together with. Each change works on an envelope; a changed document has one
// version more and no signatures, and goes through sign() again.
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
std::string textOf(const Json& envelope);      ///< as it is published

/// One version more, without signatures.
void bumpVersion(Json& envelope, UnixSeconds expires);
void sign(Json& envelope, const SigningKey& key);  ///< in place of an earlier signature of that key

/// Keys of a role, in a root; a key that no role has any more goes with it. Adding one that is there changes
/// nothing. The threshold stays, unless one is given; refuses with wrongShape a role that could never be
/// signed.
Check addKey(Json& root, const std::string& role, const Key& key);
Check removeKey(Json& root, const std::string& role, const std::string& keyId);
Check setThreshold(Json& root, const std::string& role, std::int64_t threshold);

/// Refuses with badName.
Check addTarget(Json& targets, const std::string& path, std::string_view bytes, const Json& custom = {});
bool removeTarget(Json& targets, const std::string& path);

/// Appended behind those there are, or in place of the one of the same name.
Check delegate(Json& targets, const Delegation& to, const std::vector<Key>& keys);
Check delegateBins(Json& targets, const HashBins& to, const std::vector<Key>& keys);
bool revoke(Json& targets, const std::string& role);

/// What a snapshot or a timestamp says of a file.
Json listingOf(std::int64_t version, std::string_view bytes, bool hashed);
void addListing(Json& snapshot, const std::string& fileName, const Json& listing);

/// Whether a document is signed by its role's threshold, for the tool to tell before it publishes.
Check verifySignedBy(const Json& envelope, const std::string& role, const std::string& type, const Keys& keys,
                     const Signers& signers);

}  // namespace lichenlanding::metadata
