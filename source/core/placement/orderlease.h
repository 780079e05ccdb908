/**
 * Whether the holder of an incarnation may give its engine an order now.
 *
 * Engines that check fencing numbers refuse a predecessor's orders. For those that don't, a holder
 * that may have been replaced while it was paused has to read the log before its next order, and a
 * successor waits until no order of its predecessor can still take effect.
 */
#pragma once

#include "core/common/common.h"

#include <variant>

namespace greengageseam {

/** Time limits of the right to give orders. */
struct OrderLeaseOptions
{
    /** How long a holder may go on after it last knew that it was the newest, when not paused. */
    Duration leaseTime = std::chrono::seconds(5);
    /** Longest time from the decision on an order to its effect. */
    Duration maxOrderTime = std::chrono::seconds(5);
    /** Time between two steps from which on the holder counts as having been paused. */
    Duration pauseLimit = std::chrono::seconds(2);

    OrderLeaseOptions withLeaseTime(Duration value) const;
    OrderLeaseOptions withMaxOrderTime(Duration value) const;
    auto operator<=>(const OrderLeaseOptions &) const = default;
};

/** The holder's incarnation was registered. */
struct IncarnationGranted
{
    Offset number;
    /** Whether a predecessor in the slot may still be running. */
    bool hasPredecessor = false;
    /** When the registration was known. */
    Instant at;

    auto operator<=>(const IncarnationGranted &) const = default;
};

/** The log's stream of incarnations was read to its end. */
struct IncarnationsChecked
{
    /** When the read began; it tells nothing of what was registered later. */
    Instant readStart;
    /** Newest number of another process in the same slot; 0 without one. */
    Offset newestOther;

    auto operator<=>(const IncarnationsChecked &) const = default;
};

/** The log could not be read. */
struct IncarnationsUnreadable
{
    auto operator<=>(const IncarnationsUnreadable &) const = default;
};

/** Time passed. */
struct OrderLeaseTick
{
    auto operator<=>(const OrderLeaseTick &) const = default;
};

/** What happens to a holder. */
using OrderLeaseEvent = std::variant<IncarnationGranted, IncarnationsChecked,
                                     IncarnationsUnreadable, OrderLeaseTick>;

/** Whether an order may be given. */
enum class OrderPermission {
    Granted,
    /** There is no number yet. */
    NoNumber,
    /** Orders of a predecessor may still take effect. */
    WaitForPredecessor,
    /** The holder was paused and has to read the log first. */
    CheckLog,
    /** Another process holds the slot. */
    Superseded,
};

/** The state of one holder; a step makes a new one. */
class OrderLease
{
public:
    explicit OrderLease(OrderLeaseOptions options = {});

    /** @returns the state after an event; a long time since the last step counts as a pause */
    OrderLease after(const OrderLeaseEvent &event, Instant now) const;

    /** @returns whether an order may be given at a time; asked right before each order */
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
    /** Start of the newest read of the log that showed no other holder. */
    Instant m_lastCheckStart;
    /** End of the last pause; a check has to begin after it. */
    Instant m_pausedUntil;
    /** In an outage no successor can get a number, so the current holder goes on. */
    bool m_isLogUnavailable = false;
    bool m_isSuperseded = false;
};

} // namespace greengageseam
