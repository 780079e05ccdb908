/**
 * Splits a server-sent event stream into complete events, and joins the upstream attempts of a
 * resumed stream without repeating an event.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace greengageseam {

/** Complete events that can be forwarded to the caller. */
struct CompleteEvents
{
    /** Bytes of the events, each with its terminating empty line. */
    std::string bytes;
    std::uint32_t count = 0;

    auto operator<=>(const CompleteEvents &) const = default;
};

/**
 * Parses the bodies of consecutive upstream attempts and returns complete events, each id once.
 *
 * It is modified in place, because it processes every event.
 */
class EventSplitter
{
public:
    /** @param lastEventId id of the last event that the caller has; empty for a new stream */
    explicit EventSplitter(std::optional<std::uint64_t> lastEventId = {})
        : m_lastId(lastEventId) { }

    /** @returns the events that @p bytes complete, except those returned before */
    CompleteEvents feed(std::string_view bytes);
    /** Starts parsing another upstream attempt; discards an incomplete event of the last one. */
    void beginAttempt() { m_partial.clear(); }

    /** @returns the id of the last event that was returned or that the caller had at the start */
    std::optional<std::uint64_t> lastId() const { return m_lastId; }
    /** @returns whether an incomplete event is longer than an event may be */
    bool isOverlong() const { return m_partial.size() > maxEventBytes; }
    /** @returns whether an incomplete event is buffered */
    bool hasPartial() const { return !m_partial.empty(); }
    /** @returns whether an id was skipped between two events */
    bool hasGap() const { return m_hasGap; }

private:
    /** An event carries a few tokens. */
    static constexpr std::size_t maxEventBytes = 256ULL * 1024;

    std::string m_partial;
    std::optional<std::uint64_t> m_lastId;
    bool m_hasGap = false;
};

/** @returns the number in the `id` field of an event; empty if there is none */
std::optional<std::uint64_t> eventId(std::string_view event);

} // namespace greengageseam
