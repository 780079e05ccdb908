/**
 * Tests of piece lists: which are rejected at once, and which of several are kept.
 */
#include "core/common/hashing.h"
#include "core/weights/weights.h"

#include <catch2/catch.hpp>

namespace greengageseam {
namespace {

class ListCandidatesFixture
{
protected:
    /** @returns a list of two pieces, the second of which tells the lists apart */
    static PieceList list(const std::string &second)
    {
        return {ModelName("m"), 2, 1024, {digestOf("first"), digestOf(second)}};
    }

    static Digest manifestOf(const std::string &second)
    {
        return ListCandidate(list(second)).digest();
    }

    static bool isRejected(const PieceList &list)
    {
        const PieceListFormat format {ModelName("m"), 2, 2, 1024};
        const auto checked = checkedPieceList(list, format);
        const Failure *failure = failureOf(checked);
        return failure != nullptr && failure->kind == ErrorKind::CorruptData;
    }
};

TEST_CASE_METHOD(ListCandidatesFixture, "checkedPieceList_asConfigured_isAccepted")
{
    REQUIRE_FALSE(isRejected(list("a")));
    const auto checked = checkedPieceList(list("a"), {ModelName("m"), 2, 0, 0});
    REQUIRE(std::get<PieceList>(checked) == list("a"));
}

TEST_CASE_METHOD(ListCandidatesFixture, "checkedPieceList_anyFieldSpoilt_isRejected")
{
    PieceList spoilt = list("a");
    SECTION("model")
    {
        spoilt.model = ModelName("n");
    }
    SECTION("version")
    {
        spoilt.version = 3;
    }
    SECTION("size of pieces")
    {
        spoilt.pieceBytes = 1025;
    }
    SECTION("number of pieces")
    {
        spoilt.digests.pop_back();
    }
    SECTION("no pieces")
    {
        spoilt.digests.clear();
    }
    SECTION("digest")
    {
        spoilt.digests[1] = Digest(spoilt.digests[1].text().substr(1));
    }
    REQUIRE(isRejected(spoilt));
}

TEST_CASE_METHOD(ListCandidatesFixture, "listCandidates_sameListAgain_isKeptOnceAndNewest")
{
    const ListCandidates lists = ListCandidates().with(list("a")).with(list("b")).with(list("a"));
    REQUIRE(lists.all().size() == 2);
    REQUIRE(lists.all().front().list() == list("a"));
}

TEST_CASE_METHOD(ListCandidatesFixture, "listCandidates_tooManyDiffer_oldestIsDropped")
{
    ListCandidates lists;
    for (const std::string second : {"a", "b", "c", "d"}) {
        lists = lists.with(list(second));
    }
    REQUIRE(lists.all().size() == maxListCandidates);
    REQUIRE(lists.find(manifestOf("a")) == nullptr);
    REQUIRE(lists.find(manifestOf("d")) != nullptr);
}

TEST_CASE_METHOD(ListCandidatesFixture, "listCandidates_oneIsComplete_othersAreDropped")
{
    const ListCandidates lists = ListCandidates().with(list("a")).with(list("b"));
    REQUIRE(lists.reducedTo({manifestOf("c")}) == lists);
    const ListCandidates reduced = lists.reducedTo({manifestOf("a")});
    REQUIRE(reduced == ListCandidates().with(list("a")));
    REQUIRE(reduced.completeIn({manifestOf("a")}) != nullptr);
    REQUIRE(reduced.completeIn({}) == nullptr);
}

} // namespace
} // namespace greengageseam
