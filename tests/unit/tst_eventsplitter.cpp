/**
 * Tests of the splitting of event streams into complete events.
 */
#include "core/fleet/fleet.h"

#include <catch2/catch.hpp>

namespace greengageseam {
namespace {

class EventSplitterFixture
{
protected:
    static std::string event(int id) { return "id: " + std::to_string(id) + "\ndata: x\n\n"; }

    EventSplitter m_splitter;
};

TEST_CASE_METHOD(EventSplitterFixture, "splitter_eventInTwoParts_isReturnedComplete")
{
    const std::string bytes = event(1);
    REQUIRE(m_splitter.feed(bytes.substr(0, 7)).count == 0);
    REQUIRE(m_splitter.hasPartial());
    const CompleteEvents complete = m_splitter.feed(bytes.substr(7));
    REQUIRE(complete.bytes == bytes);
    REQUIRE_FALSE(m_splitter.hasPartial());
}

TEST_CASE_METHOD(EventSplitterFixture, "splitter_everySplitOfAStream_returnsTheSameEvents")
{
    const std::string bytes = event(1) + event(2) + "weight-versions: 3\nid: 3\ndata: y\n\n";
    for (std::size_t first = 0; first < bytes.size(); ++first) {
        for (std::size_t second = first; second < bytes.size(); ++second) {
            EventSplitter splitter;
            std::string received = splitter.feed(bytes.substr(0, first)).bytes;
            received += splitter.feed(bytes.substr(first, second - first)).bytes;
            received += splitter.feed(bytes.substr(second)).bytes;
            REQUIRE(received == bytes);
            REQUIRE(splitter.lastId() == 3);
        }
    }
}

TEST_CASE_METHOD(EventSplitterFixture,
                 "splitter_attemptBreaksWithinEvent_nextContinuesAfterLastComplete")
{
    m_splitter.feed(event(1) + event(2) + "id: 3\nda");
    REQUIRE(m_splitter.lastId() == 2);
    m_splitter.beginAttempt();
    REQUIRE(m_splitter.feed(event(3)).bytes == event(3));
    REQUIRE_FALSE(m_splitter.isOutOfOrder());
}

TEST_CASE_METHOD(EventSplitterFixture, "splitter_nextAttemptRepeatsEvents_dropsThem")
{
    m_splitter.feed(event(1) + event(2));
    m_splitter.beginAttempt();
    REQUIRE(m_splitter.feed(event(1) + event(2) + event(3)).bytes == event(3));
}

TEST_CASE_METHOD(EventSplitterFixture, "splitter_eventIsMissing_reportsGap")
{
    m_splitter.feed(event(1));
    m_splitter.feed(event(3));
    REQUIRE(m_splitter.isOutOfOrder());
}

TEST_CASE_METHOD(EventSplitterFixture, "splitter_eventIsOutOfOrder_nextAttemptResumesBeforeIt")
{
    const std::string wrong = GENERATE(event(4), event(2), event(1), event(4) + event(3));
    REQUIRE(m_splitter.feed(event(1) + event(2) + wrong).bytes == event(1) + event(2));
    REQUIRE(m_splitter.isOutOfOrder());
    REQUIRE(m_splitter.lastId() == 2);
    m_splitter.beginAttempt();
    REQUIRE(m_splitter.feed(event(3)).bytes == event(3));
    REQUIRE_FALSE(m_splitter.isOutOfOrder());
}

TEST_CASE_METHOD(EventSplitterFixture, "splitter_resumedStreamBeginsWithoutAnId_isOutOfOrder")
{
    m_splitter.feed(event(1));
    m_splitter.beginAttempt();
    REQUIRE(m_splitter.feed("data: other\n\n").count == 0);
    REQUIRE(m_splitter.isOutOfOrder());
}

TEST_CASE_METHOD(EventSplitterFixture, "splitter_resumedStreamBeginsWithAComment_isInOrder")
{
    m_splitter.feed(event(1));
    m_splitter.beginAttempt();
    REQUIRE(m_splitter.feed(": wait\r\n\r\n" + event(2)).count == 2);
    REQUIRE_FALSE(m_splitter.isOutOfOrder());
}

TEST_CASE_METHOD(EventSplitterFixture, "streamEnd_afterAndInsideAnEvent_areToldApart")
{
    REQUIRE(endsWithEvent("a\n\n"));
    REQUIRE(endsWithEvent("\r\n\r\n"));
    REQUIRE_FALSE(endsWithEvent("data"));
    REQUIRE_FALSE(endsWithEvent("a\r\n"));
    REQUIRE_FALSE(endsWithEvent(""));
}

TEST_CASE_METHOD(EventSplitterFixture, "splitter_eventWithoutEnd_isOverlongAtTheLimit")
{
    const std::string part(1024, 'x');
    m_splitter.feed(event(1) + "id: 2\ndata: ");
    std::size_t bytes = 0;
    for (; bytes < 1024 * 1024 && !m_splitter.isOverlong(); bytes += part.size()) {
        REQUIRE(m_splitter.feed(part).count == 0);
    }
    REQUIRE(bytes == 256 * 1024);
    m_splitter.beginAttempt();
    REQUIRE_FALSE(m_splitter.isOverlong());
}

TEST_CASE_METHOD(EventSplitterFixture, "splitter_carriageReturns_endAnEvent")
{
    const CompleteEvents complete = m_splitter.feed("id: 1\r\ndata: x\r\n\r\nid: 2");
    REQUIRE(complete.count == 1);
    REQUIRE(m_splitter.lastId() == 1);
}

} // namespace
} // namespace greengageseam
