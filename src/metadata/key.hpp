// Public keys and what they verify; hashes. OpenSSL does both.
// Source: TUF 1.0, 4.2 (keys, key ids, schemes ed25519, ecdsa-sha2-nistp256, rsassa-pss-sha256); RFC 8032;
// RFC 8017, 8.1 (PSS, SHA-256, MGF1 with SHA-256, any salt length).
#pragma once

#include <openssl/evp.h>

#include <memory>
#include <string>
#include <string_view>

#include "metadata/json.hpp"

namespace lichenlanding::metadata {

struct FreeKey {
    void operator()(EVP_PKEY* held) const { EVP_PKEY_free(held); }
};
using RawKey = std::unique_ptr<EVP_PKEY, FreeKey>;

enum class Scheme { ed25519, ecdsaP256, rsaPss, unknown };
Scheme schemeOf(const EVP_PKEY* key);  ///< unknown: another curve, RSA below 2048 bits, another kind

class Key {
  public:
    /// Refuses with wrongShape what is no key object, and with badKeyId an id that is not the key's own. A
    /// key of a kind not known here is stored, counts for nothing and harms nothing (4.2).
    static Result<Key> read(const std::string& id, const Json& object);
    static Key of(const EVP_PKEY* key);  ///< as this program writes them

    const std::string& id() const { return id_; }
    Scheme scheme() const { return scheme_; }
    const Json& object() const { return object_; }
    /// The same for one key under two ids or two spellings: only distinct keys count towards a threshold.
    const std::string& identity() const { return identity_; }
    bool verifies(std::string_view message, std::string_view signature) const;  ///< raw bytes; no throw

  private:
    std::string id_, identity_;
    Scheme scheme_ = Scheme::unknown;
    Json object_;
    std::shared_ptr<EVP_PKEY> key_;
};

std::string keyId(const Json& object);  ///< hex of SHA-256 over the canonical key object

std::string hex(std::string_view bytes);
std::optional<std::string> parseHex(std::string_view digits);    ///< nothing if these are no whole bytes
std::string digest(std::string_view name, std::string_view of);  ///< "sha256" or "sha512": hex; else empty

}  // namespace lichenlanding::metadata
