#include "core/common/hashing.h"

#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <xxhash.h>

namespace greengageseam {

namespace {

constexpr std::size_t digestBytes = 32;
constexpr std::size_t digestDigits = 2 * digestBytes;

using RawDigest = std::array<unsigned char, digestBytes>;

Digest toHex(const RawDigest &raw)
{
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(digestDigits);
    for (const unsigned char byte : raw) {
        text.push_back(digits[byte >> 4U]);
        text.push_back(digits[byte & 0x0fU]);
    }
    return Digest(std::move(text));
}

} // namespace

Digest digestOf(std::string_view bytes)
{
    RawDigest raw {};
    unsigned int n = 0;
    EVP_Digest(bytes.data(), bytes.size(), raw.data(), &n, EVP_sha256(), nullptr);
    return toHex(raw);
}

bool isDigest(std::string_view text)
{
    return text.size() == digestDigits
            && text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

Digest hmacSha256(std::string_view key, std::string_view bytes)
{
    RawDigest raw {};
    unsigned int n = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(), raw.data(), &n);
    return toHex(raw);
}

bool equalInConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size()
            && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::uint64_t rendezvousScore(std::string_view subject, std::string_view candidate)
{
    return XXH64(candidate.data(), candidate.size(), XXH64(subject.data(), subject.size(), 0));
}

std::uint64_t checksumOf(std::string_view bytes, std::uint64_t seed)
{
    return XXH64(bytes.data(), bytes.size(), seed);
}

} // namespace greengageseam
