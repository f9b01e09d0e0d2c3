// Private keys of those who sign. PEM (PKCS#8) in and out; nothing of a key is ever shown or logged.
// Source: RFC 5958, RFC 7468; schemes as in key.hpp.
#pragma once

#include "metadata/key.hpp"

namespace lichenlanding::metadata {

class SigningKey {
  public:
    static SigningKey generate(
        Scheme scheme);  ///< RSA with 3,072 bits; throws std::runtime_error if OpenSSL can't
    /// Refuses with badKeyId what is no private key of a known kind, or another passphrase's. Empty: none.
    static Result<SigningKey> fromPem(std::string_view pem, const std::string& passphrase = {});
    std::string toPem(const std::string& passphrase = {}) const;  ///< encrypted with AES-256 if there is one

    const Key& key() const { return key_; }  ///< its public half
    std::string sign(std::string_view message) const;

  private:
    explicit SigningKey(RawKey raw) : raw_(std::move(raw)), key_(Key::of(raw_.get())) {}

    std::shared_ptr<EVP_PKEY> raw_;
    Key key_;
};

/// A public key alone, from PEM (SubjectPublicKeyInfo), for roles whose signer is elsewhere.
Result<Key> publicKeyFromPem(std::string_view pem);

}  // namespace lichenlanding::metadata
