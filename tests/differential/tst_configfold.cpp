/**
 * Compares the configuration fold of many processes with a sequential reference model. Operators
 * race, records arrive in arbitrary and overlapping batches, and processes join late from snapshots
 * in the log or from a peer.
 */
#include "core/config/config.h"
#include "protocol/configcodec.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace greengageseam {
namespace {

const std::string logId = "log-a";

/** Reference model: keeps everything in two maps and searches them for each change. */
class ReferenceTable
{
public:
    void apply(const ConfigChange &change, std::uint64_t offset)
    {
        if (verdicts.contains(change.id.text())) {
            return;
        }
        verdicts[change.id.text()] = evaluate(change, offset);
        if (verdicts[change.id.text()] == VerdictKind::Accepted) {
            for (const CellEdit &edit : change.edits) {
                cells[edit.path.text()] = {edit.value, offset};
            }
        }
    }

    std::map<std::string, std::pair<std::optional<std::string>, std::uint64_t>> cells;
    std::map<std::string, VerdictKind> verdicts;

private:
    VerdictKind evaluate(const ConfigChange &change, std::uint64_t offset) const
    {
        if (change.base.value >= offset) {
            return VerdictKind::Invalid;
        }
        for (const CellEdit &edit : change.edits) {
            const auto it = cells.find(edit.path.text());
            if (it != cells.end() && it->second.second > change.base.value) {
                return VerdictKind::Conflict;
            }
        }
        const bool isValid =
                std::all_of(change.edits.begin(), change.edits.end(), [](const CellEdit &edit) {
                    return edit.value.value_or("") != "wrong";
                });
        return isValid ? VerdictKind::Accepted : VerdictKind::Invalid;
    }
};

ConfigChange makeChange(std::uint64_t number, std::uint64_t applied)
{
    ConfigChange change;
    change.id = ChangeId("c" + std::to_string(number));
    change.author = OperatorName(*rc::gen::element<std::string>("ann", "bo", "cai"));
    const std::uint64_t lag = *rc::gen::inRange<std::uint64_t>(0, 6);
    change.base = Offset {applied - std::min(applied, lag)};
    std::set<std::string> services;
    for (auto n = *rc::gen::inRange(1, 4); n > 0; --n) {
        services.insert("service/s" + std::to_string(*rc::gen::inRange(0, 5)) + "/non-idempotent");
    }
    for (const std::string &path : services) {
        const std::string value =
                *rc::gen::weightedElement<std::string>({{6, "POST /a"}, {2, ""}, {1, "wrong"}});
        change.edits.push_back(
                {CellPath(path), value.empty() ? std::nullopt : std::optional(value)});
    }
    return change;
}

/** A log with racing changes, retries, snapshots of earlier offsets and unreadable records. */
class RandomLog
{
public:
    RandomLog()
    {
        states.push_back({});
        states.back().logId = logId;
        const auto n = *rc::gen::inRange<std::uint64_t>(5, 60);
        for (std::uint64_t offset = 1; offset <= n; ++offset) {
            records.push_back({Offset {offset}, makeEvent(offset)});
            states.push_back(foldRecord(states.back(), records.back()).state);
        }
    }

    std::vector<ConfigRecord> between(std::uint64_t from, std::uint64_t to) const
    {
        return {records.begin() + static_cast<std::ptrdiff_t>(from - 1),
                records.begin() + static_cast<std::ptrdiff_t>(to)};
    }

    std::uint64_t size() const { return records.size(); }

    std::vector<ConfigRecord> records;
    /** States by offset, folded record by record. */
    std::vector<ConfigState> states;
    ReferenceTable reference;

private:
    ConfigEvent makeEvent(std::uint64_t offset)
    {
        const int kind = *rc::gen::inRange(0, 10);
        if (kind == 0) {
            return decodeConfigEvent("{\"type\":");
        }
        if (kind <= 2) {
            const auto lastIncluded = *rc::gen::inRange<std::uint64_t>(offset / 2, offset);
            return decodeConfigEvent(encodeSnapshot(makeSnapshot(states[lastIncluded])));
        }
        const bool isRetry = kind == 3 && !m_changes.empty();
        m_changes.push_back(isRetry ? *rc::gen::elementOf(m_changes)
                                    : makeChange(offset, offset - 1));
        reference.apply(m_changes.back(), offset);
        return decodeConfigEvent(encodeChange(m_changes.back()));
    }

