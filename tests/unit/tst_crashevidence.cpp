/**
 * Tests of the evidence against prompt parts that crash backend servers, and of what must not
 * condemn a part.
 */
#include "core/fleet/fleet.h"
#include "protocol/datagramcodec.h"

#include <catch2/catch.hpp>

namespace greengageseam {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

class CrashEvidenceFixture
{
protected:
    static PromptPartId part(const std::string &text) { return PromptPartId(text); }

    static Instant at(Duration time) { return Instant(std::chrono::hours(1) + time); }

    /** A server crashes while requests with these parts, in this order, have not begun there. */
    void crash(int server, Duration time, const std::vector<std::string> &parts,
               bool wasSound = false)
    {
        CrashEvent event {{ReplicaId("i-" + std::to_string(server)), 1}, {}};
        std::uint32_t depth = 0;
        for (const std::string &text : parts) {
            event.suspects[part(text)] = {at(time), depth++, wasSound, false};
        }
        m_evidence.merge(event, at(time));
    }

    std::vector<std::string> condemned() const
    {
        std::vector<std::string> parts;
        for (const CondemnedPart &one : m_evidence.judge(m_sound).condemned) {
            parts.push_back(one.part.text());
        }
        return parts;
    }

    CrashEvidence m_evidence;
    SoundParts m_sound;
};

TEST_CASE_METHOD(CrashEvidenceFixture, "judge_partInThreeCrashes_isCondemnedForTheLifetime")
{
    crash(1, seconds(1), {"aa", "dd"});
    crash(2, seconds(2), {"bb", "dd"});
    REQUIRE(condemned().empty());
    REQUIRE(m_evidence.judge(m_sound).suspected == std::vector<PromptPartId> {part("dd")});
    crash(3, seconds(3), {"cc", "dd"});
    const CrashJudgement judgement = m_evidence.judge(m_sound);
    REQUIRE(condemned() == std::vector<std::string> {"dd"});
    REQUIRE(judgement.condemned.front().crashed.size() == 3);
    REQUIRE(judgement.condemned.front().until == at(seconds(1) + minutes(10)));
    REQUIRE(judgement.suspected.empty());
}

TEST_CASE_METHOD(CrashEvidenceFixture, "judge_manyServersCrashAtOnce_condemnsNothing")
{
    for (int n = 0; n < 40; ++n) {
        crash(n, milliseconds(n), {"aa", "bb"});
    }
    crash(50, seconds(5), {"aa", "bb"});
    REQUIRE(condemned().empty());
}

TEST_CASE_METHOD(CrashEvidenceFixture, "judge_oneServerLosesRequestsAgainAndAgain_condemnsNothing")
{
    for (int n = 0; n < 10; ++n) {
        crash(1, seconds(n), {"aa", "bb"});
    }
    REQUIRE(condemned().empty());
}

TEST_CASE_METHOD(CrashEvidenceFixture, "judge_partAnsweredAfterTheCrashes_isNotCondemned")
{
    for (int n = 0; n < 4; ++n) {
        crash(n, seconds(n), {"aa"});
    }
    REQUIRE(condemned() == std::vector<std::string> {"aa"});
    m_sound.record(part("aa"), at(seconds(5)));
    REQUIRE(condemned().empty());
}

// Two deadly parts behind one beginning: the beginning explains more crashes than either.
TEST_CASE_METHOD(CrashEvidenceFixture,
                 "judge_beginningClearedByAnotherEntry_condemnsTheDeadlyParts")
{
    for (int n = 1; n <= 4; ++n) {
        crash(n, seconds(n), {"aa", "dd"});
        crash(n + 10, seconds(n) + milliseconds(500), {"aa", "ee"});
    }
    REQUIRE(condemned() == std::vector<std::string> {"aa"});
    for (CrashEvent event : m_evidence.events()) {
        event.suspects[part("aa")].isCleared = true;
        REQUIRE(m_evidence.merge(event, at(seconds(6))));
        REQUIRE_FALSE(m_evidence.merge(event, at(seconds(6))));
    }
    REQUIRE(condemned() == std::vector<std::string> {"ee", "dd"});
}

TEST_CASE_METHOD(CrashEvidenceFixture, "clear_partAnswered_isClearedOfTheCrashesBefore")
{
    for (int n = 1; n <= 4; ++n) {
        crash(n, seconds(n), {"dd"});
    }
    REQUIRE(m_evidence.clear(part("dd"), at(seconds(2))).size() == 2);
    REQUIRE(m_evidence.clear(part("dd"), at(seconds(2))).empty());
    REQUIRE(condemned().empty());
}

TEST_CASE_METHOD(CrashEvidenceFixture, "judge_partAnsweredBefore_needsMoreCrashes")
{
    m_sound.record(part("aa"), at(seconds(0)));
    for (int n = 1; n <= 7; ++n) {
        crash(n, seconds(n), {"aa"});
    }
    REQUIRE(condemned().empty());
    crash(8, seconds(8), {"aa"});
    REQUIRE(condemned() == std::vector<std::string> {"aa"});
}

TEST_CASE_METHOD(CrashEvidenceFixture, "judge_partAnsweredBeforeAtAnotherEntry_needsMoreCrashes")
{
    for (int n = 1; n <= 7; ++n) {
        crash(n, seconds(n), {"aa"}, n == 4);
    }
    REQUIRE(condemned().empty());
}

TEST_CASE_METHOD(CrashEvidenceFixture, "judge_soundPartsBesideADeadlyOne_areNotCondemned")
{
    m_sound.record(part("aa"), at(seconds(0)));
    for (int n = 1; n <= 6; ++n) {
        crash(n, seconds(n), {"aa", n < 6 ? "bb" : "cc", "dd"});
    }
    REQUIRE(condemned() == std::vector<std::string> {"dd"});
}

// Without an answer yet, nothing but the depth tells the deadly part from what all requests share.
TEST_CASE_METHOD(CrashEvidenceFixture, "judge_deadlyPartBehindASharedBeginning_condemnsTheDeepest")
{
    for (int n = 1; n <= 4; ++n) {
        crash(n, seconds(n), {"aa", "dd"});
    }
    REQUIRE(condemned() == std::vector<std::string> {"dd"});
}

TEST_CASE_METHOD(CrashEvidenceFixture, "judge_twoDeadlyParts_condemnsBoth")
{
    for (int n = 1; n <= 4; ++n) {
        crash(n, seconds(n), {"aa" + std::to_string(n), "dd"});
        crash(n + 10, seconds(n) + milliseconds(500), {"aa" + std::to_string(n), "ee"});
    }
    REQUIRE(condemned() == std::vector<std::string> {"ee", "dd"});
}

TEST_CASE_METHOD(CrashEvidenceFixture, "expire_evidenceOlderThanItsLifetime_releasesThePart")
{
    for (int n = 1; n <= 4; ++n) {
        crash(n, seconds(n), {"dd"});
    }
    m_evidence.expire(at(minutes(10) + milliseconds(1500)));
    REQUIRE(condemned() == std::vector<std::string> {"dd"});
    m_evidence.expire(at(minutes(10) + milliseconds(2500)));
    REQUIRE(condemned().empty());
    m_evidence.expire(at(minutes(11)));
    REQUIRE(m_evidence.isEmpty());
    crash(1, seconds(1), {"dd"});
    REQUIRE_FALSE(m_evidence.merge(
            {{ReplicaId("i-9"), 1}, {{part("dd"), {at(seconds(1)), 0, false, false}}}},
            at(minutes(20))));
}

TEST_CASE_METHOD(CrashEvidenceFixture, "merge_moreThanTheLimits_staysBounded")
{
    std::vector<std::string> parts;
    parts.reserve(100);
    for (int n = 0; n < 100; ++n) {
        parts.push_back(std::to_string(n));
    }
    for (int n = 0; n < 200; ++n) {
        crash(n, seconds(n), parts);
    }
    const CrashEvidenceOptions limits;
    REQUIRE(m_evidence.events().size() == limits.maxEvents);
    REQUIRE(m_evidence.events().front().suspects.size() == limits.maxSuspects);
}

TEST_CASE_METHOD(CrashEvidenceFixture, "soundParts_moreThanTheLimit_keepsTheNewest")
{
    SoundParts sound(minutes(10), 4);
    for (int n = 0; n < 20; ++n) {
        sound.record(part(std::to_string(n)), at(seconds(n)));
    }
    REQUIRE(sound.lastSeen(part("19")) == at(seconds(19)));
    REQUIRE_FALSE(sound.lastSeen(part("5")));
}

TEST_CASE_METHOD(CrashEvidenceFixture, "verdicts_condemnedPart_isRejectedUntilItsEnd")
{
    const PartVerdicts verdicts(CrashJudgement {{{part("dd"), at(seconds(9)), 3, {}}}, {}});
    const std::vector<PromptPartId> deadly {part("aa"), part("dd")};
    const auto rejection = verdicts.check(deadly, false, at(seconds(4)));
    REQUIRE(rejection == PartRejection {PartRejectionCause::Condemned, seconds(5)});
    REQUIRE_FALSE(verdicts.check(deadly, false, at(seconds(9))));
    REQUIRE_FALSE(verdicts.check({part("aa")}, true, at(seconds(4))));
}

TEST_CASE_METHOD(CrashEvidenceFixture, "verdicts_suspectedPart_isRejectedOnlyAfterALoss")
{
    const PartVerdicts verdicts(CrashJudgement {{}, {part("dd")}});
    REQUIRE_FALSE(verdicts.check({part("dd")}, false, at(seconds(4))));
    const auto rejection = verdicts.check({part("dd")}, true, at(seconds(4)));
    REQUIRE(rejection->cause == PartRejectionCause::Suspected);
}

TEST_CASE_METHOD(CrashEvidenceFixture, "sharedParts_lastPart_belongsToTheRequest")
{
    REQUIRE(sharedParts({}).empty());
    REQUIRE(sharedParts({{part("aa"), 1}}).empty());
    REQUIRE(sharedParts({{part("aa"), 1}, {part("bb"), 2}, {part("cc"), 3}})
            == std::vector<PromptPartId> {part("aa"), part("bb")});
}

TEST_CASE_METHOD(CrashEvidenceFixture, "crashReport_beyondTheLimits_isRejected")
{
    ReportedCrash crash {{ReplicaId("i-1"), 1}, {}};
    crash.suspects.push_back({part(std::string(65, 'a')), seconds(1), 0, false, false});
    const auto tooLong =
            toOutcome([&] { return decodeDatagram(encodeDatagram(CrashReport {{crash}})); });
    REQUIRE(failureOf(tooLong)->kind == ErrorKind::ProtocolViolation);
    crash.suspects.assign(65, {part("aa"), seconds(1), 0, false, false});
    const auto tooMany =
            toOutcome([&] { return decodeDatagram(encodeDatagram(CrashReport {{crash}})); });
    REQUIRE(failureOf(tooMany)->kind == ErrorKind::ProtocolViolation);
}

} // namespace
} // namespace greengageseam
