#include "core/fleet/eventsplitter.h"

#include <charconv>

namespace greengageseam {

namespace {

constexpr std::string_view idField = "id:";

/** @returns the position after the empty line that ends the first event; npos if incomplete */
std::size_t endOfEvent(std::string_view text, std::size_t searchStart)
{
    for (std::size_t at = text.find('\n', searchStart); at != std::string_view::npos;
         at = text.find('\n', at + 1)) {
        std::size_t next = at + 1;
        if (next < text.size() && text[next] == '\r') {
            ++next;
        }
        if (next < text.size() && text[next] == '\n') {
            return next + 1;
        }
    }
    return std::string_view::npos;
}

} // namespace

std::optional<std::uint64_t> eventId(std::string_view event)
{
    for (std::size_t at = 0; at < event.size();) {
        std::size_t end = event.find('\n', at);
        end = end == std::string_view::npos ? event.size() : end;
        std::string_view line = event.substr(at, end - at);
        at = end + 1;
        if (!line.starts_with(idField)) {
            continue;
        }
        line.remove_prefix(idField.size());
        while (line.starts_with(' ')) {
            line.remove_prefix(1);
        }
        std::uint64_t id = 0;
        const auto [rest, ec] = std::from_chars(line.data(), line.data() + line.size(), id);
        if (ec == std::errc()) {
            return id;
        }
    }
    return std::nullopt;
}

bool endsWithEvent(std::string_view end)
{
    return end.ends_with("\n\n") || end.ends_with("\n\r\n");
}

bool isComment(std::string_view event)
{
    for (std::size_t at = 0; at < event.size(); at = event.find('\n', at) + 1) {
        const char first = event[at];
        if (first != ':' && first != '\r' && first != '\n') {
            return false;
        }
    }
    return true;
}

void EventSplitter::beginAttempt()
{
    m_partial.clear();
    m_hasNewId = false;
    m_hasEvents = false;
    m_isOutOfOrder = false;
}

EventSplitter::Position EventSplitter::positionOf(std::string_view event,
                                                  std::optional<std::uint64_t> id) const
{
    if (!id) {
        // Before its first new id, nothing shows that a resumed stream goes on where it broke off.
        const bool isContinued = m_hasNewId || !m_lastId || isComment(event);
        return isContinued ? Position::Next : Position::OutOfOrder;
    }
    if (m_lastId && *id <= *m_lastId) {
        return m_hasNewId ? Position::OutOfOrder : Position::Repeated;
    }
    return !m_lastId || *id == *m_lastId + 1 ? Position::Next : Position::OutOfOrder;
}

CompleteEvents EventSplitter::feed(std::string_view bytes)
{
    // The terminator of an event may be split between two reads, so the search starts up to three
    // bytes before the new data.
    const std::size_t searchStart = m_partial.size() < 3 ? 0 : m_partial.size() - 3;
    m_partial.append(bytes);
    CompleteEvents complete;
    std::size_t begin = 0;
    std::size_t searchFrom = searchStart;
    while (!m_isOutOfOrder) {
        const std::size_t end = endOfEvent(m_partial, searchFrom);
        if (end == std::string::npos) {
            break;
        }
        const std::string_view event = std::string_view(m_partial).substr(begin, end - begin);
        const std::optional<std::uint64_t> id = eventId(event);
        const Position position = positionOf(event, id);
        m_isOutOfOrder = position == Position::OutOfOrder;
        m_hasEvents = m_hasEvents || position != Position::OutOfOrder;
        if (position == Position::Next) {
            complete.bytes.append(event);
            ++complete.count;
            m_lastId = id ? id : m_lastId;
            m_hasNewId = m_hasNewId || id.has_value();
        }
        begin = end;
        searchFrom = end;
    }
    m_partial.erase(0, begin);
    return complete;
}

} // namespace greengageseam
