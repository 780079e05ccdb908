/**
 * Compares rate limits with naive reference models: the account meter with a replay of all events,
 * the share ledger with a scan of the complete log, and the shares in use by all entries with the
 * limit when records are lost, delayed or duplicated.
 */
#include "core/routing/routing.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace greengageseam {
namespace {

const AccountName account("caps");

/** Simulates entries that read one log at different speeds and request shares of one account. */
class ShareSimulation
{
public:
    ShareSimulation() : m_options(ShareOptions().withBaseHolders(3)), m_entries(4)
    {
        for (std::size_t n = 0; n < m_entries.size(); ++n) {
            m_entries[n].id = InstanceId("entry-" + std::to_string(n));
            m_entries[n].ledger = ShareLedger(m_options);
        }
    }

    void step(int kind, std::size_t n, std::uint32_t amount)
    {
        Entry &entry = m_entries[n % m_entries.size()];
        if (kind < 4) {
            requestShares(entry, amount);
        } else if (kind < 7) {
            read(entry, amount % 4 == 0 ? m_log.size() : amount % 4);
        } else if (kind < 8) {
            const std::uint32_t seconds = amount % 10 == 0 ? amount % 60 : amount % 6;
            m_now += std::chrono::seconds(seconds);
        } else if (kind < 9) {
            appendDelayed(amount);
        } else {
            recordExpiredLeases(entry);
        }
    }

    std::uint64_t usedByAll() const
    {
        std::uint64_t sum = 0;
        for (const Entry &entry : m_entries) {
            sum += entry.holding ? entry.holding->usable(account, m_now, m_options) : 0;
        }
        return sum;
    }

    ShareLedger replayedLedger() const
    {
        ShareLedger ledger(m_options);
        for (std::size_t n = 0; n < m_log.size(); ++n) {
            ledger = ledger.withRecord(Offset {n + 1}, m_log[n]);
        }
        return ledger;
    }

    /**
     * Reference model: for each holder the last effective request, granted after a scan of all
     * other holders.
     */
    std::map<InstanceId, ShareMillionths> grantedByReference() const
    {
        struct ReferenceLease
        {
            std::uint64_t sequence = 0;
            std::size_t at = 0;
            ShareMillionths granted = 0;
            bool base = false;
        };
        std::map<InstanceId, ReferenceLease> held;
        for (std::size_t at = 1; at <= m_log.size(); ++at) {
            if (const auto *request = std::get_if<ShareRequested>(&m_log[at - 1])) {
                const bool isKnown = held.contains(request->holder);
                if (isKnown && request->sequence <= held[request->holder].sequence) {
                    continue;
                }
                ShareMillionths others = 0;
                std::uint32_t bases = 0;
                for (const auto &[holder, it] : held) {
                    others += holder == request->holder ? 0 : it.granted;
                    bases += it.base ? 1 : 0;
                }
                const bool hasBase =
                        (isKnown && held[request->holder].base) || bases < m_options.baseHolders;
                held[request->holder] = {request->sequence, at,
                                         std::min(request->requested.at(account),
                                                  m_options.sharedByDemand() - others),
                                         hasBase};
            } else {
                const auto &expired = std::get<ShareLeaseExpired>(m_log[at - 1]);
                const auto it = held.find(expired.holder);
                if (it != held.end() && it->second.at == expired.requestOffset.value) {
                    it->second.granted = 0;
                    if (expired.includesBaseShare || !it->second.base) {
                        held.erase(it);
                    }
                }
            }
        }
        std::map<InstanceId, ShareMillionths> granted;
        for (const auto &[holder, it] : held) {
            granted[holder] = it.granted;
        }
        return granted;
    }

private:
    struct Entry
    {
        InstanceId id;
        ShareLedger ledger;
        std::size_t read = 0;
        std::uint64_t sequence = 0;
        std::map<std::uint64_t, Instant> requestedAt;
        std::optional<HeldShareLease> holding;
        std::map<InstanceId, std::pair<Offset, Instant>> seen;
    };

