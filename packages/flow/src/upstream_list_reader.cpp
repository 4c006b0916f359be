#include "oriolehold/flow/upstream_list_reader.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace oriolehold::flow {

upstream_list_reader::upstream_list_reader(entry_source &source, rejection_listener &listener,
                                           clock now)
    : m_source(source), m_listener(listener), m_now(std::move(now))
{ }

boost::leaf::result<upstream_list> upstream_list_reader::read()
{
    if (m_followsChanges) {
        // A failure may be that of this one call: an answer that is too large is never read. The
        // list is then read in pages, which fails as well if the store does not answer.
        const auto known = changesKnown(m_entries, m_revision);
        if (!known)
            return boost::leaf::new_error(read_failure::incomplete);
        if (*known) {
            repeatFullRead();
            finishRead();
            return list();
        }
        m_followsChanges = false;
        m_fullReadBegun = false;
    }
    BOOST_LEAF_AUTO(complete, continueFullRead());
    if (!complete)
        return boost::leaf::new_error(read_failure::incomplete);
    finishRead();
    return list();
}

std::optional<bool> upstream_list_reader::changesKnown(entry_map &entries, store_revision &revision)
{
    std::optional<bool> result;
    boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<void> {
                BOOST_LEAF_ASSIGN(result, followChanges(entries, revision));
                return {};
            },
            [&](read_failure failure) {
                if (failure != read_failure::incomplete)
                    result = false;
            },
            [&] { result = false; });
    return result;
}

void upstream_list_reader::repeatFullRead()
{
    const base::duration interval = std::max<base::duration>(
            minFullReadInterval, m_fullReadLength * fullReadIntervalFactor);
    if (!m_fullReadBegun && m_now() - m_fullReadAt < interval)
        return;
    // The changes are known, so a failure here is not one of the read.
    std::ignore = continueFullRead();
}

void upstream_list_reader::beginFullRead()
{
    m_fullReadBegun = true;
    m_hasFirstPage = false;
    m_pending.clear();
    m_position.clear();
    m_fullReadBegunAt = m_now();
}

boost::leaf::result<bool> upstream_list_reader::continueFullRead()
{
    if (m_fullReadBegun && m_hasFirstPage) {
        // The pages of earlier calls may have changed since.
        const auto known = changesKnown(m_pending, m_pendingRevision);
        if (!known)
            return false;
        if (!*known)
            m_fullReadBegun = false;
    }
    if (!m_fullReadBegun)
        beginFullRead();
    const base::time_point begin = m_now();
    while (true) {
        BOOST_LEAF_AUTO(page, m_source.readPage(m_position));
        if (m_hasFirstPage && page.revision.era != m_pendingRevision.era) {
            m_fullReadBegun = false;
            return boost::leaf::new_error(read_failure::restored);
        }
        if (!m_hasFirstPage)
            m_pendingRevision = page.revision;
        m_hasFirstPage = true;
        apply(m_pending, std::move(page.entries), m_now());
        if (page.next.empty()) {
            endFullRead();
            return true;
        }
        if (page.next == m_position) {
            m_fullReadBegun = false;
            return boost::leaf::new_error(read_failure::malformed);
        }
        m_position = std::move(page.next);
        if (m_now() - begin >= maxPartTime)
            return false;
    }
}

void upstream_list_reader::endFullRead()
{
    m_fullReadBegun = false;
    m_fullReadAt = m_now();
    m_fullReadLength = m_fullReadAt - m_fullReadBegunAt;
    // Changes that were followed meanwhile may be newer than the pages.
    if (m_pendingRevision < m_revision && m_pendingRevision.era == m_revision.era)
        return;
    m_entries = std::exchange(m_pending, {});
    m_revision = m_pendingRevision;
}

boost::leaf::result<bool> upstream_list_reader::followChanges(entry_map &entries,
                                                              store_revision &revision)
{
    const base::time_point begin = m_now();
    while (true) {
        BOOST_LEAF_AUTO(changes, m_source.readChanges(revision.number));
        if (!changes || changes->revision.era != revision.era || changes->revision < revision)
            return false;
        const bool mayBeCut = changes->size >= largeAnswer && changes->revision > revision;
        apply(entries, std::move(changes->entries), m_now());
        revision = changes->revision;
        if (!mayBeCut)
            return true;
        if (m_now() - begin >= maxPartTime)
            return boost::leaf::new_error(read_failure::incomplete);
    }
}

void upstream_list_reader::apply(entry_map &entries, std::vector<published_entry> changes,
                                 base::time_point now)
{
    for (published_entry &change : changes) {
        if (change.removed) {
            entries.erase(change.id);
            continue;
        }
        // Pages and changes come in the order of their reads, so the later one counts.
        known_entry &known = entries[change.id];
        known = { std::move(change), now };
    }
}

void upstream_list_reader::finishRead()
{
    std::size_t rejectedBytes = 0;
    m_rejectedEntries = 0;
    for (const auto &[id, item] : m_entries) {
        if (item.published.record)
            continue;
        ++m_rejectedEntries;
        rejectedBytes += item.published.size;
    }
    m_followsChanges = rejectedBytes > maxRepeatedRejections;
    reportRejections();
}

void upstream_list_reader::reportRejections()
{
    std::erase_if(m_reported, [this](const auto &item) {
        const auto found = m_entries.find(item.first);
        return found == m_entries.end() || found->second.published.record;
    });
    std::size_t count = 0;
    for (const auto &[id, known] : m_entries) {
        if (known.published.record)
            continue;
        const auto reported = m_reported.find(id);
        if (reported != m_reported.end() && reported->second == known.published.revision)
            continue;
        if (count++ == maxReportsPerRead)
            return;
        m_reported[id] = known.published.revision;
        ++m_rejections;
        m_listener.entryRejected(known.published);
    }
}

upstream_list upstream_list_reader::list() const
{
    const base::time_point now = m_now();
    upstream_list result;
    result.revision = m_revision;
    for (const auto &[id, item] : m_entries) {
        if (!item.published.record)
            continue;
        upstream_record &record = result.upstreams.emplace_back(*item.published.record);
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - item.readAt);
        record.warmUpLeft = std::max(record.warmUpLeft - age, std::chrono::milliseconds::zero());
    }
    return result;
}

} // namespace oriolehold::flow
