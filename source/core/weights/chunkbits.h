/**
 * A bitfield of the chunks of a manifest that a process has stored. It is compact enough for peers
 * to announce it often.
 */
#pragma once

#include <compare>
#include <cstddef>
#include <string>
#include <vector>

namespace greengageseam {

/** An immutable bitfield with one bit per chunk, in the order of the manifest. */
class ChunkBits
{
public:
    ChunkBits() = default;
    /** @param packed the packed form of a bitfield, as packed() returns it */
    explicit ChunkBits(std::string packed);
    /** @param present whether each chunk is present */
    explicit ChunkBits(const std::vector<bool> &present);

    /** @returns whether the chunk at @p index is present; false if the index is out of range */
    bool has(std::size_t index) const;
    /** @returns the number of chunks that are present */
    std::size_t count() const;
    /** @returns a copy with the bit of the chunk at @p index cleared */
    ChunkBits without(std::size_t index) const;
    /** @returns the packed form: eight chunks per byte, the first chunk in the lowest bit */
    const std::string &packed() const { return m_packed; }

    auto operator<=>(const ChunkBits &) const = default;

private:
    std::string m_packed;
};

} // namespace greengageseam