    /** Requests shares; the record is appended once, twice, later or never. */
    void requestShares(Entry &entry, std::uint32_t amount)
    {
        const ShareRequested request {entry.id,
                                      ++entry.sequence,
                                      {{account, amount % 7 < 4 ? 700'000 : amount % 99'999}}};
        entry.requestedAt[request.sequence] = m_now;
        if (entry.holding) {
            Shares pending = request.requested;
            if (entry.holding->pending) {
                pending[account] = std::min(pending[account], entry.holding->pending->at(account));
            }
            entry.holding->pending = pending;
        }
        for (std::uint32_t n = 0; n < amount % 3; ++n) {
            m_log.push_back(request);
        }
        if (amount % 5 < 2) {
            m_delayed.push_back(request);
        }
    }

    void appendDelayed(std::uint32_t amount)
    {
        if (!m_delayed.empty()) {
            m_log.push_back(m_delayed[amount % m_delayed.size()]);
        }
    }

    void read(Entry &entry, std::size_t count)
    {
        for (; count > 0 && entry.read < m_log.size(); --count) {
            entry.ledger = entry.ledger.withRecord(Offset {entry.read + 1}, m_log[entry.read]);
            ++entry.read;
            for (const auto &[holder, lease] : entry.ledger.leases()) {
                const auto it = entry.seen.find(holder);
                if (it == entry.seen.end() || it->second.first != lease.requestOffset) {
                    entry.seen[holder] = {lease.requestOffset, m_now};
                }
            }
            updateHolding(entry);
        }
    }

    static void updateHolding(Entry &entry)
    {
        const ShareLease *lease = entry.ledger.leaseOf(entry.id);
        if (lease == nullptr) {
            entry.holding.reset();
            return;
        }
        std::optional<Shares> pending;
        if (entry.holding && lease->sequence < entry.sequence) {
            pending = entry.holding->pending;
        }
        if (!entry.holding && lease->sequence < entry.sequence) {
            pending = Shares {{account, 0}};
        }
        entry.holding = HeldShareLease {*lease, entry.requestedAt[lease->sequence], pending};
    }

    void recordExpiredLeases(Entry &entry)
    {
        for (const auto &[holder, seen] : entry.seen) {
            const Duration age = m_now - seen.second;
            if (holder != entry.id && age >= m_options.lease + m_options.clockDriftMargin) {
                const bool isBase = age >= m_options.baseLease + m_options.clockDriftMargin;
                m_log.push_back(ShareLeaseExpired {holder, seen.first, isBase});
            }
        }
    }

