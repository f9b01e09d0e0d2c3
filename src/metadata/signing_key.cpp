#include "metadata/signing_key.hpp"

#include <openssl/bio.h>
#include <openssl/ec.h>
#include <openssl/err.h>
#include <openssl/pem.h>
#include <openssl/rsa.h>

#include <stdexcept>

namespace lichenlanding::metadata {
namespace {

struct FreeBio {
    void operator()(BIO* bio) const { BIO_free(bio); }
};
struct FreeContext {
    void operator()(EVP_MD_CTX* context) const { EVP_MD_CTX_free(context); }
};

constexpr unsigned kRsaBits = 3072;

// Passphrase callback. Without it OpenSSL would prompt on the terminal; an empty passphrase refuses encrypted
// keys.
int copyPassphrase(char* into, int size, int /*unused*/, void* passphrase) {
    const auto& text = *static_cast<const std::string*>(passphrase);
    if (text.empty() || static_cast<int>(text.size()) > size) return -1;
    std::copy(text.begin(), text.end(), into);
    return static_cast<int>(text.size());
}

}  // namespace

SigningKey SigningKey::generate(Scheme scheme) {
    OpenSslKey key(scheme == Scheme::ed25519     ? EVP_PKEY_Q_keygen(nullptr, nullptr, "ED25519")
                   : scheme == Scheme::ecdsaP256 ? EVP_PKEY_Q_keygen(nullptr, nullptr, "EC", "P-256")
                   : scheme == Scheme::rsaPss
                       ? EVP_PKEY_Q_keygen(nullptr, nullptr, "RSA", static_cast<std::size_t>(kRsaBits))
                       : nullptr);
    if (!key) throw std::runtime_error("cannot generate a key");
    return SigningKey(std::move(key));
}

Result<SigningKey> SigningKey::fromPem(std::string_view pem, const std::string& passphrase) {
    std::unique_ptr<BIO, FreeBio> bytes(BIO_new_mem_buf(pem.data(), static_cast<int>(pem.size())));
    auto passphraseCopy = passphrase;
    OpenSslKey read(bytes ? PEM_read_bio_PrivateKey(bytes.get(), nullptr, copyPassphrase, &passphraseCopy)
                          : nullptr);
    ERR_clear_error();
    if (!read || schemeOf(read.get()) == Scheme::unknown)
        return Refusal{Reason::badKeyId, {}, 0, "not a private key of a supported type, or wrong passphrase"};
    return SigningKey(std::move(read));
}

std::string SigningKey::toPem(const std::string& passphrase) const {
    std::unique_ptr<BIO, FreeBio> bytes(BIO_new(BIO_s_mem()));
    const auto* cipher = passphrase.empty() ? nullptr : EVP_aes_256_cbc();
    char* data = nullptr;
    if (!bytes || PEM_write_bio_PKCS8PrivateKey(bytes.get(), raw_.get(), cipher,
                                                passphrase.empty() ? nullptr : passphrase.data(),
                                                static_cast<int>(passphrase.size()), nullptr, nullptr) != 1)
        throw std::runtime_error("cannot write a key");
    const auto length = BIO_get_mem_data(bytes.get(), &data);
    return {data, static_cast<std::size_t>(length)};
}

std::string SigningKey::sign(std::string_view message) const {
    std::unique_ptr<EVP_MD_CTX, FreeContext> context(EVP_MD_CTX_new());
    EVP_PKEY_CTX* parameters = nullptr;
    const auto* hash = key_.scheme() == Scheme::ed25519 ? nullptr : EVP_sha256();
    const auto* bytes = reinterpret_cast<const unsigned char*>(message.data());
    std::size_t length = 0;
    bool succeeded =
        context && EVP_DigestSignInit(context.get(), &parameters, hash, nullptr, raw_.get()) == 1;
    if (succeeded && key_.scheme() == Scheme::rsaPss)
        succeeded = EVP_PKEY_CTX_set_rsa_padding(parameters, RSA_PKCS1_PSS_PADDING) == 1 &&
                    EVP_PKEY_CTX_set_rsa_pss_saltlen(parameters, RSA_PSS_SALTLEN_DIGEST) == 1;
    succeeded = succeeded && EVP_DigestSign(context.get(), nullptr, &length, bytes, message.size()) == 1;
    std::string signature(length, '\0');
    succeeded = succeeded && EVP_DigestSign(context.get(), reinterpret_cast<unsigned char*>(signature.data()),
                                            &length, bytes, message.size()) == 1;
    if (!succeeded) throw std::runtime_error("cannot sign");
    signature.resize(length);
    return signature;
}

Result<Key> publicKeyFromPem(std::string_view pem) {
    std::unique_ptr<BIO, FreeBio> bytes(BIO_new_mem_buf(pem.data(), static_cast<int>(pem.size())));
    OpenSslKey read(bytes ? PEM_read_bio_PUBKEY(bytes.get(), nullptr, nullptr, nullptr) : nullptr);
    ERR_clear_error();
    if (!read || schemeOf(read.get()) == Scheme::unknown)
        return Refusal{Reason::badKeyId, {}, 0, "not a public key of a supported type"};
    return Key::of(read.get());
}

}  // namespace lichenlanding::metadata
