// Public keys, signature verification and hashes, by OpenSSL.
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
    void operator()(EVP_PKEY* key) const { EVP_PKEY_free(key); }
};
using OpenSslKey = std::unique_ptr<EVP_PKEY, FreeKey>;

enum class Scheme { ed25519, ecdsaP256, rsaPss, unknown };
Scheme schemeOf(const EVP_PKEY* key);  ///< unknown for other curves or types, and RSA below 2048 bits

class Key {
  public:
    /// Refuses with wrongShape what is not a key object, and with badKeyId an id that is not the key's hash.
    /// A key of an unsupported type is kept, but verifies no signature (4.2).
    static Result<Key> read(const std::string& id, const Json& object);
    static Key of(const EVP_PKEY* key);  ///< the key object as this program writes it

    const std::string& id() const { return id_; }
    Scheme scheme() const { return scheme_; }
    const Json& object() const { return object_; }
    /// Equal for the same key under two ids or encodings: only distinct keys count towards a threshold.
    const std::string& identity() const { return identity_; }
    bool verifies(std::string_view message,
                  std::string_view signature) const;  ///< raw signature bytes; does not throw

  private:
    std::string id_, identity_;
    Scheme scheme_ = Scheme::unknown;
    Json object_;
    std::shared_ptr<EVP_PKEY> key_;
};

std::string keyId(const Json& object);  ///< hex SHA-256 of the canonical key object

std::string hex(std::string_view bytes);
std::optional<std::string> parseHex(std::string_view digits);  ///< empty if this is not hex of whole bytes
std::string digest(std::string_view name,
                   std::string_view bytes);  ///< hex; empty unless name is "sha256" or "sha512"

}  // namespace lichenlanding::metadata