    ShareOptions m_options;
    std::vector<Entry> m_entries;
    std::vector<ShareRecord> m_log;
    std::vector<ShareRequested> m_delayed;
    Instant m_now {std::chrono::hours(1)};
};

/** Runs a random sequence of steps, generated by RapidCheck. */
class ShareFixture
{
protected:
    static void playSteps(const std::function<void(const ShareSimulation &)> &check)
    {
        ShareSimulation simulation;
        const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, std::uint32_t>>>(
                rc::gen::tuple(rc::gen::inRange(0, 10), rc::gen::inRange(0, 4),
                               rc::gen::inRange(0U, 1'000'000U)));
        for (const auto &[kind, entry, amount] : steps) {
            simulation.step(kind, entry, amount);
            check(simulation);
        }
    }
};

TEST_CASE_METHOD(ShareFixture, "shares_lostDelayedAndDuplicateRecords_neverExceedTheLimit")
{
    rc::prop("the shares that all entries may use at one time never exceed the limit", [] {
        playSteps([](const ShareSimulation &simulation) {
            RC_ASSERT(simulation.usedByAll() <= fullShare);
        });
    });
}

TEST_CASE_METHOD(ShareFixture, "shares_anyLog_grantsAsTheReferenceModel")
{
    rc::prop("the ledger and the reference model agree", [] {
        playSteps([](const ShareSimulation &simulation) {
            const auto granted = simulation.grantedByReference();
            const ShareLedger ledger = simulation.replayedLedger();
            RC_ASSERT(ledger.leases().size() == granted.size());
            for (const auto &[holder, lease] : ledger.leases()) {
                const auto it = lease.granted.find(account);
                RC_ASSERT((it == lease.granted.end() ? 0 : it->second) == granted.at(holder));
            }
        });
    });
}

TEST_CASE("meter_anyEvents_decidesAsAReplayOfAllEvents")
{
    rc::prop("the meter agrees with a replay of all events", [] {
        using Event = std::tuple<int, int, int>;
        const auto events = *rc::gen::container<std::vector<Event>>(rc::gen::tuple(
                rc::gen::inRange(0, 4), rc::gen::inRange(0, 2000), rc::gen::inRange(1, 20)));
        AccountMeter meter({4.0, 50.0, 3}, Instant());
        std::int64_t now = 0;
        double requests = 4;
        double tokens = 50;
        double rate = 4;
        std::vector<double> running;
        for (const auto &[kind, amount, size] : events) {
            if (kind == 0) {
                now += amount * 1000;
                requests = std::min(rate, requests + amount / 1000.0 * rate);
                tokens = std::min(50.0, tokens + amount / 1000.0 * 50);
                meter = meter.at(Instant(Duration(now)));
            } else if (kind == 1) {
                const bool isFree = running.size() < 3 && (requests >= 1 || requests >= rate)
                        && (tokens >= size || tokens >= 50);
                // Skips cases in which rounding errors of a sum decide the result.
                RC_PRE(std::abs(requests - 1) > 1e-6 && std::abs(tokens - size) > 1e-6);
                RC_ASSERT((meter.exceededLimit(size) == ExceededLimit::None) == isFree);
                if (isFree) {
                    meter = meter.admitted(size);
                    --requests;
                    tokens -= size;
                    running.push_back(size);
                }
            } else if (kind == 2 && !running.empty()) {
                const double used = amount % 10;
                meter = meter.finished(running.back(), used);
                tokens += running.back() - used;
                running.pop_back();
            } else if (kind == 3) {
                rate = size;
                requests = std::min(requests, rate);
                meter = meter.withLimits({rate, 50.0, 3}, Instant(Duration(now)));
            }
        }
    });
}

TEST_CASE("meter_limitChangedWhileExhausted_isNotRefilled")
{
    AccountMeter meter({2.0, std::nullopt, std::nullopt}, Instant());
    meter = meter.admitted(0).admitted(0);
    REQUIRE(meter.withLimits({9.0, std::nullopt, std::nullopt}, Instant()).exceededLimit(0)
            == ExceededLimit::Requests);
}

TEST_CASE("queue_anyRequests_popsAsTheReferenceModel")
{
    rc::prop("highest priority first, round robin among accounts, FIFO within one", [] {
        const auto pushes = *rc::gen::container<std::vector<std::pair<int, int>>>(
                rc::gen::pair(rc::gen::inRange(0, 3), rc::gen::inRange(0, 4)));
        AdmissionQueue queue;
        std::vector<QueuedRequest> list;
        for (const auto &[priority, name] : pushes) {
            const QueuedRequest request {list.size() + 1, AccountName(std::to_string(name)),
                                         static_cast<std::uint32_t>(priority), Instant::max()};
            RC_ASSERT(!queue.push(request, Instant()));
            list.push_back(request);
        }
        // Reference model: round r takes the r-th request of each account, in the order of
        // their first pushes.
        std::vector<QueuedRequest> expected;
        for (std::uint32_t priority = 0; priority < 3; ++priority) {
            std::vector<std::vector<QueuedRequest>> accountQueues;
            for (const QueuedRequest &request : list) {
                if (request.priority != priority) {
                    continue;
                }
                const auto it = std::find_if(
                        accountQueues.begin(), accountQueues.end(), [&](const auto &accountQueue) {
                            return accountQueue.front().account == request.account;
                        });
                if (it == accountQueues.end()) {
                    accountQueues.push_back({request});
                } else {
                    it->push_back(request);
                }
            }
            for (std::size_t round = 0; round < list.size(); ++round) {
                for (const auto &accountQueue : accountQueues) {
                    if (round < accountQueue.size()) {
                        expected.push_back(accountQueue[round]);
                    }
                }
            }
        }
        for (const QueuedRequest &request : expected) {
            RC_ASSERT(queue.pop(Instant()) == request);
        }
        RC_ASSERT(queue.size() == 0U);
    });
}

TEST_CASE("queue_fullOfOneAccount_evictsItsNewestForAnotherAccount")
{
    AdmissionQueue queue(QueueOptions().withCapacity(3));
    for (std::uint64_t ticket = 1; ticket <= 3; ++ticket) {
        REQUIRE_FALSE(queue.push({ticket, AccountName("large"), 1, Instant::max()}, Instant()));
    }
    REQUIRE(queue.push({4, AccountName("small"), 1, Instant::max()}, Instant()) == 3U);
    REQUIRE(queue.push({5, AccountName("idle"), 2, Instant::max()}, Instant()) == 5U);
}

} // namespace
} // namespace greengageseam
