#include "net/clock.h"

#include <array>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <random>

namespace greengageseam {

namespace {

std::mt19937_64 &generator()
{
    static std::mt19937_64 engine = [] {
        std::random_device device;
        std::seed_seq seed {device(), device(), device(), device()};
        return std::mt19937_64(seed);
    }();
    return engine;
}

} // namespace

Instant monotonicNow()
{
    timespec now {};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    const auto sinceBoot = std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
    return Instant(std::chrono::duration_cast<Duration>(sinceBoot));
}

WallTime wallNow()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return WallTime(std::chrono::duration_cast<Duration>(now));
}

std::uint64_t randomNumber()
{
    return generator()();
}

std::string makeUniqueId()
{
    constexpr std::uint64_t versionBits = 0x7000;
    constexpr std::uint64_t randomBits = 0x0fff;
    constexpr std::uint64_t variantBits = 0x8000'0000'0000'0000;
    constexpr std::uint64_t lowBits = 0x3fff'ffff'ffff'ffff;
    const auto milliseconds =
            static_cast<std::uint64_t>(wallNow().time_since_epoch().count() / 1000);
    const std::uint64_t high = milliseconds << 16U | versionBits | (randomNumber() & randomBits);
    const std::uint64_t low = variantBits | (randomNumber() & lowBits);
    std::array<char, 40> buf {};
    std::snprintf(buf.data(), buf.size(), "%08x-%04x-%04x-%04x-%012llx",
                  static_cast<unsigned>(high >> 32U), static_cast<unsigned>(high >> 16U & 0xffffU),
                  static_cast<unsigned>(high & 0xffffU), static_cast<unsigned>(low >> 48U),
                  static_cast<unsigned long long>(low & 0xffff'ffff'ffffULL));
    return buf.data();
}

} // namespace greengageseam
