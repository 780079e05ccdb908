#include "core/fleet/topicview.h"

#include <algorithm>

namespace greengageseam {

TopicView::TopicView(const KeyedSnapshot &snapshot)
    : m_topic(std::make_shared<const CompactedTopic>(snapshot)),
      m_completeAsOf(snapshot.completeAsOf)
{ }

TopicView TopicView::withSnapshot(const KeyedSnapshot &snapshot) const
{
    TopicView next = *this;
    if (snapshot.endOffset > endOffset()) {
        next.m_topic = std::make_shared<const CompactedTopic>(m_topic->withSnapshot(snapshot));
    }
    next.m_completeAsOf = std::max(m_completeAsOf, snapshot.completeAsOf);
    return next;
}

TopicView TopicView::withTail(std::uint64_t from, const KeyedBatch &tail) const
{
    if (from > endOffset()) {
        return *this;
    }
    TopicView next = *this;
    if (tail.nextOffset > endOffset()) {
        next.m_topic = std::make_shared<const CompactedTopic>(m_topic->withTail(from, tail));
    }
    next.m_completeAsOf = std::max(m_completeAsOf, tail.completeAsOf);
    return next;
}

TopicView TopicView::withChanges(std::uint64_t from, const TopicChanges &changes) const
{
    if (changes.isWhole) {
        return withSnapshot({changes.records, changes.endOffset, changes.completeAsOf});
    }
    return withTail(from, {changes.records, changes.endOffset, true, changes.completeAsOf});
}

KeyedSnapshot TopicView::snapshot() const
{
    KeyedSnapshot snapshot = m_topic->snapshot();
    snapshot.completeAsOf = m_completeAsOf;
    return snapshot;
}

TopicChanges TopicView::changesSince(std::uint64_t from) const
{
    TopicChanges changes = m_topic->changesSince(from);
    changes.completeAsOf = m_completeAsOf;
    return changes;
}

} // namespace greengageseam
