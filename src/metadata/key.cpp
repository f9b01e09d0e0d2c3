#include "metadata/key.hpp"

#include <openssl/bio.h>
#include <openssl/core_names.h>
#include <openssl/err.h>
#include <openssl/pem.h>
#include <openssl/rsa.h>
#include <openssl/x509.h>

namespace lichenlanding::metadata {
namespace {

constexpr int kMinRsaBits = 2048;

struct FreeBio {
    void operator()(BIO* bio) const { BIO_free(bio); }
};
struct FreeContext {
    void operator()(EVP_MD_CTX* context) const { EVP_MD_CTX_free(context); }
};

OpenSslKey fromPem(const std::string& pem) {
    std::unique_ptr<BIO, FreeBio> bytes(BIO_new_mem_buf(pem.data(), static_cast<int>(pem.size())));
    OpenSslKey key(bytes ? PEM_read_bio_PUBKEY(bytes.get(), nullptr, nullptr, nullptr) : nullptr);
    ERR_clear_error();
    return key;
}

std::string pemOf(const EVP_PKEY* key) {
    std::unique_ptr<BIO, FreeBio> bytes(BIO_new(BIO_s_mem()));
    char* data = nullptr;
    if (!bytes || PEM_write_bio_PUBKEY(bytes.get(), key) != 1) return {};
    const auto length = BIO_get_mem_data(bytes.get(), &data);
    return {data, static_cast<std::size_t>(length)};
}

std::string derOf(const EVP_PKEY* key) {
    unsigned char* bytes = nullptr;
    const int length = i2d_PUBKEY(key, &bytes);
    if (length <= 0) return {};
    std::string der(reinterpret_cast<char*>(bytes), static_cast<std::size_t>(length));
    OPENSSL_free(bytes);
    return der;
}

const char* nameOfScheme(Scheme scheme) {
    static constexpr const char* kNames[] = {"ed25519", "ecdsa-sha2-nistp256", "rsassa-pss-sha256", ""};
    return kNames[static_cast<int>(scheme)];
}

const unsigned char* bytesOf(std::string_view text) {
    return reinterpret_cast<const unsigned char*>(text.data());
}

}  // namespace

Scheme schemeOf(const EVP_PKEY* key) {
    switch (EVP_PKEY_get_base_id(key)) {
        case EVP_PKEY_ED25519:
            return Scheme::ed25519;
        case EVP_PKEY_EC: {
            char curve[64] = {};
            std::size_t length = 0;
            const bool known =
                EVP_PKEY_get_utf8_string_param(key, OSSL_PKEY_PARAM_GROUP_NAME, curve, sizeof curve, &length);
            return known && std::string_view(curve, length) == "prime256v1" ? Scheme::ecdsaP256
                                                                            : Scheme::unknown;
        }
        case EVP_PKEY_RSA:
            return EVP_PKEY_get_bits(key) >= kMinRsaBits ? Scheme::rsaPss : Scheme::unknown;
        default:
            return Scheme::unknown;
    }
}

Key Key::of(const EVP_PKEY* key) {
    Key result;
    result.scheme_ = schemeOf(key);
    std::string publicText;
    if (result.scheme_ == Scheme::ed25519) {
        std::string raw(32, '\0');
        auto length = raw.size();
        EVP_PKEY_get_raw_public_key(key, reinterpret_cast<unsigned char*>(raw.data()), &length);
        publicText = hex(raw);
    } else {
        publicText = pemOf(key);
    }
    static constexpr const char* kKeyTypes[] = {"ed25519", "ecdsa", "rsa", ""};
    result.object_ = {{"keytype", kKeyTypes[static_cast<int>(result.scheme_)]},
                      {"scheme", nameOfScheme(result.scheme_)},
                      {"keyval", {{"public", publicText}}}};
    result.id_ = keyId(result.object_);
    result.identity_ = derOf(key);
    auto* shared = const_cast<EVP_PKEY*>(key);
    EVP_PKEY_up_ref(shared);
    result.key_.reset(shared, FreeKey());
    return result;
}

Result<Key> Key::read(const std::string& id, const Json& object) {
    const auto* type = textMember(object, "keytype");
    const auto* scheme = textMember(object, "scheme");
    const auto* value = member(object, "keyval", Json::value_t::object);
    if (!type || !scheme || !value)
        return Refusal{
            Reason::wrongShape, {}, 0, "key " + escaped(id, 64) + " lacks keytype, scheme or keyval"};
    // Some implementations hash additional fields of the key object into the id, others do not.
    if (id != keyId(object) && id != keyId({{"keytype", *type}, {"scheme", *scheme}, {"keyval", *value}}))
        return Refusal{Reason::badKeyId, {}, 0, "id is not the hash of the key: " + escaped(id, 64)};
    Key read;
    read.id_ = id;
    read.object_ = object;
    read.identity_ = "id " + id;
    const auto* publicText = textMember(*value, "public");
    const bool isEd25519 = *type == "ed25519";
    const bool isEcdsa = *type == "ecdsa" || *type == "ecdsa-sha2-nistp256";
    if (!publicText || !(isEd25519 || isEcdsa || *type == "rsa")) return read;
    OpenSslKey key;
    if (isEd25519) {
        if (const auto raw = parseHex(*publicText); raw && raw->size() == 32)
            key.reset(EVP_PKEY_new_raw_public_key(EVP_PKEY_ED25519, nullptr, bytesOf(*raw), raw->size()));
    } else {
        key = fromPem(*publicText);
    }
    if (!key) return read;
    const auto actualScheme = schemeOf(key.get());
    if (actualScheme == Scheme::unknown || *scheme != nameOfScheme(actualScheme)) return read;
    read.scheme_ = actualScheme;
    read.identity_ = derOf(key.get());
    read.key_ = std::move(key);
    return read;
}

bool Key::verifies(std::string_view message, std::string_view signature) const {
    if (!key_) return false;
    std::unique_ptr<EVP_MD_CTX, FreeContext> context(EVP_MD_CTX_new());
    EVP_PKEY_CTX* parameters = nullptr;
    const auto* hash = scheme_ == Scheme::ed25519 ? nullptr : EVP_sha256();
    bool valid = context && EVP_DigestVerifyInit(context.get(), &parameters, hash, nullptr, key_.get()) == 1;
    if (valid && scheme_ == Scheme::rsaPss)
        valid = EVP_PKEY_CTX_set_rsa_padding(parameters, RSA_PKCS1_PSS_PADDING) == 1 &&
                EVP_PKEY_CTX_set_rsa_pss_saltlen(parameters, RSA_PSS_SALTLEN_AUTO) == 1;
    valid = valid && EVP_DigestVerify(context.get(), bytesOf(signature), signature.size(), bytesOf(message),
                                      message.size()) == 1;
    ERR_clear_error();
    return valid;
}

std::string keyId(const Json& object) { return digest("sha256", canonical(object)); }

std::string hex(std::string_view bytes) {
    static constexpr char kDigits[] = "0123456789abcdef";
    std::string digits;
    digits.reserve(bytes.size() * 2);
    for (const char character : bytes) {
        const auto byte = static_cast<unsigned char>(character);
        digits += kDigits[byte >> 4];
        digits += kDigits[byte & 15];
    }
    return digits;
}

std::optional<std::string> parseHex(std::string_view digits) {
    const auto value = [](char digit) {
        return digit >= '0' && digit <= '9'   ? digit - '0'
               : digit >= 'a' && digit <= 'f' ? digit - 'a' + 10
               : digit >= 'A' && digit <= 'F' ? digit - 'A' + 10
                                              : -1;
    };
    if (digits.size() % 2 != 0) return {};
    std::string bytes;
    bytes.reserve(digits.size() / 2);
    for (std::size_t at = 0; at < digits.size(); at += 2) {
        const int high = value(digits[at]);
        const int low = value(digits[at + 1]);
        if (high < 0 || low < 0) return {};
        bytes += static_cast<char>(high << 4 | low);
    }
    return bytes;
}

std::string digest(std::string_view name, std::string_view bytes) {
    const auto* algorithm = name == "sha256" ? EVP_sha256() : name == "sha512" ? EVP_sha512() : nullptr;
    if (!algorithm) return {};
    unsigned char hash[EVP_MAX_MD_SIZE];
    unsigned length = 0;
    if (EVP_Digest(bytes.data(), bytes.size(), hash, &length, algorithm, nullptr) != 1) return {};
    return hex({reinterpret_cast<char*>(hash), length});
}

}  // namespace lichenlanding::metadata
