/**
 * Compares the evidence against prompt parts, merged in any order by several entries, with a naive
 * twin that keeps all reports and judges them from scratch.
 */
#include "core/fleet/fleet.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>
#include <set>

namespace greengageseam {
namespace {

/** Keeps all reports as they came; small enough to be seen to be right. */
class NaiveEvidence
{
public:
    void add(const CrashEvent &report) { m_reports.push_back(report); }

    std::vector<PromptPartId> condemned() const
    {
        std::set<ReplicaIncarnation> explained;
        std::vector<PromptPartId> found;
        while (true) {
            std::optional<std::tuple<std::size_t, std::size_t, std::uint32_t, PromptPartId>> most;
            for (const PromptPartId &part : parts()) {
                const auto crashes = crashesWith(part, explained);
                const std::size_t moments = momentsOf(crashes);
                const CrashEvidenceOptions limits;
                if (moments < (wasSound(part) ? limits.minMomentsIfWasSound : limits.minMoments)) {
                    continue;
                }
                most = std::max(
                        most,
                        std::optional(std::tuple(moments, crashes.size(), depthOf(part), part)));
            }
            if (!most) {
                return found;
            }
            found.push_back(std::get<PromptPartId>(*most));
            for (const auto &[incarnation, at] : crashesWith(found.back(), explained)) {
                explained.insert(incarnation);
            }
        }
    }

private:
    std::set<PromptPartId> parts() const
    {
        std::set<PromptPartId> all;
        for (const CrashEvent &report : m_reports) {
            for (const auto &[part, suspicion] : report.suspects) {
                all.insert(part);
            }
        }
        return all;
    }

    std::map<ReplicaIncarnation, Instant>
    crashesWith(const PromptPartId &part, const std::set<ReplicaIncarnation> &without) const
    {
        std::map<ReplicaIncarnation, Instant> crashes;
        for (const CrashEvent &report : m_reports) {
            const auto it = report.suspects.find(part);
            if (it != report.suspects.end() && !without.contains(report.incarnation)
                && !isCleared(part, report.incarnation)) {
                const auto [known, isNew] = crashes.emplace(report.incarnation, it->second.at);
                known->second = std::min(known->second, it->second.at);
            }
        }
        return crashes;
    }

    bool isCleared(const PromptPartId &part, const ReplicaIncarnation &incarnation) const
    {
        return std::any_of(m_reports.begin(), m_reports.end(), [&](const CrashEvent &report) {
            const auto it = report.suspects.find(part);
            return report.incarnation == incarnation && it != report.suspects.end()
                    && it->second.isCleared;
        });
    }

    static std::size_t momentsOf(const std::map<ReplicaIncarnation, Instant> &crashes)
    {
        std::set<Instant> times;
        for (const auto &[incarnation, at] : crashes) {
            times.insert(at);
        }
        std::size_t moments = 0;
        while (!times.empty()) {
            ++moments;
            times.erase(times.begin(),
                        times.lower_bound(*times.begin() + CrashEvidenceOptions().momentLength));
        }
        return moments;
    }

    bool wasSound(const PromptPartId &part) const
    {
        return std::any_of(m_reports.begin(), m_reports.end(), [&](const CrashEvent &report) {
            const auto it = report.suspects.find(part);
            return it != report.suspects.end() && (it->second.wasSound || it->second.isCleared);
        });
    }

    std::uint32_t depthOf(const PromptPartId &part) const
    {
        std::uint32_t depth = 0;
        for (const CrashEvent &report : m_reports) {
            const auto it = report.suspects.find(part);
            depth = it == report.suspects.end() ? depth : std::max(depth, it->second.depth);
        }
        return depth;
    }

    std::vector<CrashEvent> m_reports;
};

class CrashEvidenceTwinFixture
{
protected:
    static CrashEvent randomReport()
    {
        CrashEvent report {{ReplicaId(std::to_string(*rc::gen::inRange(0, 12))), 1}, {}};
        const int parts = *rc::gen::inRange(1, 4);
        for (int n = 0; n < parts; ++n) {
            const PromptPartId part(std::to_string(*rc::gen::inRange(0, 6)));
            const Duration time = std::chrono::milliseconds(100) * *rc::gen::inRange(1, 60);
            report.suspects[part] = {Instant(time), *rc::gen::inRange<std::uint32_t>(0, 4),
                                     *rc::gen::inRange(0, 12) == 0, *rc::gen::inRange(0, 12) == 0};
        }
        return report;
    }

    static std::vector<PromptPartId> condemnedBy(const CrashEvidence &evidence)
    {
        std::vector<PromptPartId> parts;
        for (const CondemnedPart &one : evidence.judge(SoundParts()).condemned) {
            parts.push_back(one.part);
        }
        return parts;
    }
};

TEST_CASE_METHOD(CrashEvidenceTwinFixture, "crashEvidence_anyOrderAndRepeats_judgesLikeTheTwin")
{
    rc::prop("entries that got the same reports, in any order and more than once, judge alike", [] {
        const Instant now(std::chrono::seconds(10));
        std::vector<CrashEvent> reports(*rc::gen::inRange<std::size_t>(0, 40));
        std::generate(reports.begin(), reports.end(), randomReport);
        NaiveEvidence twin;
        CrashEvidence first;
        for (const CrashEvent &report : reports) {
            twin.add(report);
            first.merge(report, now);
        }
        CrashEvidence second;
        std::reverse(reports.begin(), reports.end());
        for (std::size_t n = 0; n < reports.size(); ++n) {
            second.merge(reports[n], now);
            second.merge(reports[n / 2], now);
        }
        RC_ASSERT(first.events() == second.events());
        RC_ASSERT(first.checksum() == second.checksum());
        RC_ASSERT(condemnedBy(first) == twin.condemned());
        RC_ASSERT(condemnedBy(second) == twin.condemned());
        // A third entry that hears all from the first one, as events, knows the same.
        CrashEvidence third;
        for (const CrashEvent &event : first.events()) {
            RC_ASSERT(third.merge(event, now));
            RC_ASSERT(!third.merge(event, now));
        }
        RC_ASSERT(third.events() == first.events());
    });
}

} // namespace
} // namespace greengageseam
