#include "core/fleet/entryregistry.h"

#include "core/common/hashing.h"

#include <algorithm>
#include <iterator>

namespace greengageseam {

namespace {

/** @returns whether an entry is to read from the store rather than the other one */
bool ranksBefore(const EntryLocation &left, const EntryLocation &right)
{
    const auto rankOf = [](const EntryLocation &location) {
        return std::pair(checksumOf("list/" + location.ip, 0), location.ip);
    };
    return rankOf(left) < rankOf(right);
}

} // namespace

void EntryRegistry::refresh(const EntryLocation &location, Instant now)
{
    const auto [it, isNew] = m_lastSeen.insert_or_assign(location, now);
    m_hasChanged = m_hasChanged || isNew;
}

void EntryRegistry::confirm(std::uint64_t checksum, Instant now)
{
    if (checksum == this->checksum()) {
        renewAll(now);
    }
}

void EntryRegistry::renewAll(Instant now)
{
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

std::vector<EntryLocation> zoneReaderOrder(const std::vector<EntryLocation> &entries,
                                           const ZoneName &zone)
{
    std::vector<EntryLocation> order;
    std::copy_if(entries.begin(), entries.end(), std::back_inserter(order),
                 [&](const EntryLocation &location) { return location.zone == zone; });
    std::sort(order.begin(), order.end(), ranksBefore);
    return order;
}

bool isListReader(const std::vector<EntryLocation> &entries, const EntryLocation &self)
{
    return zoneReaderRank(entries, self) == 0;
}

std::size_t zoneReaderRank(const std::vector<EntryLocation> &entries, const EntryLocation &self)
{
    const std::vector<EntryLocation> order = zoneReaderOrder(entries, self.zone);
    return static_cast<std::size_t>(
            std::count_if(order.begin(), order.end(),
                          [&](const EntryLocation &it) { return ranksBefore(it, self); }));
}

} // namespace greengageseam
