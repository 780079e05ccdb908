/**
 * Choice of a backend server among those that serve the wanted version or service.
 */
#pragma once

#include "core/common/common.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace greengageseam {

/** A backend server that could take the request. */
struct BackendCandidate
{
    InstanceId instance;
    /** Requests that this entry has at the backend server now. */
    std::uint32_t ownInFlight = 0;
    /** Requests that the backend server last reported, those of other entries among them. */
    std::uint32_t reportedLoad = 0;

    auto operator<=>(const BackendCandidate &) const = default;
};

/** Random numbers handed in for one choice. */
struct ChoiceRandom
{
    std::uint64_t first = 0;
    std::uint64_t second = 0;

    auto operator<=>(const ChoiceRandom &) const = default;
};

/** Hook for the policy: @returns the index of the chosen candidate, or nothing if there is none. */
using ChooseBackend = std::function<std::optional<std::size_t>(
        const std::vector<BackendCandidate> &candidates, const ChoiceRandom &random)>;

/** Policy: the less loaded of two candidates drawn at random. */
std::optional<std::size_t> chooseOfTwo(const std::vector<BackendCandidate> &candidates,
                                       const ChoiceRandom &random);

} // namespace greengageseam
