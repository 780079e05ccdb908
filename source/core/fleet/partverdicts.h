/**
 * Decides whether a request is rejected because of a part of its prompt.
 */
#pragma once

#include "core/fleet/crashevidence.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace greengageseam {

/** Why a request is rejected because of its prompt. */
enum class PartRejectionCause {
    /** A part crashes backend servers. */
    Condemned,
    /** A part is suspected, and the request itself was lost with a backend server. */
    Suspected,
};

/** Rejection of a request because of a part of its prompt. */
struct PartRejection
{
    PartRejectionCause cause = PartRejectionCause::Condemned;
    /** Time after which the rejection may no longer apply. */
    Duration retryAfter {};

    auto operator<=>(const PartRejection &) const = default;
};

/** The newest judgement, arranged for a look at each request. */
class PartVerdicts
{
public:
    PartVerdicts() = default;
    explicit PartVerdicts(const CrashJudgement &judgement);

    /**
     * @param parts the shared parts of the request's prompt
     * @param wasLost whether a connection was lost while the request was in flight and had not
     * begun
     * @returns the rejection; empty if the request may be sent
     */
    std::optional<PartRejection> check(const std::vector<PromptPartId> &parts, bool wasLost,
                                       Instant now) const;

private:
    std::map<PromptPartId, Instant> m_condemned;
    std::set<PromptPartId> m_suspected;
};

/** @returns `condemned` or `suspected` */
std::string_view textOf(PartRejectionCause cause);

} // namespace greengageseam
