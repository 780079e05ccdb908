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
 * The events at the start of an attempt that earlier ones have returned are dropped. From there on
 * each id follows the last one; the first event that does not ends the attempt as out of order.
 *
 * It is modified in place, because it processes every event.
 */
class EventSplitter
{
public:
    /** @param lastEventId id of the last event that the caller has; empty for a new stream */
    explicit EventSplitter(std::optional<std::uint64_t> lastEventId = {})
        : m_lastId(lastEventId) { }

    /** @returns the events that @p bytes complete, except those returned before or out of order */
    CompleteEvents feed(std::string_view bytes);
    /** Starts parsing another upstream attempt; discards an incomplete event of the last one. */
    void beginAttempt();

    /** @returns the id of the last event that was returned or that the caller had at the start */
    std::optional<std::uint64_t> lastId() const { return m_lastId; }
    /** @returns whether an incomplete event is longer than an event may be */
    bool isOverlong() const { return m_partial.size() > maxEventBytes; }
    /** @returns whether an incomplete event is buffered */
    bool hasPartial() const { return !m_partial.empty(); }
    /** @returns whether the attempt has sent an event that does not follow those before it */
    bool isOutOfOrder() const { return m_isOutOfOrder; }
    /** @returns whether the attempt has sent an event that was returned or dropped */
    bool hasEvents() const { return m_hasEvents; }

private:
    /** How an event fits in after those before it. */
    enum class Position { Next, Repeated, OutOfOrder };

    Position positionOf(std::string_view event, std::optional<std::uint64_t> id) const;

    /** An event carries a few tokens. */
    static constexpr std::size_t maxEventBytes = 256ULL * 1024;

    std::string m_partial;
    std::optional<std::uint64_t> m_lastId;
    /** Whether the attempt has returned an event with an id. */
    bool m_hasNewId = false;
    bool m_hasEvents = false;
    bool m_isOutOfOrder = false;
};

/**
 * @param end the last bytes of an event stream, at least eventEndBytes unless the stream is shorter
 * @returns whether the stream ends after a complete event
 */
bool endsWithEvent(std::string_view end);

/** Largest size of the line end and empty line after an event. */
constexpr std::size_t eventEndBytes = 4;

/** @returns whether an event consists of comments only, which servers send to keep a stream open */
bool isComment(std::string_view event);

/** @returns the number in the `id` field of an event; empty if there is none */
std::optional<std::uint64_t> eventId(std::string_view event);

} // namespace greengageseam