    std::vector<ConfigChange> m_changes;
};

/** Applies the records from @p from on to a fold, in random, overlapping batches. */
LogFold follow(LogFold fold, const RandomLog &log, std::uint64_t from, LogFindings &findings)
{
    const std::uint64_t first = from;
    while (from <= log.size()) {
        const std::uint64_t to = *rc::gen::inRange(from, log.size() + 1);
        const std::uint64_t repeatFrom = *rc::gen::inRange(first, from + 1);
        const Offset before = fold.state().applied;
        const std::vector<ConfigRecord> records = log.between(repeatFrom, to);
        const bool fromPeer = *rc::gen::arbitrary<bool>();
        const LogWindow window {logId, Offset {first}, Offset {to + 1}};
        fold = fromPeer ? fold.withPeerRecords(logId, records, findings)
                        : fold.withLogRecords(window, records, findings);
        RC_ASSERT(fold.state().applied >= before);
        from = to + 1;
    }
    return fold.withLogRecords({logId, Offset {first}, Offset {log.size() + 1}}, {}, findings);
}

/** @returns whether a log that starts at @p first has a snapshot from which it can be folded */
bool canStartAt(const RandomLog &log, std::uint64_t first)
{
    const auto records = log.between(first, log.size());
    return first == 1 || std::any_of(records.begin(), records.end(), [&](const auto &record) {
               const auto *snapshot = std::get_if<SnapshotRecord>(&record.event);
               return snapshot != nullptr && snapshot->lastIncluded.value + 1 >= first;
           });
}

/** Checks of processes that follow one log. */
class ConfigFoldFixture
{
protected:
    static void checkAgainstReference(const ConfigState &state, const ReferenceTable &reference)
    {
        for (const auto &[path, cell] : reference.cells) {
            RC_ASSERT(state.rawTable.value(CellPath(path)) == cell.first);
        }
        RC_ASSERT(state.verdicts.size() == reference.verdicts.size());
        for (const Verdict &verdict : state.verdicts) {
            RC_ASSERT(verdict.kind == reference.verdicts.at(verdict.change.text()));
        }
    }
};

TEST_CASE_METHOD(ConfigFoldFixture, "processes_racingOperators_agreeWithSequentialReference")
{
    const bool holds = rc::check("processes agree with the reference", [] {
        const RandomLog log;
        checkAgainstReference(log.states.back(), log.reference);
        for (int process = 0; process < 4; ++process) {
            LogFindings findings;
            const LogFold fold = follow({}, log, 1, findings);
            RC_ASSERT(fold.state() == log.states.back());
            RC_ASSERT(fold.isReady());
        }
    });
    REQUIRE(holds);
}

TEST_CASE_METHOD(ConfigFoldFixture, "process_joiningFromPeerSnapshot_agreesWithReference")
{
    const bool holds = rc::check("late joiners agree with the reference", [] {
        const RandomLog log;
        const auto lastIncluded = *rc::gen::inRange<std::uint64_t>(0, log.size() + 1);
        const auto from = *rc::gen::inRange<std::uint64_t>(1, lastIncluded + 2);
        LogFindings findings;
        LogFold fold;
        if (*rc::gen::arbitrary<bool>()) {
            fold = fold.withPeerRecords(logId, log.between(1, lastIncluded / 2), findings);
        }
        const LogFold restored =
                fold.withPeerSnapshot(makeSnapshot(log.states[lastIncluded]), findings);
        const LogFold followed = follow(restored, log, from, findings);
        RC_ASSERT(followed.state() == log.states.back());
        const LogFold older =
                followed.withPeerSnapshot(makeSnapshot(log.states[lastIncluded / 2]), findings);
        RC_ASSERT(older.state() == followed.state());
    });
    REQUIRE(holds);
}

TEST_CASE_METHOD(ConfigFoldFixture, "process_startingFromTrimmedLog_agreesOrStaysWithoutTable")
{
    const bool holds = rc::check("cold start from the log agrees with the reference", [] {
        const RandomLog log;
        const auto first = *rc::gen::inRange<std::uint64_t>(1, log.size() + 1);
        LogFindings findings;
        const LogFold fold = follow({}, log, first, findings);
        RC_CLASSIFY(first > 1 && canStartAt(log, first), "from a snapshot in the log");
        if (canStartAt(log, first)) {
            RC_ASSERT(fold.state() == log.states.back());
            RC_ASSERT(fold.isReady());
        } else {
            RC_ASSERT(!fold.isReady());
            RC_ASSERT(findings.alarms.back().kind == ConfigAlarmKind::Gap);
        }
    });
    REQUIRE(holds);
}

TEST_CASE_METHOD(ConfigFoldFixture, "process_resumedAfterGap_continuesFromSnapshotOrKeepsState")
{
    const bool holds = rc::check("a process that resumes after a gap never reverts", [] {
        const RandomLog log;
        const auto seen = *rc::gen::inRange<std::uint64_t>(1, log.size() + 1);
        const auto first = *rc::gen::inRange<std::uint64_t>(1, log.size() + 1);
        LogFindings findings;
        const LogFold before = LogFold().withPeerRecords(logId, log.between(1, seen), findings);
        const LogFold fold = follow(before, log, first, findings);
        const bool hasGap = first > seen + 1;
        const auto end = canStartAt(log, first) || !hasGap ? log.size() : seen;
        RC_ASSERT(fold.state() == log.states[end]);
    });
    REQUIRE(holds);
}

} // namespace
} // namespace greengageseam
