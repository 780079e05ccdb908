#include "core/fleet/crashevidence.h"

#include "core/common/hashing.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace greengageseam {

namespace {

/** The events with one part that no condemned part explains. */
struct Charge
{
    PromptPartId part;
    /** When each backend server crashed, ordered by time. */
    std::vector<std::pair<Instant, ReplicaIncarnation>> crashes;
    std::uint32_t depth = 0;
    bool wasSound = false;
    /** Starts of the moments, ordered by time. */
    std::vector<Instant> moments;
};

using Charges = std::map<PromptPartId, Charge>;

/** Crashes that follow each other closely count as one moment. */
void countMoments(Charge &charge, Duration momentLength)
{
    std::sort(charge.crashes.begin(), charge.crashes.end());
    charge.moments.clear();
    for (const auto &[at, incarnation] : charge.crashes) {
        if (charge.moments.empty() || at - charge.moments.back() >= momentLength) {
            charge.moments.push_back(at);
        }
    }
}

/** Of parts that explain as much, the deepest is the one that most requests do without. */
auto weightOf(const Charge &charge)
{
    return std::tuple(charge.moments.size(), charge.crashes.size(), charge.depth, charge.part);
}

Charges chargesOf(const std::map<ReplicaIncarnation, std::map<PromptPartId, Suspicion>> &events,
                  const SoundParts &sound)
{
    Charges charges;
    for (const auto &[incarnation, suspects] : events) {
        for (const auto &[part, suspicion] : suspects) {
            const std::optional<Instant> answeredAt = sound.lastSeen(part);
            const bool isCleared =
                    suspicion.isCleared || (answeredAt && *answeredAt >= suspicion.at);
            Charge &charge = charges[part];
            charge.part = part;
            charge.depth = std::max(charge.depth, suspicion.depth);
            charge.wasSound =
                    charge.wasSound || suspicion.wasSound || isCleared || answeredAt.has_value();
            if (!isCleared) {
                charge.crashes.emplace_back(suspicion.at, incarnation);
            }
        }
    }
    return charges;
}

std::uint32_t momentsNeeded(const Charge &charge, const CrashEvidenceOptions &options)
{
    return charge.wasSound ? options.minMomentsIfWasSound : options.minMoments;
}

/** @returns the part that explains most, of those with enough evidence; null if there is none */
const Charge *findHeaviest(Charges &charges, const CrashEvidenceOptions &options)
{
    const Charge *heaviest = nullptr;
    for (auto &[part, charge] : charges) {
        countMoments(charge, options.momentLength);
        if (charge.moments.size() >= momentsNeeded(charge, options)
            && (heaviest == nullptr || weightOf(*heaviest) < weightOf(charge))) {
            heaviest = &charge;
        }
    }
    return heaviest;
}

/** Takes crashes that are explained out of all charges. */
void acquitOf(Charges &charges, const std::vector<ReplicaIncarnation> &explained)
{
    const std::set<ReplicaIncarnation> all(explained.begin(), explained.end());
    for (auto &[part, charge] : charges) {
        std::erase_if(charge.crashes,
                      [&](const auto &crash) { return all.contains(crash.second); });
    }
}

} // namespace

CrashEvidenceOptions CrashEvidenceOptions::withLifetime(Duration time) const
{
    CrashEvidenceOptions copy = *this;
    copy.lifetime = time;
    return copy;
}

CrashEvidenceOptions CrashEvidenceOptions::withMaxEvents(std::size_t count) const
{
    CrashEvidenceOptions copy = *this;
    copy.maxEvents = count;
    return copy;
}

bool CrashEvidence::merge(const CrashEvent &event, Instant now)
{
    std::vector<PromptPartId> news;
    for (const auto &[part, suspicion] : event.suspects) {
        if (now - suspicion.at > m_options.lifetime) {
            continue;
        }
        const auto [it, isAdded] = m_events[event.incarnation].emplace(part, suspicion);
        Suspicion &known = it->second;
        if (isAdded || (suspicion.isCleared && !known.isCleared)) {
            news.push_back(part);
        }
        known.at = std::min(known.at, suspicion.at);
        known.depth = std::max(known.depth, suspicion.depth);
        known.wasSound = known.wasSound || suspicion.wasSound;
        known.isCleared = known.isCleared || suspicion.isCleared;
    }
    if (news.empty()) {
        return false;
    }
    limitSuspects(m_events.at(event.incarnation));
    limitEvents();
    // What was dropped again would be news each time that it arrives.
    const auto it = m_events.find(event.incarnation);
    return it != m_events.end()
            && std::any_of(news.begin(), news.end(),
                           [&](const PromptPartId &part) { return it->second.contains(part); });
}

