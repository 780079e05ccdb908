/**
 * Manifests: the list of chunks that make up one version's weights.
 */
#pragma once

#include "core/common/common.h"

#include <cstdint>
#include <string>
#include <vector>

namespace greengageseam {

/** One chunk of weights, named by its digest. */
struct Chunk
{
    Digest digest;
    /** Size in bytes. */
    std::uint64_t size = 0;

    auto operator<=>(const Chunk &) const = default;
};

/** The chunks of one version in order; named by the digest of its canonical text. */
class Manifest
{
public:
    Manifest() = default;
    explicit Manifest(std::vector<Chunk> chunks);

    /** @returns the chunks in the order in which they make up the weights */
    const std::vector<Chunk> &chunks() const { return m_chunks; }
    /** @returns the sum of all chunks in bytes */
    std::uint64_t totalBytes() const;
    /** @returns the text that is stored: a line with digest and size for each chunk */
    std::string text() const;
    /** @returns the digest of text(), which names the version */
    Digest digest() const;

    auto operator<=>(const Manifest &) const = default;

private:
    std::vector<Chunk> m_chunks;
};

/** Largest size of a chunk in bytes. */
constexpr std::uint64_t maxChunkBytes = 64ULL * 1024 * 1024;
/** Largest number of chunks of a manifest. */
constexpr std::size_t maxManifestChunks = 1'000'000;

/**
 * Reads a manifest's text.
 * @param text what the store gave
 * @param expected the digest that the text must have
 * @returns the manifest, or CorruptData
 */
Result<Manifest> parseManifest(std::string_view text, const Digest &expected);

} // namespace greengageseam
