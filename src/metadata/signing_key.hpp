// Private signing keys, read and written as PEM (PKCS#8). Key material is never printed or logged.
// Source: RFC 5958, RFC 7468; schemes as in key.hpp.
#pragma once

#include "metadata/key.hpp"

namespace lichenlanding::metadata {

class SigningKey {
  public:
    /// RSA keys have 3,072 bits. Throws std::runtime_error if OpenSSL fails.
    static SigningKey generate(Scheme scheme);
    /// Refuses with badKeyId if this is not a private key of a supported type, or the passphrase is wrong. An
    /// empty passphrase means that the key is not encrypted.
    static Result<SigningKey> fromPem(std::string_view pem, const std::string& passphrase = {});
    std::string toPem(
        const std::string& passphrase = {}) const;  ///< encrypted with AES-256 if the passphrase is not empty

    const Key& key() const { return key_; }  ///< the public key
    std::string sign(std::string_view message) const;

  private:
    explicit SigningKey(OpenSslKey raw) : raw_(std::move(raw)), key_(Key::of(raw_.get())) {}

    std::shared_ptr<EVP_PKEY> raw_;
    Key key_;
};

/// Reads a public key from PEM (SubjectPublicKeyInfo), for roles whose private key is held elsewhere.
Result<Key> publicKeyFromPem(std::string_view pem);

}  // namespace lichenlanding::metadata
