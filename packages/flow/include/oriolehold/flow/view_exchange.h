#pragma once

#include "oriolehold/flow/peer_message.h"
#include "oriolehold/flow/routing_view.h"

#include <optional>

// Keeps the newest content of the store that a process has received and shares it with other
// processes, so that only a few of them need to read the store.

namespace oriolehold::flow {

// Encodes documents for the transfer between processes.
class document_codec
{
public:
    virtual ~document_codec() = default;
    virtual base::byte_vector encode(const flow_configuration &configuration) const = 0;
    virtual base::byte_vector encode(const upstream_list &list) const = 0;
    // Return empty optionals when the bytes are malformed.
    virtual std::optional<flow_configuration> decodeConfiguration(base::byte_view bytes) const = 0;
    virtual std::optional<upstream_list> decodeUpstreams(base::byte_view bytes) const = 0;
};

// Is notified of newer content. readAt is the time of the read that the content comes from.
class view_listener
{
public:
    virtual ~view_listener() = default;
    virtual void routesChanged(const flow_configuration &configuration) = 0;
    // Called for each newer list, also when its content is the same.
    virtual void upstreamsUpdated(const upstream_list &list, base::time_point readAt,
                                  base::time_point now) = 0;
};

class view_exchange
{
public:
    // Payload of one page, in bytes; the datagram stays below 1,300 bytes.
    static constexpr std::size_t pageSize = 1100;
    // Longest expected transfer of summaries and pages. Received content counts as older by this
    // time than its sender states.
    static constexpr std::chrono::milliseconds transferTime { 100 };
    // A newer configuration that has not arrived within this time after its summary is lost on the
    // way, or its request is.
    static constexpr std::chrono::milliseconds configurationTimeout { 300 };
    // Content that claims to be older, or to be from the future, is ignored.
    static constexpr std::chrono::hours maxAge { 24 };

    // The references must outlive the object.
    view_exchange(const document_codec &codec, message_output &output, view_listener &listener);

    // Apply content that this process read from the store itself, unless it has newer content.
    void applyConfiguration(const flow_configuration &configuration);
    void applyUpstreams(const upstream_list &list, base::time_point readAt, base::time_point now);

    // Handles summaries, requests and pages and ignores other messages. Returns whether the view
    // became newer, so that its summary is worth passing on.
    bool receive(std::uint32_t machine, const peer_message &message, base::time_point now);

    // Describes the content of this process, for other processes. Names the newest version of the
    // configuration that is known to exist, also while it has not arrived here.
    view_summary summary(base::time_point now) const;
    // Whether there are a configuration and a list of upstreams.
    bool complete() const { return m_configuration.version != 0 && m_digest != 0; }
    // Whether others have had a newer configuration for longer than a transfer takes.
    bool lacksConfiguration(base::time_point now) const;
    // Time of the read that the list of upstreams comes from; epoch before the first.
    base::time_point readAt() const { return m_readAt; }
    const flow_configuration &configuration() const { return m_configuration; }
    const upstream_list &upstreams() const { return m_upstreams; }

private:
    // The pages of one document that have arrived so far.
    struct assembly
    {
        std::uint64_t id = 0;
        std::vector<base::byte_vector> pages;
        std::size_t missing = 0; // pages
    };

    // A read that found the list of this process unchanged.
    struct confirmation
    {
        std::uint64_t configurationVersion = 0; // of the reader
        store_revision revision;                // of the list
        std::uint64_t digest = 0;               // of the list
        base::time_point readAt {};
    };

    // Whether others have a newer configuration.
    bool hasMissingVersion() const { return m_announcedVersion > m_configuration.version; }
    // Forgets the announced version of a former era of the store: a restored store may have lost
    // it, and a process that has it announces it again.
    void enterEra(std::uint64_t era);
    // Whether a request of the configuration is answered with the one that is here.
    bool mayAnswerWithConfiguration(base::time_point now);
    bool receiveSummary(std::uint32_t machine, const view_summary &summary, base::time_point now);
    bool receivePage(const view_page &page, base::time_point now);
    // Dates the list by the read, unless the process has got a newer one meanwhile.
    bool confirmUpstreams(const confirmation &read, base::time_point now);
    bool setUpstreams(const upstream_list &list, std::uint64_t digest, base::time_point readAt,
                      base::time_point now);
    // Sends an encoded document in pages.
    void sendDocument(std::uint32_t machine, document_kind kind, std::uint64_t id,
                      base::byte_view bytes, base::time_point now);
    // Adds a page. Returns the document, and clears state, when no page is missing.
    static std::optional<base::byte_vector> assemble(assembly &state, const view_page &page);
    // Hash of the list without its revisions and remaining warm-up times; never 0.
    std::uint64_t digestOf(const upstream_list &list) const;

    const document_codec &m_codec;
    message_output &m_output;
    view_listener &m_listener;
    flow_configuration m_configuration;
    std::uint64_t m_announcedVersion = 0; // highest that a summary had
    std::uint64_t m_announcedEra = 0;     // of the store, when it was announced
    base::time_point m_formerVersionSentAt {};
    base::time_point m_lackingSince {}; // first summary of a version that is missing
    upstream_list m_upstreams;
    std::uint64_t m_digest = 0; // of m_upstreams; 0: none yet
    base::time_point m_readAt {};
    // The last confirmation that came with a configuration that is missing here.
    std::optional<confirmation> m_pendingConfirmation;
    assembly m_configurationPages;
    assembly m_upstreamPages;
};

} // namespace oriolehold::flow
