#include "oriolehold/flow/history_cursor.h"

namespace oriolehold::flow {

std::optional<std::uint64_t> history_cursor::watchAfter() const
{
    return m_position ? std::optional(m_position->number) : std::nullopt;
}

void history_cursor::documentRead(store_revision revision)
{
    m_position = revision;
}

bool history_cursor::unchangedUntil(store_revision revision)
{
    // A restored store gives revisions out again: changes up to the position may be unknown.
    if (!m_position || revision.era != m_position->era || revision < *m_position)
        return false;
    m_position = revision;
    return true;
}

} // namespace oriolehold::flow
