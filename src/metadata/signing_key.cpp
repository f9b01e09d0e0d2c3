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
    void operator()(BIO* held) const { BIO_free(held); }
};
struct FreeContext {
    void operator()(EVP_MD_CTX* held) const { EVP_MD_CTX_free(held); }
};

constexpr unsigned kRsaBits = 3072;

// Without a passphrase an encrypted key is refused; OpenSSL would ask at the terminal.
int passphraseGiven(char* into, int size, int /*unused*/, void* given) {
    const auto& text = *static_cast<const std::string*>(given);
    if (text.empty() || static_cast<int>(text.size()) > size) return -1;
    std::copy(text.begin(), text.end(), into);
    return static_cast<int>(text.size());
}

}  // namespace

SigningKey SigningKey::generate(Scheme scheme) {
    RawKey made(scheme == Scheme::ed25519     ? EVP_PKEY_Q_keygen(nullptr, nullptr, "ED25519")
                : scheme == Scheme::ecdsaP256 ? EVP_PKEY_Q_keygen(nullptr, nullptr, "EC", "P-256")
                : scheme == Scheme::rsaPss
                    ? EVP_PKEY_Q_keygen(nullptr, nullptr, "RSA", static_cast<std::size_t>(kRsaBits))
                    : nullptr);
    if (!made) throw std::runtime_error("cannot generate a key");
    return SigningKey(std::move(made));
}

Result<SigningKey> SigningKey::fromPem(std::string_view pem, const std::string& passphrase) {
    std::unique_ptr<BIO, FreeBio> bytes(BIO_new_mem_buf(pem.data(), static_cast<int>(pem.size())));
    auto given = passphrase;
    RawKey read(bytes ? PEM_read_bio_PrivateKey(bytes.get(), nullptr, passphraseGiven, &given) : nullptr);
    ERR_clear_error();
    if (!read || schemeOf(read.get()) == Scheme::unknown)
        return Refusal{
            Reason::badKeyId, {}, 0, "no private key of a known kind, or not with this passphrase"};
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
    EVP_PKEY_CTX* how = nullptr;
    const auto* hash = key_.scheme() == Scheme::ed25519 ? nullptr : EVP_sha256();
    const auto* bytes = reinterpret_cast<const unsigned char*>(message.data());
    std::size_t length = 0;
    bool good = context && EVP_DigestSignInit(context.get(), &how, hash, nullptr, raw_.get()) == 1;
    if (good && key_.scheme() == Scheme::rsaPss)
        good = EVP_PKEY_CTX_set_rsa_padding(how, RSA_PKCS1_PSS_PADDING) == 1 &&
               EVP_PKEY_CTX_set_rsa_pss_saltlen(how, RSA_PSS_SALTLEN_DIGEST) == 1;
    good = good && EVP_DigestSign(context.get(), nullptr, &length, bytes, message.size()) == 1;
    std::string made(length, '\0');
    good = good && EVP_DigestSign(context.get(), reinterpret_cast<unsigned char*>(made.data()), &length,
                                  bytes, message.size()) == 1;
    if (!good) throw std::runtime_error("cannot sign");
    made.resize(length);
    return made;
}

Result<Key> publicKeyFromPem(std::string_view pem) {
    std::unique_ptr<BIO, FreeBio> bytes(BIO_new_mem_buf(pem.data(), static_cast<int>(pem.size())));
    RawKey read(bytes ? PEM_read_bio_PUBKEY(bytes.get(), nullptr, nullptr, nullptr) : nullptr);
    ERR_clear_error();
    if (!read || schemeOf(read.get()) == Scheme::unknown)
        return Refusal{Reason::badKeyId, {}, 0, "no public key of a known kind"};
    return Key::of(read.get());
}

}  // namespace lichenlanding::metadata
