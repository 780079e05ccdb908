#include "core/weights/manifest.h"

#include <charconv>

namespace greengageseam {

namespace {

Result<Chunk> parseLine(std::string_view line)
{
    const std::size_t n = line.find(' ');
    if (n == std::string_view::npos || !isDigest(line.substr(0, n))) {
        return fail(ErrorKind::CorruptData,
                    "malformed manifest: a line does not start with a digest");
    }
    const std::string_view number = line.substr(n + 1);
    std::uint64_t size = 0;
    const auto [rest, ec] = std::from_chars(number.data(), number.data() + number.size(), size);
    if (ec != std::errc() || rest != number.data() + number.size() || size == 0
        || size > maxChunkBytes) {
        return fail(ErrorKind::CorruptData,
                    "malformed manifest: a chunk's size is missing or out of range");
    }
    return Chunk {Digest(std::string(line.substr(0, n))), size};
}

} // namespace

Manifest::Manifest(std::vector<Chunk> chunks) : m_chunks(std::move(chunks)) { }

std::uint64_t Manifest::totalBytes() const
{
    std::uint64_t sum = 0;
    for (const Chunk &chunk : m_chunks) {
        sum += chunk.size;
    }
    return sum;
}

std::string Manifest::text() const
{
    std::string text;
    for (const Chunk &chunk : m_chunks) {
        text += chunk.digest.text() + " " + std::to_string(chunk.size) + "\n";
    }
    return text;
}

Digest Manifest::digest() const
{
    return digestOf(text());
}

Result<Manifest> parseManifest(std::string_view text, const Digest &expected)
{
    if (digestOf(text) != expected) {
        return fail(ErrorKind::CorruptData, "the manifest does not match its digest");
    }
    std::vector<Chunk> chunks;
    while (!text.empty()) {
        const std::size_t n = text.find('\n');
        if (n == std::string_view::npos || chunks.size() == maxManifestChunks) {
            return fail(ErrorKind::CorruptData, "the manifest is truncated or has too many chunks");
        }
        BOOST_LEAF_AUTO(chunk, parseLine(text.substr(0, n)));
        chunks.push_back(chunk);
        text.remove_prefix(n + 1);
    }
    return Manifest(std::move(chunks));
}

} // namespace greengageseam
