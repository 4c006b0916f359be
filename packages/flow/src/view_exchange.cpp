#include "oriolehold/flow/view_exchange.h"

#include "oriolehold/base/hash.h"

#include <algorithm>
#include <utility>

namespace oriolehold::flow {

namespace {

// Larger documents are rejected. 4 MB hold 60,000 upstreams.
constexpr std::uint16_t maxPages = 4096;

bool isPlausible(base::duration age)
{
    return age >= base::duration::zero() && age <= view_exchange::maxAge;
}

std::uint64_t hashOf(const base::byte_vector &bytes)
{
    return base::fnv1a(base::byte_view(bytes));
}

} // namespace

view_exchange::view_exchange(const document_codec &codec, message_output &output,
                             view_listener &listener)
    : m_codec(codec), m_output(output), m_listener(listener)
{ }

std::uint64_t view_exchange::digestOf(const upstream_list &list) const
{
    upstream_list content = list;
    content.revision = {};
    content.evacuation.revision = {};
    for (upstream_record &record : content.upstreams)
        record.warmUpLeft = {}; // differs in every read
    return std::max<std::uint64_t>(hashOf(m_codec.encode(content)), 1);
}

void view_exchange::applyConfiguration(const flow_configuration &configuration)
{
    if (configuration.version <= m_configuration.version)
        return;
    m_configuration = configuration;
    m_listener.routesChanged(m_configuration);
}

void view_exchange::applyUpstreams(const upstream_list &list, base::time_point readAt,
                                   base::time_point now)
{
    setUpstreams(list, digestOf(list), readAt, now);
}

bool view_exchange::setUpstreams(const upstream_list &list, std::uint64_t digest,
                                 base::time_point readAt, base::time_point now)
{
    if (list.revision < m_upstreams.revision || readAt <= m_readAt)
        return false;
    enterEra(list.revision.era);
    const bool keepsEvacuation = list.evacuation.revision < m_upstreams.evacuation.revision;
    zone_evacuation evacuation = keepsEvacuation ? m_upstreams.evacuation : list.evacuation;
    m_upstreams = list;
    m_upstreams.evacuation = std::move(evacuation);
    m_digest = keepsEvacuation ? digestOf(m_upstreams) : digest;
    m_readAt = readAt;
    m_listener.upstreamsUpdated(m_upstreams, readAt, now);
    return true;
}

view_summary view_exchange::summary(base::time_point now) const
{
    // With the version that it has, a process on a lossy link would confirm the views of others,
    // and they would not read the newer one either.
    return { std::max(m_configuration.version, m_announcedVersion), m_upstreams.revision, m_digest,
             now - m_readAt };
}

void view_exchange::enterEra(std::uint64_t era)
{
    if (era <= m_announcedEra)
        return;
    m_announcedEra = era;
    m_announcedVersion = 0;
}

bool view_exchange::lacksConfiguration(base::time_point now) const
{
    return hasMissingVersion() && now - m_lackingSince > configurationTimeout;
}

bool view_exchange::receive(std::uint32_t machine, const peer_message &message,
                            base::time_point now)
{
    if (const auto *received = std::get_if<view_summary>(&message))
        return receiveSummary(machine, *received, now);
    if (const auto *page = std::get_if<view_page>(&message))
        return receivePage(*page, now);
    if (const auto *request = std::get_if<view_request>(&message)) {
        if (request->configuration && mayAnswerWithConfiguration(now))
            sendDocument(machine, document_kind::configuration, m_configuration.version,
                         m_codec.encode(m_configuration), now);
        if (request->upstreams && m_digest != 0) {
            const base::byte_vector bytes = m_codec.encode(m_upstreams);
            sendDocument(machine, document_kind::upstreams, hashOf(bytes), bytes, now);
        }
    }
    return false;
}

bool view_exchange::mayAnswerWithConfiguration(base::time_point now)
{
    if (m_configuration.version == 0)
        return false;
    // A former version helps only processes that have none.
    if (hasMissingVersion() && now - m_formerVersionSentAt < configurationTimeout)
        return false;
    m_formerVersionSentAt = now;
    return true;
}

bool view_exchange::receiveSummary(std::uint32_t machine, const view_summary &summary,
                                   base::time_point now)
{
    if (!isPlausible(summary.age))
        return false;
    enterEra(summary.upstreamRevision.era);
    const bool newerList = summary.upstreamRevision >= m_upstreams.revision
            && summary.upstreamDigest != 0 && now - summary.age - transferTime > m_readAt;
    const view_request request { summary.configurationVersion > m_configuration.version,
                                 newerList && summary.upstreamDigest != m_digest };
    if (request.configuration) {
        if (m_announcedVersion <= m_configuration.version)
            m_lackingSince = now;
        m_announcedVersion = std::max(m_announcedVersion, summary.configurationVersion);
    }
    if (request.configuration || request.upstreams)
        m_output.sendMessage(machine, request);
    if (!newerList || request.upstreams)
        return false;
    const confirmation read { summary.configurationVersion, summary.upstreamRevision,
                              summary.upstreamDigest, now - summary.age - transferTime };
    if (!request.configuration)
        return confirmUpstreams(read, now);
    // The request is lost if the reader cannot be reached from here. A list that counts as recent
    // would keep this process and others from reading the configuration themselves.
    m_pendingConfirmation = read;
    return false;
}

bool view_exchange::confirmUpstreams(const confirmation &read, base::time_point now)
{
    if (read.revision < m_upstreams.revision || read.digest != m_digest || read.readAt <= m_readAt)
        return false;
    // Remaining warm-up times are counted from the read.
    const auto elapsed =
            std::chrono::duration_cast<std::chrono::milliseconds>(read.readAt - m_readAt);
    for (upstream_record &record : m_upstreams.upstreams)
        record.warmUpLeft = std::max(record.warmUpLeft - elapsed, std::chrono::milliseconds {});
    m_upstreams.revision = read.revision;
    m_readAt = read.readAt;
    m_listener.upstreamsUpdated(m_upstreams, m_readAt, now);
    return true;
}

bool view_exchange::receivePage(const view_page &page, base::time_point now)
{
    if (page.count == 0 || page.count > maxPages || page.index >= page.count
        || !isPlausible(page.age))
        return false;
    if (page.kind == document_kind::configuration) {
        if (page.id <= m_configuration.version)
            return false;
        const auto bytes = assemble(m_configurationPages, page);
        const auto configuration = bytes ? m_codec.decodeConfiguration(*bytes) : std::nullopt;
        if (!configuration || configuration->version <= m_configuration.version)
            return false;
        applyConfiguration(*configuration);
        if (m_pendingConfirmation
            && m_pendingConfirmation->configurationVersion <= m_configuration.version)
            confirmUpstreams(*std::exchange(m_pendingConfirmation, std::nullopt), now);
        return true;
    }
    const auto bytes = assemble(m_upstreamPages, page);
    const auto list = bytes ? m_codec.decodeUpstreams(*bytes) : std::nullopt;
    const bool isNewer =
            list && setUpstreams(*list, digestOf(*list), now - page.age - transferTime, now);
    // A configuration that is on its way will be passed on with the list.
    return isNewer && (!hasMissingVersion() || lacksConfiguration(now));
}

std::optional<base::byte_vector> view_exchange::assemble(assembly &state, const view_page &page)
{
    if (state.id != page.id || state.pages.size() != page.count) {
        state.id = page.id;
        state.pages.assign(page.count, {});
        state.missing = page.count;
    }
    base::byte_vector &slot = state.pages[page.index];
    if (slot.empty() && !page.bytes.empty()) {
        slot = page.bytes;
        --state.missing;
    }
    if (state.missing > 0)
        return std::nullopt;
    base::byte_vector bytes;
    for (const base::byte_vector &part : state.pages)
        bytes.insert(bytes.end(), part.begin(), part.end());
    state = {};
    return bytes;
}

void view_exchange::sendDocument(std::uint32_t machine, document_kind kind, std::uint64_t id,
                                 base::byte_view bytes, base::time_point now)
{
    const std::size_t count = (bytes.size() + pageSize - 1) / pageSize;
    for (std::size_t i = 0; i < count; ++i) {
        const base::byte_view part =
                bytes.subspan(i * pageSize, std::min(pageSize, bytes.size() - i * pageSize));
        m_output.sendMessage(machine,
                             view_page { kind, id, now - m_readAt, static_cast<std::uint16_t>(i),
                                         static_cast<std::uint16_t>(count),
                                         base::byte_vector(part.begin(), part.end()) });
    }
}

} // namespace oriolehold::flow
