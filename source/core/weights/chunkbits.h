/**
 * Which chunks of a manifest a process holds, as a set of bits that is small enough to be sent
 * often.
 */
#pragma once

#include <compare>
#include <cstddef>
#include <string>
#include <vector>

namespace greengageseam {

/** One bit for each chunk of a manifest, in the manifest's order. */
class ChunkBits
{
public:
    ChunkBits() = default;
    /** @param packed bits as packed() gives them */
    explicit ChunkBits(std::string packed);
    /** @param held whether each chunk is held */
    explicit ChunkBits(const std::vector<bool> &present);

    /** @returns whether chunk @p index is held; false beyond the end */
    bool has(std::size_t index) const;
    /** @returns how many chunks are held */
    std::size_t count() const;
    /** @returns the bits without one of them */
    ChunkBits without(std::size_t index) const;
    /** @returns eight bits to a byte, the first chunk in the lowest bit */
    const std::string &packed() const { return m_packed; }

    auto operator<=>(const ChunkBits &) const = default;

private:
    std::string m_packed;
};

} // namespace greengageseam
