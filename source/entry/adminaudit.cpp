/**
 * Reading of the audit trail from the configuration log.
 */
#include "entry/adminaudit.h"

#include "protocol/configcodec.h"

#include <algorithm>

namespace greengageseam {

namespace {

constexpr std::size_t maxTrail = 1000;
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
                m_trail.try_emplace(verdict.offset, verdict);
            }
        }
        while (m_trail.size() > maxTrail) {
            m_trail.erase(m_trail.begin());
        }
    }

    std::vector<Verdict> finish() const
    {
        std::vector<Verdict> verdicts;
        for (const auto &[offset, verdict] : m_trail) {
            verdicts.push_back(verdict);
        }
        return verdicts;
    }

private:
    AuditFilter m_filter;
    std::map<Offset, Verdict> m_trail;
};

std::vector<ConfigRecord> decodeAll(const std::vector<LogRecord> &records)
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

Awaitable<AuditTrail> readAudit(ReadLog read, ConfigView known, AuditFilter filter)
{
    AuditTrail trail;
    TrailBuilder builder(filter);
    LogFold fold;
    LogQuery query;
    query.stream = configStream;
    query.from = Offset {1};
    trail.incomplete = "the log has more records than one audit reads";
    for (int page = 0; page < maxPages; ++page) {
        LogQuery next = query;
        const Outcome<LogBatch> batch = co_await read(std::move(next));
        if (const Failure *failure = failureOf(batch)) {
            trail.incomplete = failure->detail;
            break;
        }
        const auto &got = std::get<LogBatch>(batch);
        if (got.records.empty()) {
            trail.incomplete.clear();
            break;
        }
        if (trail.from.value == 0) {
            trail.from = got.records.front().offset;
        }
        LogFindings findings;
        fold = fold.read({got.logId, got.first, got.next}, decodeAll(got.records), findings);
        builder.add(fold.state().verdicts);
        builder.add(findings.verdicts);
        query.from = Offset {got.records.back().offset.value + 1};
    }
    if (known.isReady() && known.state->applied.value > 0) {
        const bool isSameLog =
                fold.state().applied.value == 0 || fold.state().logId == known.state->logId;
        if (!isSameLog) {
            builder = TrailBuilder(filter);
            trail.incomplete = "the log was reset; these are the changes of the previous log";
        }
        builder.add(known.state->verdicts);
    }
    trail.verdicts = builder.finish();
    co_return trail;
}

} // namespace greengageseam
