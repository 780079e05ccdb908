#include "core/weights/listcandidates.h"

#include "core/common/hashing.h"

#include <algorithm>

namespace greengageseam {

namespace {

Manifest manifestOf(const PieceList &list)
{
    std::vector<Chunk> chunks;
    chunks.reserve(list.digests.size());
    for (const Digest &digest : list.digests) {
        chunks.push_back({digest, list.pieceBytes});
    }
    return Manifest(std::move(chunks));
}

} // namespace

Outcome<PieceList> checkedPieceList(PieceList list, const PieceListFormat &format)
{
    const bool isOtherVersion = list.model != format.model || list.version != format.version;
    if (isOtherVersion) {
        return Failure {ErrorKind::CorruptData, "the piece list names another model or version"};
    }
    const bool isOtherCount = format.pieceCount != 0 && list.digests.size() != format.pieceCount;
    const bool isOtherSize = format.pieceBytes != 0 && list.pieceBytes != format.pieceBytes;
    if (list.digests.empty() || isOtherCount || isOtherSize) {
        return Failure {ErrorKind::CorruptData,
                        "the piece list has another number or size of pieces than configured"};
    }
    const bool hasOnlyDigests =
            std::all_of(list.digests.begin(), list.digests.end(),
                        [](const Digest &digest) { return isDigest(digest.text()); });
    if (!hasOnlyDigests) {
        return Failure {ErrorKind::CorruptData, "the piece list contains a malformed digest"};
    }
    return list;
}

ListCandidate::ListCandidate(PieceList list)
    : m_list(std::move(list)), m_manifest(manifestOf(m_list)), m_digest(m_manifest.digest())
{ }

ListCandidates ListCandidates::with(PieceList list) const
{
    ListCandidates next;
    next.m_all.emplace_back(std::move(list));
    for (const ListCandidate &it : m_all) {
        const bool isKept = next.m_all.size() < maxListCandidates && it != next.m_all.front();
        if (isKept) {
            next.m_all.push_back(it);
        }
    }
    return next;
}

ListCandidates ListCandidates::reducedTo(const std::set<Digest> &complete) const
{
    if (completeIn(complete) == nullptr) {
        return *this;
    }
    ListCandidates next = *this;
    std::erase_if(next.m_all, [&](const auto &it) { return !complete.contains(it.digest()); });
    return next;
}

const ListCandidate *ListCandidates::find(const Digest &digest) const
{
    const auto it = std::find_if(m_all.begin(), m_all.end(),
                                 [&](const auto &one) { return one.digest() == digest; });
    return it == m_all.end() ? nullptr : &*it;
}

const ListCandidate *ListCandidates::completeIn(const std::set<Digest> &complete) const
{
    const auto it = std::find_if(m_all.begin(), m_all.end(),
                                 [&](const auto &one) { return complete.contains(one.digest()); });
    return it == m_all.end() ? nullptr : &*it;
}

} // namespace greengageseam
