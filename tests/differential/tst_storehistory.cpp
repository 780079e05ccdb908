/**
 * Compares what processes know of a topic with the store, over random histories in which the store
 * loses its newest records, answers arrive late, and processes restart and read from each other.
 * labels: platform
 */
#include "core/fleet/topicview.h"

#include <catch2/catch.hpp>
#include <random>

namespace greengageseam {
namespace {

constexpr int histories = 4000;
constexpr int stepsOfHistory = 80;
constexpr std::size_t processes = 5;
const std::string configKey = "config";
const std::string zoneKey = "zone/b";

/** Keeps a configuration of a higher version than that of the store. */
bool keepsHigher(const std::string &key, const std::string &known,
                 const std::optional<std::string> &stored)
{
    return key == configKey && (!stored || std::stoi(known) > std::stoi(*stored));
}

/** The store: all records of the present era. */
struct ReferenceStore
{
    std::vector<KeyedRecord> records;
    std::uint64_t era = 1;

    TopicPosition end() const { return {records.size(), era}; }

    std::map<std::string, std::string> newest() const
    {
        std::map<std::string, std::string> values;
        for (const KeyedRecord &record : records) {
            if (record.value) {
                values[record.key] = *record.value;
            } else {
                values.erase(record.key);
            }
        }
        return values;
    }

    KeyedSnapshot snapshot() const
    {
        KeyedSnapshot snapshot {{}, end(), {}};
        for (const auto &[key, value] : newest()) {
            snapshot.records.push_back({key, value});
        }
        return snapshot;
    }
};

/** An answer of the store that is still under way. */
struct LateAnswer
{
    std::size_t process = 0;
    TopicPosition from;
    /** Empty if the answer is a snapshot. */
    std::optional<KeyedBatch> tail;
    KeyedSnapshot snapshot;
};

class StoreHistoryModel
{
protected:
    explicit StoreHistoryModel() : m_random(20261207) { }

    std::size_t below(std::size_t n) { return m_random() % n; }

    void reset()
    {
        m_store = {};
        m_views.assign(processes, TopicView());
        m_versions.assign(processes, 0);
        m_late.clear();
        m_version = 0;
    }

    void writeSomething()
    {
        if (below(3) > 0) {
            m_store.records.push_back({configKey, std::to_string(++m_version)});
        } else if (m_store.newest().contains(zoneKey)) {
            m_store.records.push_back({zoneKey, std::nullopt});
        } else {
            m_store.records.push_back({zoneKey, "{}"});
        }
    }

    /** The newest records are lost. The operator writes the newest configuration again. */
    void loseRecords()
    {
        const std::size_t n = std::min(m_store.records.size(), 1 + below(4));
        m_store.records.resize(m_store.records.size() - n);
        ++m_store.era;
        if (below(2) == 0) {
            writeLostAgain();
        }
    }

    void writeLostAgain()
    {
        if (m_version > 0) {
            m_store.records.push_back({configKey, std::to_string(m_version)});
        }
        m_store.records.push_back({zoneKey, std::nullopt});
    }

    /** A process asks the store; the answer arrives now or later. */
    void readStore(std::size_t process, bool isLate)
    {
        const TopicPosition from = m_views[process].end();
        LateAnswer answer {process, from, std::nullopt, m_store.snapshot()};
        if (from.era == m_store.era && from <= m_store.end()) {
            KeyedBatch tail {{}, m_store.end(), false, {}};
            tail.records.assign(m_store.records.begin() + static_cast<std::ptrdiff_t>(from.offset),
                                m_store.records.end());
            answer.tail = tail;
        }
        if (isLate) {
            m_late.push_back(answer);
        } else {
            apply(answer);
        }
    }

    void apply(const LateAnswer &answer)
    {
        const TopicView &view = m_views[answer.process];
        replace(answer.process,
                answer.tail ? view.withTail(answer.from, *answer.tail, keepsHigher)
                            : view.withSnapshot(answer.snapshot, keepsHigher));
    }

    /** A process reads from another one, which declines if it knows only an earlier era. */
    void readPeer(std::size_t process, std::size_t peer)
    {
        const TopicPosition from = m_views[process].end();
        if (m_views[peer].end().era >= from.era) {
            replace(process,
                    m_views[process].withChanges(from, m_views[peer].changesSince(from),
                                                 keepsHigher));
        }
    }

    void replace(std::size_t process, const TopicView &next)
    {
        REQUIRE(next.end() >= m_views[process].end());
        m_views[process] = next;
        REQUIRE(versionOf(process) >= m_versions[process]);
        m_versions[process] = versionOf(process);
    }

    int versionOf(std::size_t process) const
    {
        for (const KeyedRecord &record : m_views[process].snapshot().records) {
            if (record.key == configKey) {
                return std::stoi(*record.value);
            }
        }
        return 0;
    }

    void step()
    {
        const std::size_t process = below(processes);
        switch (below(10)) {
        case 0:
        case 1:
            writeSomething();
            break;
        case 2:
            loseRecords();
            break;
        case 3:
            m_views[process] = TopicView();
            m_versions[process] = 0;
            std::erase_if(m_late, [&](const LateAnswer &it) { return it.process == process; });
            break;
        case 4:
            readStore(process, true);
            break;
        case 5:
            if (!m_late.empty()) {
                const auto it = m_late.begin() + static_cast<std::ptrdiff_t>(below(m_late.size()));
                const LateAnswer answer = std::move(*it);
                m_late.erase(it);
                apply(answer);
            }
            break;
        case 6:
        case 7:
            readStore(process, false);
            break;
        default:
            readPeer(process, below(processes));
        }
    }

    std::mt19937_64 m_random;
    ReferenceStore m_store;
    std::vector<TopicView> m_views;
    /** Highest version of the configuration that each process has known. */
    std::vector<int> m_versions;
    std::vector<LateAnswer> m_late;
    int m_version = 0;
};

TEST_CASE_METHOD(StoreHistoryModel, "history_recordsAreLost_nothingStepsBackAndAllEndAtTheStore")
{
    for (int n = 0; n < histories; ++n) {
        reset();
        for (int i = 0; i < stepsOfHistory; ++i) {
            step();
        }
        writeLostAgain();
        for (std::size_t process = 0; process < processes; ++process) {
            readStore(process, false);
            std::map<std::string, std::string> known;
            for (const KeyedRecord &record : m_views[process].snapshot().records) {
                known[record.key] = *record.value;
            }
            REQUIRE(known == m_store.newest());
        }
    }
}

} // namespace
} // namespace greengageseam
