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

std::optional<ClaimKey> claimKeyNamed(std::string_view text)
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

ClaimBookOptions ClaimBookOptions::withWindow(Duration value) const
{
    ClaimBookOptions options = *this;
    options.window = value;
    return options;
}

ClaimBookOptions ClaimBookOptions::withMaxAnswerBytes(std::size_t value) const
{
    ClaimBookOptions options = *this;
    options.maxAnswerBytes = value;
    return options;
}

ClaimBook::ClaimBook(ClaimBookOptions options) : m_options(options) { }

ClaimVerdict ClaimBook::read(const ClaimMade &claim, ClaimPosition position, Instant now)
{
    forget(now);
    const auto [it, isFirst] = m_claims.try_emplace(claim.key);
    Claim &known = it->second;
    known.lastRead = now;
    m_readings.push_back({now, claim.key});
    if (isFirst) {
        known.first = position;
        known.fingerprint = claim.fingerprint;
        return {ClaimPhase::First, std::nullopt};
    }
    known.isContested = true;
    return verdictOf(claim.key, known, claim.fingerprint);
}

void ClaimBook::read(const ClaimEnded &ended, Instant now)
{
    forget(now);
    const auto it = m_claims.find(ended.key);
    if (it == m_claims.end() || it->second.phase == ClaimPhase::Ended) {
        return;
    }
    it->second.phase = ended.ran == Ran::Yes ? ClaimPhase::Ended : ClaimPhase::OutcomeUnknown;
    keepAnswer(ended);
}

void ClaimBook::read(const ClaimReleased &released, Instant now)
{
    forget(now);
    const auto it = m_claims.find(released.key);
    const bool counts = it != m_claims.end() && it->second.first == released.position
            && it->second.phase == ClaimPhase::InProgress && !it->second.isContested;
    if (counts) {
        m_claims.erase(it);
    }
}

ClaimVerdict ClaimBook::look(const ClaimKey &key, std::uint64_t fingerprint, Instant now)
{
    forget(now);
    const auto it = m_claims.find(key);
    if (it == m_claims.end()) {
        return {ClaimPhase::First, std::nullopt};
    }
    return verdictOf(key, it->second, fingerprint);
}

ClaimVerdict ClaimBook::verdictOf(const ClaimKey &key, const Claim &claim,
                                  std::uint64_t fingerprint) const
{
    if (claim.fingerprint != fingerprint) {
        return {ClaimPhase::OtherRequest, std::nullopt};
    }
    const auto it = m_answers.find(key);
    if (it == m_answers.end()) {
        return {claim.phase, std::nullopt};
    }
    return {claim.phase, it->second};
}

void ClaimBook::forget(Instant now)
{
    while (!m_readings.empty() && now - m_readings.front().at >= m_options.window) {
        const ClaimKey key = m_readings.front().key;
        m_readings.pop_front();
        const auto it = m_claims.find(key);
        if (it != m_claims.end() && now - it->second.lastRead >= m_options.window) {
            m_claims.erase(it);
            dropAnswer(key);
        }
    }
}

void ClaimBook::keepAnswer(const ClaimEnded &ended)
{
    if (!ended.response) {
        return;
    }
    const auto [it, isNew] = m_answers.try_emplace(ended.key, *ended.response);
    if (!isNew) {
        return;
    }
    m_answerBytes += ended.response->body.size();
    m_answerOrder.push_back(ended.key);
    while (m_answerBytes > m_options.maxAnswerBytes && !m_answerOrder.empty()) {
        dropAnswer(m_answerOrder.front());
        m_answerOrder.pop_front();
    }
}

void ClaimBook::dropAnswer(const ClaimKey &key)
{
    const auto it = m_answers.find(key);
    if (it != m_answers.end()) {
        m_answerBytes -= it->second.body.size();
        m_answers.erase(it);
    }
}

} // namespace greengageseam
