/**
 * Manifests: the ordered lists of the chunks that make up the weights of a version.
 */
#pragma once

#include "core/common/common.h"

#include <cstdint>
#include <string>
#include <vector>

namespace greengageseam {

/** A chunk of weights, identified by its digest. */
struct Chunk
{
    Digest digest;
    /** Size in bytes. */
    std::uint64_t size = 0;

    auto operator<=>(const Chunk &) const = default;
};

/** The ordered chunks of one version. The digest of its canonical text identifies it. */
class Manifest
{
public:
    Manifest() = default;
    explicit Manifest(std::vector<Chunk> chunks);

    /** @returns the chunks in the order in which they are concatenated */
    const std::vector<Chunk> &chunks() const { return m_chunks; }
    /** @returns the total size of all chunks in bytes */
    std::uint64_t totalBytes() const;
    /** @returns the canonical text, as stored: one line per chunk with its digest and size */
    std::string text() const;
    /** @returns the digest of text(), which identifies the version */
    Digest digest() const;

    auto operator<=>(const Manifest &) const = default;

private:
    std::vector<Chunk> m_chunks;
};

/** Maximum size of a chunk in bytes. */
constexpr std::uint64_t maxChunkBytes = 64ULL * 1024 * 1024;
/** Maximum number of chunks in a manifest. */
constexpr std::size_t maxManifestChunks = 1'000'000;

/**
 * Parses and verifies the canonical text of a manifest.
 *
 * @param text the text as read from the store
 * @param expected the digest that the text must match
 * @returns the manifest; CorruptData if the digest does not match, the text is malformed, or a
 *          limit is exceeded
 */
Result<Manifest> parseManifest(std::string_view text, const Digest &expected);

} // namespace greengageseam