/** Keeps those with the least to be said for them, the same ones in whatever order they came. */
void CrashEvidence::limitSuspects(std::map<PromptPartId, Suspicion> &suspects) const
{
    while (suspects.size() > m_options.maxSuspects) {
        const auto last = std::max_element(
                suspects.begin(), suspects.end(), [](const auto &left, const auto &right) {
                    return std::tie(left.second.isCleared, left.second.wasSound, left.first)
                            < std::tie(right.second.isCleared, right.second.wasSound, right.first);
                });
        suspects.erase(last);
    }
}

void CrashEvidence::limitEvents()
{
    const auto firstLoss = [](const auto &event) {
        Instant first = Instant::max();
        for (const auto &[part, suspicion] : event.second) {
            first = std::min(first, suspicion.at);
        }
        return std::pair(first, event.first);
    };
    while (m_events.size() > m_options.maxEvents) {
        m_events.erase(std::min_element(m_events.begin(), m_events.end(),
                                        [&](const auto &left, const auto &right) {
                                            return firstLoss(left) < firstLoss(right);
                                        }));
    }
}

std::vector<ReplicaIncarnation> CrashEvidence::clear(const PromptPartId &part, Instant now)
{
    std::vector<ReplicaIncarnation> cleared;
    for (auto &[incarnation, suspects] : m_events) {
        const auto it = suspects.find(part);
        if (it != suspects.end() && !it->second.isCleared && it->second.at <= now) {
            it->second.isCleared = true;
            cleared.push_back(incarnation);
        }
    }
    return cleared;
}

void CrashEvidence::expire(Instant now)
{
    for (auto it = m_events.begin(); it != m_events.end();) {
        std::erase_if(it->second, [&](const auto &suspect) {
            return now - suspect.second.at > m_options.lifetime;
        });
        it = it->second.empty() ? m_events.erase(it) : std::next(it);
    }
}

CrashJudgement CrashEvidence::judge(const SoundParts &sound) const
{
    Charges charges = chargesOf(m_events, sound);
    CrashJudgement judgement;
    while (const Charge *heaviest = findHeaviest(charges, m_options)) {
        const std::uint32_t needed = momentsNeeded(*heaviest, m_options);
        const Instant counted = heaviest->moments[heaviest->moments.size() - needed];
        CondemnedPart condemned {heaviest->part,
                                 counted + m_options.lifetime,
                                 static_cast<std::uint32_t>(heaviest->moments.size()),
                                 {}};
        for (const auto &[at, incarnation] : heaviest->crashes) {
            condemned.crashed.push_back(incarnation);
        }
        acquitOf(charges, condemned.crashed);
        judgement.condemned.push_back(std::move(condemned));
    }
    for (const auto &[part, charge] : charges) {
        if (!charge.wasSound && charge.moments.size() >= m_options.minMomentsSuspected) {
            judgement.suspected.push_back(part);
        }
    }
    return judgement;
}

std::vector<CrashEvent> CrashEvidence::events() const
{
    std::vector<CrashEvent> all;
    for (const auto &[incarnation, suspects] : m_events) {
        all.push_back({incarnation, suspects});
    }
    return all;
}

std::uint64_t CrashEvidence::checksum() const
{
    std::uint64_t sum = 0;
    for (const auto &[incarnation, suspects] : m_events) {
        sum = checksumOf(incarnation.replica.text(), sum + incarnation.startedAtMs);
        for (const auto &[part, suspicion] : suspects) {
            sum = checksumOf(part.text(), sum + (suspicion.isCleared ? 1 : 0));
        }
    }
    return sum;
}

} // namespace greengageseam
