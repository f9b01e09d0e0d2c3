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
    void operator()(BIO* held) const { BIO_free(held); }
};
struct FreeContext {
    void operator()(EVP_MD_CTX* held) const { EVP_MD_CTX_free(held); }
};

RawKey fromPem(const std::string& pem) {
    std::unique_ptr<BIO, FreeBio> bytes(BIO_new_mem_buf(pem.data(), static_cast<int>(pem.size())));
    RawKey key(bytes ? PEM_read_bio_PUBKEY(bytes.get(), nullptr, nullptr, nullptr) : nullptr);
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

const char* wordOf(Scheme scheme) {
    static constexpr const char* kWords[] = {"ed25519", "ecdsa-sha2-nistp256", "rsassa-pss-sha256", ""};
    return kWords[static_cast<int>(scheme)];
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
            const bool told =
                EVP_PKEY_get_utf8_string_param(key, OSSL_PKEY_PARAM_GROUP_NAME, curve, sizeof curve, &length);
            return told && std::string_view(curve, length) == "prime256v1" ? Scheme::ecdsaP256
                                                                           : Scheme::unknown;
        }
        case EVP_PKEY_RSA:
            return EVP_PKEY_get_bits(key) >= kMinRsaBits ? Scheme::rsaPss : Scheme::unknown;
        default:
            return Scheme::unknown;
    }
}

Key Key::of(const EVP_PKEY* key) {
    Key made;
    made.scheme_ = schemeOf(key);
    std::string shown;
    if (made.scheme_ == Scheme::ed25519) {
        std::string raw(32, '\0');
        auto length = raw.size();
        EVP_PKEY_get_raw_public_key(key, reinterpret_cast<unsigned char*>(raw.data()), &length);
        shown = hex(raw);
    } else {
        shown = pemOf(key);
    }
    static constexpr const char* kInds[] = {"ed25519", "ecdsa", "rsa", ""};
    made.object_ = {{"keytype", kInds[static_cast<int>(made.scheme_)]},
                    {"scheme", wordOf(made.scheme_)},
                    {"keyval", {{"public", shown}}}};
    made.id_ = keyId(made.object_);
    made.identity_ = derOf(key);
    auto* shared = const_cast<EVP_PKEY*>(key);
    EVP_PKEY_up_ref(shared);
    made.key_.reset(shared, FreeKey());
    return made;
}

Result<Key> Key::read(const std::string& id, const Json& object) {
    const auto* type = textMember(object, "keytype");
    const auto* scheme = textMember(object, "scheme");
    const auto* value = member(object, "keyval", Json::value_t::object);
    if (!type || !scheme || !value)
        return Refusal{Reason::wrongShape, {}, 0, "key " + escaped(id, 64) + " lacks a field"};
    // Fields that others add beside the three are in the id of some makers and not of others.
    if (id != keyId(object) && id != keyId({{"keytype", *type}, {"scheme", *scheme}, {"keyval", *value}}))
        return Refusal{Reason::badKeyId, {}, 0, "key id " + escaped(id, 64)};
    Key read;
    read.id_ = id;
    read.object_ = object;
    read.identity_ = "id " + id;
    const auto* shown = textMember(*value, "public");
    const bool ed = *type == "ed25519";
    const bool ec = *type == "ecdsa" || *type == "ecdsa-sha2-nistp256";
    if (!shown || !(ed || ec || *type == "rsa")) return read;
    RawKey key;
    if (ed) {
        if (const auto raw = parseHex(*shown); raw && raw->size() == 32)
            key.reset(EVP_PKEY_new_raw_public_key(EVP_PKEY_ED25519, nullptr, bytesOf(*raw), raw->size()));
    } else {
        key = fromPem(*shown);
    }
    if (!key) return read;
    const auto is = schemeOf(key.get());
    if (is == Scheme::unknown || *scheme != wordOf(is)) return read;
    read.scheme_ = is;
    read.identity_ = derOf(key.get());
    read.key_ = std::move(key);
    return read;
}

bool Key::verifies(std::string_view message, std::string_view signature) const {
    if (!key_) return false;
    std::unique_ptr<EVP_MD_CTX, FreeContext> context(EVP_MD_CTX_new());
    EVP_PKEY_CTX* how = nullptr;
    const auto* hash = scheme_ == Scheme::ed25519 ? nullptr : EVP_sha256();
    bool good = context && EVP_DigestVerifyInit(context.get(), &how, hash, nullptr, key_.get()) == 1;
    if (good && scheme_ == Scheme::rsaPss)
        good = EVP_PKEY_CTX_set_rsa_padding(how, RSA_PKCS1_PSS_PADDING) == 1 &&
               EVP_PKEY_CTX_set_rsa_pss_saltlen(how, RSA_PSS_SALTLEN_AUTO) == 1;
    good = good && EVP_DigestVerify(context.get(), bytesOf(signature), signature.size(), bytesOf(message),
                                    message.size()) == 1;
    ERR_clear_error();
    return good;
}

std::string keyId(const Json& object) { return digest("sha256", canonical(object)); }

std::string hex(std::string_view bytes) {
    static constexpr char kDigits[] = "0123456789abcdef";
    std::string made;
    made.reserve(bytes.size() * 2);
    for (const char one : bytes) {
        const auto byte = static_cast<unsigned char>(one);
        made += kDigits[byte >> 4];
        made += kDigits[byte & 15];
    }
    return made;
}

std::optional<std::string> parseHex(std::string_view digits) {
    const auto value = [](char digit) {
        return digit >= '0' && digit <= '9'   ? digit - '0'
               : digit >= 'a' && digit <= 'f' ? digit - 'a' + 10
               : digit >= 'A' && digit <= 'F' ? digit - 'A' + 10
                                              : -1;
    };
    if (digits.size() % 2 != 0) return {};
    std::string made;
    made.reserve(digits.size() / 2);
    for (std::size_t at = 0; at < digits.size(); at += 2) {
        const int high = value(digits[at]);
        const int low = value(digits[at + 1]);
        if (high < 0 || low < 0) return {};
        made += static_cast<char>(high << 4 | low);
    }
    return made;
}

std::string digest(std::string_view name, std::string_view of) {
    const auto* kind = name == "sha256" ? EVP_sha256() : name == "sha512" ? EVP_sha512() : nullptr;
    if (!kind) return {};
    unsigned char made[EVP_MAX_MD_SIZE];
    unsigned length = 0;
    if (EVP_Digest(of.data(), of.size(), made, &length, kind, nullptr) != 1) return {};
    return hex({reinterpret_cast<char*>(made), length});
}

}  // namespace lichenlanding::metadata
