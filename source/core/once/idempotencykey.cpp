#include "core/once/idempotencykey.h"

#include "core/common/hashing.h"

#include <algorithm>
#include <cctype>

namespace greengageseam {

namespace {

constexpr std::size_t maxKeyLength = 255;
constexpr std::size_t uuidLength = 36;
constexpr std::size_t versionIndex = 14;
constexpr std::size_t timestampDigits = 12;

bool isUuid(std::string_view text)
{
    if (text.size() != uuidLength) {
        return false;
    }
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool expectsDash = i == 8 || i == 13 || i == 18 || i == 23;
        const auto c = static_cast<unsigned char>(text[i]);
        if (expectsDash ? c != '-' : std::isxdigit(c) == 0) {
            return false;
        }
    }
    return true;
}

bool isPrintable(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](unsigned char c) { return c > 32 && c < 127; });
}

} // namespace

std::optional<WallTime> timestampOfKey(std::string_view key)
{
    if (!isUuid(key) || key[versionIndex] != '7') {
        return std::nullopt;
    }
    std::string digits(key.substr(0, timestampDigits + 1));
    digits.erase(8, 1);
    const std::int64_t milliseconds = std::stoll(digits, nullptr, 16);
    return WallTime(std::chrono::milliseconds(milliseconds));
}

Result<void> checkIdempotencyKey(std::string_view key, const IdempotencyKeyOptions &options,
                                 WallTime now)
{
    if (key.empty() || key.size() > maxKeyLength || !isPrintable(key)) {
        return fail(ErrorKind::InvalidRequest,
                    "the Idempotency-Key must be 1 to 255 printable characters without spaces");
    }
    const std::optional<WallTime> timestamp = timestampOfKey(key);
    if (!timestamp) {
        return {};
    }
    if (*timestamp > now + options.clockSkew) {
        return fail(ErrorKind::InvalidRequest,
                    "the timestamp of the Idempotency-Key is in the future");
    }
    if (*timestamp < now - options.window + 2 * options.clockSkew) {
        return fail(ErrorKind::KeyTooOld,
                    "the timestamp of the Idempotency-Key is too old for the deduplication window");
    }
    return {};
}

ClaimKey makeClaimKey(const AccountName &account, const ServiceName &service, std::string_view key)
{
    const std::string text = account.text() + "\n" + service.text() + "\n" + std::string(key);
    return *parseClaimKey(digestOf(text).text().substr(0, claimKeyDigits));
}

} // namespace greengageseam
