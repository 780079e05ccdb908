/**
 * Splits a stream of events into whole events, and joins the runs of a resumed stream.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace greengageseam {

/** Whole events that can be passed on. */
struct CompleteEvents
{
    /** Bytes of the events, each with its end. */
    std::string bytes;
    std::uint32_t count = 0;

    auto operator<=>(const CompleteEvents &) const = default;
};

/**
 * Takes the bytes of one answer after the other and gives whole events, each id once.
 *
 * It changes in place: it stands in the path of each event.
 */
class EventSplitter
{
public:
    /** @param lastEventId what the caller has already; nothing for a new stream */
    explicit EventSplitter(std::optional<std::uint64_t> lastEventId = {})
        : m_lastId(lastEventId) { }

    /** @returns the whole events that @p bytes complete, without those passed on before */
    CompleteEvents feed(std::string_view bytes);
    /** Another run begins; what was left of an event of the last one is dropped. */
    void beginAttempt() { m_partial.clear(); }

    /** @returns the id of the last event passed on */
    std::optional<std::uint64_t> lastId() const { return m_lastId; }
    /** @returns whether a part of an event waits for its end */
    bool hasPartial() const { return !m_partial.empty(); }
    /** @returns whether an event did not follow the one before it */
    bool hasGap() const { return m_hasGap; }

private:
    std::string m_partial;
    std::optional<std::uint64_t> m_lastId;
    bool m_hasGap = false;
};

/** @returns the number in the `id` field of an event, or nothing */
std::optional<std::uint64_t> eventId(std::string_view event);

} // namespace greengageseam
