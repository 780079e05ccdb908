#include "core/once/claimtable.h"

#include <array>
#include <charconv>
#include <cstdio>

namespace greengageseam {

namespace {

constexpr std::size_t halfDigits = claimKeyDigits / 2;
constexpr int hexadecimal = 16;

std::optional<std::uint64_t> parseHalf(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, ec] =
            std::from_chars(text.data(), text.data() + text.size(), value, hexadecimal);
    if (ec != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

} // namespace

std::string textOf(const ClaimKey &key)
{
    std::array<char, claimKeyDigits + 1> buf {};
    std::snprintf(buf.data(), buf.size(), "%016llx%016llx",
                  static_cast<unsigned long long>(key.high),
                  static_cast<unsigned long long>(key.low));
    return buf.data();
}

std::optional<ClaimKey> parseClaimKey(std::string_view text)
{
    if (text.size() != claimKeyDigits) {
        return std::nullopt;
    }
    const auto high = parseHalf(text.substr(0, halfDigits));
    const auto low = parseHalf(text.substr(halfDigits));
    if (!high || !low) {
        return std::nullopt;
    }
    return ClaimKey {*high, *low};
}

ClaimTableOptions ClaimTableOptions::withWindow(Duration value) const
{
    ClaimTableOptions options = *this;
    options.window = value;
    return options;
}

ClaimTableOptions ClaimTableOptions::withMaxResponseBytes(std::size_t value) const
{
    ClaimTableOptions options = *this;
    options.maxResponseBytes = value;
    return options;
}

ClaimTable::ClaimTable(ClaimTableOptions options) : m_options(options) { }

ClaimStatus ClaimTable::apply(const ClaimCreated &claim, ClaimPosition position, Instant now)
{
    expire(now);
    const auto [it, isFirst] = m_claims.try_emplace(claim.key);
    Claim &known = it->second;
    known.lastReadAt = now;
    m_readings.push_back({now, claim.key});
    if (isFirst) {
        known.first = position;
        known.fingerprint = claim.fingerprint;
        return {ClaimPhase::First, std::nullopt};
    }
    known.isContested = true;
    return statusOf(claim.key, known, claim.fingerprint);
}

void ClaimTable::apply(const ClaimFinished &finished, Instant now)
{
    expire(now);
    const auto it = m_claims.find(finished.key);
    if (it == m_claims.end() || it->second.phase == ClaimPhase::Finished) {
        return;
    }
    it->second.phase = finished.ran == ExecutionStatus::Executed ? ClaimPhase::Finished
                                                                 : ClaimPhase::OutcomeUnknown;
    storeResponse(finished);
}

void ClaimTable::apply(const ClaimReleased &released, Instant now)
{
    expire(now);
    const auto it = m_claims.find(released.key);
    const bool isEffective = it != m_claims.end() && it->second.first == released.position
            && it->second.phase == ClaimPhase::InProgress && !it->second.isContested;
    if (isEffective) {
        m_claims.erase(it);
    }
}

ClaimStatus ClaimTable::lookup(const ClaimKey &key, std::uint64_t fingerprint, Instant now)
{
    expire(now);
    const auto it = m_claims.find(key);
    if (it == m_claims.end()) {
        return {ClaimPhase::First, std::nullopt};
    }
    return statusOf(key, it->second, fingerprint);
}

ClaimStatus ClaimTable::statusOf(const ClaimKey &key, const Claim &claim,
                                 std::uint64_t fingerprint) const
{
    if (claim.fingerprint != fingerprint) {
        return {ClaimPhase::FingerprintMismatch, std::nullopt};
    }
    const auto it = m_responses.find(key);
    if (it == m_responses.end()) {
        return {claim.phase, std::nullopt};
    }
    return {claim.phase, it->second};
}

void ClaimTable::expire(Instant now)
{
    while (!m_readings.empty() && now - m_readings.front().readAt >= m_options.window) {
        const ClaimKey key = m_readings.front().key;
        m_readings.pop_front();
        const auto it = m_claims.find(key);
        if (it != m_claims.end() && now - it->second.lastReadAt >= m_options.window) {
            m_claims.erase(it);
            removeResponse(key);
        }
    }
}

void ClaimTable::storeResponse(const ClaimFinished &finished)
{
    if (!finished.response) {
        return;
    }
    const auto [it, isNew] = m_responses.try_emplace(finished.key, *finished.response);
    if (!isNew) {
        return;
    }
    m_responseBytes += finished.response->body.size();
    m_responseOrder.push_back(finished.key);
    while (m_responseBytes > m_options.maxResponseBytes && !m_responseOrder.empty()) {
        removeResponse(m_responseOrder.front());
        m_responseOrder.pop_front();
    }
}

void ClaimTable::removeResponse(const ClaimKey &key)
{
    const auto it = m_responses.find(key);
    if (it != m_responses.end()) {
        m_responseBytes -= it->second.body.size();
        m_responses.erase(it);
    }
}

} // namespace greengageseam
