#include "core/fleet/partverdicts.h"

namespace greengageseam {

namespace {

/** Time within which a suspicion is settled, if requests with the part keep coming. */
constexpr auto suspicionTime = std::chrono::seconds(2);

} // namespace

PartVerdicts::PartVerdicts(const CrashJudgement &judgement)
    : m_suspected(judgement.suspected.begin(), judgement.suspected.end())
{
    for (const CondemnedPart &condemned : judgement.condemned) {
        m_condemned.emplace(condemned.part, condemned.until);
    }
}

std::optional<PartRejection> PartVerdicts::check(const std::vector<PromptPartId> &parts,
                                                 bool wasLost, Instant now) const
{
    for (const PromptPartId &part : parts) {
        const auto it = m_condemned.find(part);
        if (it != m_condemned.end() && now < it->second) {
            return PartRejection {PartRejectionCause::Condemned, it->second - now};
        }
        if (wasLost && m_suspected.contains(part)) {
            return PartRejection {PartRejectionCause::Suspected, suspicionTime};
        }
    }
    return std::nullopt;
}

std::string_view textOf(PartRejectionCause cause)
{
    return cause == PartRejectionCause::Condemned ? "condemned" : "suspected";
}

} // namespace greengageseam
