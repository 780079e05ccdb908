#include "core/fleet/entryregistry.h"

#include "core/common/hashing.h"

#include <algorithm>

namespace greengageseam {

void EntryRegistry::refresh(const EntryLocation &location, Instant now)
{
    const auto [it, isNew] = m_lastSeen.insert_or_assign(location, now);
    m_hasChanged = m_hasChanged || isNew;
}

void EntryRegistry::confirm(std::uint64_t checksum, Instant now)
{
    if (checksum != this->checksum()) {
        return;
    }
    for (auto &[location, lastSeen] : m_lastSeen) {
        lastSeen = now;
    }
}

bool EntryRegistry::expire(Instant now)
{
    const std::size_t expired = std::erase_if(
            m_lastSeen, [&](const auto &entry) { return now - entry.second > m_lifetime; });
    const bool hasChanged = m_hasChanged || expired > 0;
    m_hasChanged = false;
    return hasChanged;
}

std::vector<EntryLocation> EntryRegistry::locations() const
{
    std::vector<EntryLocation> locations;
    for (const auto &[location, lastSeen] : m_lastSeen) {
        locations.push_back(location);
    }
    return locations;
}

std::uint64_t EntryRegistry::checksum() const
{
    std::uint64_t sum = 0;
    for (const auto &[location, lastSeen] : m_lastSeen) {
        sum = checksumOf(location.instance.text() + "/" + location.ip, sum);
    }
    return sum;
}

bool isListReader(const std::vector<EntryLocation> &entries, const EntryLocation &self)
{
    const auto scoreOf = [](const EntryLocation &location) {
        return checksumOf("list/" + location.ip, 0);
    };
    return std::none_of(entries.begin(), entries.end(), [&](const EntryLocation &other) {
        return other.zone == self.zone && other.ip != self.ip
                && std::pair(scoreOf(other), other.ip) < std::pair(scoreOf(self), self.ip);
    });
}

} // namespace greengageseam
