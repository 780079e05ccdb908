#include "core/fleet/entryregistry.h"

#include "core/common/hashing.h"

#include <algorithm>

namespace greengageseam {

void EntrySites::hear(const EntrySite &site, Instant now)
{
    const auto [it, isNew] = m_heard.insert_or_assign(site, now);
    m_hasChanged = m_hasChanged || isNew;
}

void EntrySites::confirm(std::uint64_t checksum, Instant now)
{
    if (checksum != this->checksum()) {
        return;
    }
    for (auto &[site, heardAt] : m_heard) {
        heardAt = now;
    }
}

bool EntrySites::settle(Instant now)
{
    const std::size_t forgotten = std::erase_if(
            m_heard, [&](const auto &entry) { return now - entry.second > m_lifetime; });
    const bool hasChanged = m_hasChanged || forgotten > 0;
    m_hasChanged = false;
    return hasChanged;
}

std::vector<EntrySite> EntrySites::sites() const
{
    std::vector<EntrySite> sites;
    for (const auto &[site, heardAt] : m_heard) {
        sites.push_back(site);
    }
    return sites;
}

std::uint64_t EntrySites::checksum() const
{
    std::uint64_t sum = 0;
    for (const auto &[site, heardAt] : m_heard) {
        sum = checksumOf(site.instance.text() + "/" + site.ip, sum);
    }
    return sum;
}

bool readsList(const std::vector<EntrySite> &entries, const EntrySite &self)
{
    const auto scoreOf = [](const EntrySite &site) { return checksumOf("list/" + site.ip, 0); };
    return std::none_of(entries.begin(), entries.end(), [&](const EntrySite &other) {
        return other.zone == self.zone && other.ip != self.ip
                && std::pair(scoreOf(other), other.ip) < std::pair(scoreOf(self), self.ip);
    });
}

} // namespace greengageseam
