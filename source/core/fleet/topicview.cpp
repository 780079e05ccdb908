#include "core/fleet/topicview.h"

#include <algorithm>

namespace greengageseam {

TopicView::TopicView(const KeyedSnapshot &snapshot)
    : m_topic(std::make_shared<const CompactedTopic>(snapshot)),
      m_completeAsOf(snapshot.completeAsOf)
{ }

TopicView TopicView::withSnapshot(const KeyedSnapshot &snapshot, const KeepsRecord &keeps) const
{
    if (snapshot.end < end()) {
        return *this;
    }
    TopicView next = *this;
    if (snapshot.end > end()) {
        next.m_topic =
                std::make_shared<const CompactedTopic>(m_topic->withSnapshot(snapshot, keeps));
    }
    if (snapshot.end.era > end().era) {
        next.m_completeAsOf = snapshot.completeAsOf;
        return next;
    }
    next.m_completeAsOf = std::max(m_completeAsOf, snapshot.completeAsOf);
    return next;
}

TopicView TopicView::withTail(TopicPosition from, const KeyedBatch &tail,
                              const KeepsRecord &keeps) const
{
    const bool isOfThisEra = from.era == end().era && tail.next.era == end().era;
    if (!isOfThisEra || from > end()) {
        return *this;
    }
    TopicView next = *this;
    if (tail.next > end()) {
        next.m_topic = std::make_shared<const CompactedTopic>(m_topic->withTail(from, tail, keeps));
    }
    next.m_completeAsOf = std::max(m_completeAsOf, tail.completeAsOf);
    return next;
}

TopicView TopicView::withChanges(TopicPosition from, const TopicChanges &changes,
                                 const KeepsRecord &keeps) const
{
    if (changes.isWhole) {
        return withSnapshot({changes.records, changes.end, changes.completeAsOf}, keeps);
    }
    return withTail(from, {changes.records, changes.end, true, changes.completeAsOf}, keeps);
}

KeyedSnapshot TopicView::snapshot() const
{
    KeyedSnapshot snapshot = m_topic->snapshot();
    snapshot.completeAsOf = m_completeAsOf;
    return snapshot;
}

TopicChanges TopicView::changesSince(TopicPosition from) const
{
    TopicChanges changes = m_topic->changesSince(from);
    changes.completeAsOf = m_completeAsOf;
    return changes;
}

} // namespace greengageseam
