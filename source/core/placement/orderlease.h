/**
 * Decides whether the holder of an incarnation may send an order to its engine now. Processes with
 * the same instance identifier occupy the same slot, one after the other.
 *
 * Engines that check fencing numbers reject the orders of a superseded holder. For engines that do
 * not, a holder that may have been replaced while its process was paused must read the log before
 * its next order, and a successor waits until no order of its predecessor can still take effect.
 */
#pragma once

#include "core/common/common.h"

#include <variant>

namespace greengageseam {

/** Time limits of an order lease. */
struct OrderLeaseOptions
{
    /**
     * How long a holder may continue to send orders after the start of the last log read that
     * showed no newer holder, provided that it was not paused.
     */
    Duration leaseTime = std::chrono::seconds(5);
    /** Maximum time from the decision to send an order until the order takes effect. */
    Duration maxOrderTime = std::chrono::seconds(5);
    /** A longer time than this between two steps means that the process was paused. */
    Duration pauseLimit = std::chrono::seconds(2);

    OrderLeaseOptions withLeaseTime(Duration value) const;
    OrderLeaseOptions withMaxOrderTime(Duration value) const;
    auto operator<=>(const OrderLeaseOptions &) const = default;
};

/** The holder's incarnation was registered in the log. */
struct IncarnationGranted
{
    Offset number;
    /** Whether a predecessor in the same slot may still be running. */
    bool hasPredecessor = false;
    /** When the holder learned of the registration. */
    Instant at;

    auto operator<=>(const IncarnationGranted &) const = default;
};

/** The log's stream of incarnations was read to its end. */
struct IncarnationsChecked
{
    /** When the read started. Registrations after this time may be missing from the result. */
    Instant readStart;
    /** The highest number of another process in the same slot; 0 if there is none. */
    Offset newestOther;

    auto operator<=>(const IncarnationsChecked &) const = default;
};

/** The log could not be read. */
struct IncarnationsUnreadable
{
    auto operator<=>(const IncarnationsUnreadable &) const = default;
};

/** A periodic timer event. */
struct OrderLeaseTick
{
    auto operator<=>(const OrderLeaseTick &) const = default;
};

/** An input event of an order lease. */
using OrderLeaseEvent = std::variant<IncarnationGranted, IncarnationsChecked,
                                     IncarnationsUnreadable, OrderLeaseTick>;

/** Whether an order may be sent, and if not, why. */
enum class OrderPermission {
    Granted,
    /** The incarnation has no number yet. */
    NoNumber,
    /** Orders of a predecessor may still take effect. */
    WaitForPredecessor,
    /** The lease has expired or the process was paused; the log must be read first. */
    CheckLog,
    /** A newer process holds the slot. */
    Superseded,
};

/** The immutable state of one holder's right to send orders; each event produces a new state. */
class OrderLease
{
public:
    explicit OrderLease(OrderLeaseOptions options = {});

    /**
     * @returns the state after @p event; if more than OrderLeaseOptions::pauseLimit has passed
     * since the last event, the process is taken to have been paused
     */
    OrderLease after(const OrderLeaseEvent &event, Instant now) const;

    /** @returns whether an order may be sent at @p now; call this immediately before each order */
    OrderPermission permission(Instant now) const;

    Offset number() const { return m_number; }

    bool operator==(const OrderLease &) const = default;

private:
    void apply(const IncarnationGranted &event);
    void apply(const IncarnationsChecked &event);
    void apply(const IncarnationsUnreadable &event);
    void apply(const OrderLeaseTick &event);
    bool isPaused(Instant now) const;

    OrderLeaseOptions m_options;
    Offset m_number;
    Instant m_firstOrderAt;
    Instant m_lastStep;
    /** Start of the latest read of the log; it renews the lease. */
    Instant m_lastCheckStart;
    /** End of the last pause; only a log read that starts after it renews the lease. */
    Instant m_pausedUntil;
    /**
     * Whether the log is unavailable. During an outage no successor can obtain a number, so the
     * current holder may continue.
     */
    bool m_isLogUnavailable = false;
    bool m_isSuperseded = false;
};

} // namespace greengageseam
