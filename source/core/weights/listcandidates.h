/**
 * The piece lists that a process has received for one version. Nothing but the pieces themselves
 * shows whether a list is intact, so that lists that differ are kept until the pieces of one of
 * them are complete.
 */
#pragma once

#include "core/common/errors.h"
#include "core/fleet/pieces.h"
#include "core/weights/manifest.h"

#include <set>
#include <vector>

namespace greengageseam {

/** What the piece list of a version must look like, as far as it is known beforehand. */
struct PieceListFormat
{
    ModelName model;
    std::uint64_t version = 0;
    /** Number of pieces; 0 if it is not known. */
    std::uint32_t pieceCount = 0;
    /** Size of each piece in bytes; 0 if it is not known. */
    std::uint64_t pieceBytes = 0;

    auto operator<=>(const PieceListFormat &) const = default;
};

/** @returns the list, or CorruptData if it has another format */
Outcome<PieceList> checkedPieceList(PieceList list, const PieceListFormat &format);

/** A piece list with the manifest that is built from it: each piece becomes a chunk. */
class ListCandidate
{
public:
    explicit ListCandidate(PieceList list);

    const PieceList &list() const { return m_list; }
    const Manifest &manifest() const { return m_manifest; }
    /** @returns the digest of the manifest */
    const Digest &digest() const { return m_digest; }

    auto operator<=>(const ListCandidate &) const = default;

private:
    PieceList m_list;
    Manifest m_manifest;
    Digest m_digest;
};

/** Maximum number of different lists that are kept for a version. */
constexpr std::size_t maxListCandidates = 3;

/** The different lists of one version. */
class ListCandidates
{
public:
    /** @returns these lists with a further one, which is the newest even if it was there before */
    ListCandidates with(PieceList list) const;
    /** @returns only the lists whose manifests are complete, or all of them if none is */
    ListCandidates reducedTo(const std::set<Digest> &complete) const;

    /** @returns the lists, the one that was received last first */
    const std::vector<ListCandidate> &all() const { return m_all; }
    /** @returns the list with this digest of its manifest, or null */
    const ListCandidate *find(const Digest &digest) const;
    /** @returns a list whose manifest is complete, or null */
    const ListCandidate *completeIn(const std::set<Digest> &complete) const;

    auto operator<=>(const ListCandidates &) const = default;

private:
    /** Invariant: at most maxListCandidates, all of them different. */
    std::vector<ListCandidate> m_all;
};

} // namespace greengageseam
