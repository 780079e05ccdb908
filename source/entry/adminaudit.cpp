/**
 * Reading of the audit trail from the configuration log.
 */
#include "entry/adminaudit.h"

#include "protocol/configcodec.h"

#include <algorithm>

namespace greengageseam {

namespace {

constexpr std::size_t maxVerdicts = 1000;
constexpr int maxPages = 400;

/** Collects matching verdicts by offset, so that verdicts read twice are listed once. */
class TrailBuilder
{
public:
    explicit TrailBuilder(AuditFilter filter) : m_filter(std::move(filter)) { }

    void add(const std::vector<Verdict> &verdicts)
    {
        for (const Verdict &verdict : verdicts) {
            if (m_filter.matches(verdict)) {
                m_verdicts.try_emplace(verdict.offset, verdict);
            }
        }
        while (m_verdicts.size() > maxVerdicts) {
            m_verdicts.erase(m_verdicts.begin());
        }
    }

    std::vector<Verdict> finish() const
    {
        std::vector<Verdict> verdicts;
        for (const auto &[offset, verdict] : m_verdicts) {
            verdicts.push_back(verdict);
        }
        return verdicts;
    }

private:
    AuditFilter m_filter;
    std::map<Offset, Verdict> m_verdicts;
};

std::vector<ConfigRecord> decodeRecords(const std::vector<LogRecord> &records)
{
    std::vector<ConfigRecord> decoded;
    for (const LogRecord &record : records) {
        decoded.push_back({record.offset, decodeConfigEvent(record.text)});
    }
    return decoded;
}

} // namespace

bool AuditFilter::matches(const Verdict &verdict) const
{
    const bool hasCell = cell.empty()
            || std::any_of(verdict.edits.begin(), verdict.edits.end(),
                           [&](const CellEdit &edit) { return edit.path.text() == cell; });
    return hasCell && (author.empty() || verdict.author.text() == author);
}

Awaitable<AuditTrail> readAudit(ReadLog read, ConfigView current, AuditFilter filter)
{
    AuditTrail trail;
    TrailBuilder builder(filter);
    LogFold fold;
    LogQuery query;
    query.stream = configStream;
    query.fromOffset = Offset {1};
    trail.incompleteReason = "the log has more records than one audit reads";
    for (int page = 0; page < maxPages; ++page) {
        LogQuery next = query;
        const Outcome<LogBatch> batch = co_await read(std::move(next));
        if (const Failure *failure = failureOf(batch)) {
            trail.incompleteReason = failure->detail;
            break;
        }
        const auto &received = std::get<LogBatch>(batch);
        if (received.records.empty()) {
            trail.incompleteReason.clear();
            break;
        }
        if (trail.firstOffset.value == 0) {
            trail.firstOffset = received.records.front().offset;
        }
        LogFindings findings;
        fold = fold.withLogRecords({received.logId, received.firstOffset, received.nextOffset},
                                   decodeRecords(received.records), findings);
        builder.add(fold.state().verdicts);
        builder.add(findings.verdicts);
        query.fromOffset = Offset {received.records.back().offset.value + 1};
    }
    if (current.isReady() && current.state->applied.value > 0) {
        const bool isSameLog =
                fold.state().applied.value == 0 || fold.state().logId == current.state->logId;
        if (!isSameLog) {
            builder = TrailBuilder(filter);
            trail.incompleteReason = "the log was reset; these are the changes of the previous log";
        }
        builder.add(current.state->verdicts);
    }
    trail.verdicts = builder.finish();
    co_return trail;
}

} // namespace greengageseam
