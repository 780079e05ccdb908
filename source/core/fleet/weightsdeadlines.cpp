#include "core/fleet/weightsdeadlines.h"

#include <algorithm>

namespace greengageseam {

WeightsDeadlines WeightsDeadlines::withAnnouncement(const ModelName &model, std::uint64_t version,
                                                    Instant announcedAt) const
{
    WeightsDeadlines next = *this;
    const auto [it, isNew] = next.m_announced[model].emplace(version, announcedAt);
    it->second = std::min(it->second, announcedAt);
    return next;
}

std::uint64_t WeightsDeadlines::newest(const ModelName &model) const
{
    const auto it = m_announced.find(model);
    return it == m_announced.end() ? 0 : it->second.rbegin()->first;
}

std::optional<Instant> WeightsDeadlines::announcedAt(const ModelName &model,
                                                     std::uint64_t version) const
{
    const auto versions = m_announced.find(model);
    if (versions == m_announced.end()) {
        return std::nullopt;
    }
    const auto it = versions->second.find(version);
    return it == versions->second.end() ? std::nullopt : std::optional(it->second);
}

Instant WeightsDeadlines::requiredFrom(Instant announcedAt) const
{
    return announcedAt + m_options.bound - m_options.requiredBefore;
}

std::uint64_t WeightsDeadlines::required(const ModelName &model, Instant now) const
{
    const auto versions = m_announced.find(model);
    if (versions == m_announced.end()) {
        return 0;
    }
    std::uint64_t required = 0;
    for (const auto &[version, at] : versions->second) {
        required = now >= requiredFrom(at) ? std::max(required, version) : required;
    }
    return required;
}

std::optional<Instant> WeightsDeadlines::startDeadline(const ModelName &model,
                                                       std::uint64_t version) const
{
    const auto versions = m_announced.find(model);
    if (versions == m_announced.end()) {
        return std::nullopt;
    }
    std::optional<Instant> earliest;
    for (auto it = versions->second.upper_bound(version); it != versions->second.end(); ++it) {
        const Instant deadline = it->second + m_options.bound - m_options.abortedBefore;
        earliest = std::min(earliest.value_or(deadline), deadline);
    }
    return earliest;
}

} // namespace greengageseam
