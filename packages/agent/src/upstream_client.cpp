#include "oriolehold/agent/upstream_client.h"

#include "oriolehold/coap/message.h"

#include <coap3/coap.h>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <stdexcept>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace oriolehold::agent {

namespace {

// Maximum number of outstanding requests to the upstream (NSTART of CoAP). It can be large because
// the upstream runs next to the agent and its slots bound the number of jobs.
constexpr std::uint16_t maxInFlight = 1024;

enum class token_kind : std::uint8_t { job = 0xf0, feed = 0xf1, control = 0xf2 };

using token_bytes = std::array<std::uint8_t, 8>;

// libcoap 4.3.1 compares the low 48 bits of a token with its internal state numbers, which are
// small; the marker keeps the client's tokens different from them.
constexpr std::uint8_t tokenMarker = 0xa5;
constexpr std::size_t tokenNumberStart = 3; // kind, zero, marker, then 5 bytes of the number

token_bytes makeToken(token_kind kind, std::uint64_t number)
{
    token_bytes token {};
    token[0] = static_cast<std::uint8_t>(kind);
    token[2] = tokenMarker;
    for (std::size_t i = tokenNumberStart; i < token.size(); ++i)
        token[i] = static_cast<std::uint8_t>(number >> (8 * (token.size() - 1 - i)));
    return token;
}

std::uint64_t numberOf(const coap_bin_const_t &token)
{
    std::uint64_t number = 0;
    for (std::size_t i = tokenNumberStart; i < token.length; ++i)
        number = number << 8 | token.s[i];
    return number;
}

coap_address_t toAddress(const core::endpoint &value)
{
    coap_address_t address;
    coap_address_init(&address);
    address.size = sizeof(sockaddr_in);
    address.addr.sin.sin_family = AF_INET;
    address.addr.sin.sin_addr.s_addr = htonl(value.address);
    address.addr.sin.sin_port = htons(value.port);
    return address;
}

// Options of one request; libcoap sorts and encodes them.
class option_list
{
public:
    ~option_list() { coap_delete_optlist(m_list); }

    void add(std::uint16_t number, std::string_view value)
    {
        coap_insert_optlist(&m_list,
                            coap_new_optlist(number, value.size(),
                                             reinterpret_cast<const std::uint8_t *>(value.data())));
    }

    void addPath(std::string_view path)
    {
        while (!path.empty()) {
            const std::size_t end = std::min(path.find('/'), path.size());
            add(COAP_OPTION_URI_PATH, path.substr(0, end));
            path.remove_prefix(std::min(end + 1, path.size()));
        }
    }

    void addTo(coap_pdu_t *pdu) { coap_add_optlist_pdu(pdu, &m_list); }

private:
    coap_optlist_t *m_list = nullptr;
};

// One observation at the upstream, shared by all feeds of the same resource. libcoap's server keeps
// one observer per session and request, so a second observation would replace the first.
struct observation
{
    std::string resource;
    std::set<core::feed_id> feeds;
    core::byte_vector latestState;
    bool hasState = false;
};

} // namespace

class upstream_client::implementation
{
public:
    implementation(const core::endpoint &upstream, upstream_events &events) : m_events(events)
    {
        coap_startup();
        coap_set_log_level(LOG_ERR);
        m_context = coap_new_context(nullptr);
        if (m_context == nullptr)
            throw std::runtime_error("libcoap: cannot create a context");
        coap_context_set_block_mode(m_context, COAP_BLOCK_USE_LIBCOAP | COAP_BLOCK_SINGLE_BODY);
        coap_register_response_handler(m_context, &implementation::onResponse);
        coap_register_nack_handler(m_context, &implementation::onNack);
        const coap_address_t address = toAddress(upstream);
        m_session = coap_new_client_session(m_context, nullptr, &address, COAP_PROTO_UDP);
        if (m_session == nullptr) {
            coap_free_context(m_context);
            throw std::runtime_error("libcoap: cannot create a session to "
                                     + core::toString(upstream));
        }
        coap_session_set_nstart(m_session, maxInFlight);
        coap_session_set_app_data(m_session, this);
    }

    ~implementation()
    {
        m_closing = true;
        coap_session_release(m_session);
        coap_free_context(m_context);
    }

    int descriptor() const { return coap_context_get_coap_fd(m_context); }
    void process() { coap_io_process(m_context, COAP_IO_NO_WAIT); }

    void startJob(const core::upstream_request &request, core::duration remaining)
    {
        const auto milliseconds =
                std::chrono::duration_cast<std::chrono::milliseconds>(remaining).count();
        option_list options;
        options.addPath(request.path);
        for (const std::string &query : request.queries)
            options.add(COAP_OPTION_URI_QUERY, query);
        options.add(COAP_OPTION_URI_QUERY, "deadline=" + std::to_string(milliseconds));
        options.add(COAP_OPTION_URI_QUERY, "job=" + std::to_string(core::toInteger(request.job)));
        const coap_pdu_code_t code = request.method == core::request_method::get
                ? COAP_REQUEST_CODE_GET
                : COAP_REQUEST_CODE_POST;
        m_jobs.insert(core::toInteger(request.job));
        if (!send(COAP_MESSAGE_NON, code, makeToken(token_kind::job, core::toInteger(request.job)),
                  options, request.payload))
            m_unsentJobs.push_back(request.job);
    }

    void cancelJob(core::job_id job)
    {
        option_list options;
        options.addPath("jobs/" + std::to_string(core::toInteger(job)));
        options.add(COAP_OPTION_URI_QUERY, "job=" + std::to_string(core::toInteger(job)));
        send(COAP_MESSAGE_NON, COAP_REQUEST_CODE_DELETE,
             makeToken(token_kind::control, ++m_lastControlNumber), options, {});
    }

    void startFeed(core::feed_id feed, const core::feed_state &state)
    {
        const std::string resource = resourceKey(state);
        const auto existing = m_observationByResource.find(resource);
        if (existing != m_observationByResource.end()) {
            observation &shared = m_observations.at(existing->second);
            shared.feeds.insert(feed);
            m_observationByFeed[feed] = existing->second;
            if (shared.hasState)
                m_feedsAwaitingState.push_back(feed);
            return;
        }
        const std::uint64_t number = ++m_lastObservationNumber;
        m_observationByResource[resource] = number;
        m_observations[number] = { resource, { feed }, {}, false };
        m_observationByFeed[feed] = number;
        registerObservation(number, state);
    }

    void stopFeed(core::feed_id feed)
    {
        const auto found = m_observationByFeed.find(feed);
        if (found == m_observationByFeed.end())
            return;
        const std::uint64_t number = found->second;
        m_observationByFeed.erase(found);
        observation &item = m_observations.at(number);
        item.feeds.erase(feed);
        if (!item.feeds.empty())
            return;
        token_bytes token = makeToken(token_kind::feed, number);
        coap_binary_t binary { token.size(), token.data() };
        coap_cancel_observe(m_session, &binary, COAP_MESSAGE_NON);
        removeObservation(number);
    }

    // Delivers the latest state to feeds that joined an existing observation. startFeed() must not
    // do it, because it must not call back into the core.
    void deliverLatestStates()
    {
        for (const core::feed_id feed : std::exchange(m_feedsAwaitingState, {})) {
            const auto found = m_observationByFeed.find(feed);
            if (found != m_observationByFeed.end())
                m_events.feedUpdated(feed, m_observations.at(found->second).latestState);
        }
    }

    // Completes the jobs that libcoap did not accept. startJob() must not do it, because that would
    // call back into the core while it starts the job.
    void completeUnsentJobs()
    {
        std::vector<core::job_id> unsent;
        unsent.swap(m_unsentJobs);
        for (const core::job_id job : unsent)
            complete(core::toInteger(job), { core::upstream_status::shed, 0, {} });
    }

private:
    static implementation &fromSession(const coap_session_t *session)
    {
        return *static_cast<implementation *>(coap_session_get_app_data(session));
    }

    static coap_response_t onResponse(coap_session_t *session, const coap_pdu_t * /*sent*/,
                                      const coap_pdu_t *received, coap_mid_t /*mid*/)
    {
        return fromSession(session).handleResponse(received);
    }

    static void onNack(coap_session_t *session, const coap_pdu_t *sent,
                       coap_nack_reason_t /*reason*/, coap_mid_t /*mid*/)
    {
        if (sent != nullptr)
            fromSession(session).handleNack(coap_pdu_get_token(sent));
    }

    coap_response_t handleResponse(const coap_pdu_t *received)
    {
        const coap_bin_const_t token = coap_pdu_get_token(received);
        if (m_closing || token.length != sizeof(token_bytes))
            return COAP_RESPONSE_OK;
        std::size_t size = 0;
        const std::uint8_t *data = nullptr;
        std::size_t offset = 0;
        std::size_t total = 0;
        coap_get_data_large(received, &size, &data, &offset, &total);
        const core::byte_view payload(data, size);
        const std::uint64_t number = numberOf(token);
        if (token.s[0] == static_cast<std::uint8_t>(token_kind::feed))
            return handleFeed(received, number, payload);
        if (token.s[0] == static_cast<std::uint8_t>(token_kind::job))
            complete(number, toAnswer(coap_pdu_get_code(received), payload));
        return COAP_RESPONSE_OK;
    }

    coap_response_t handleFeed(const coap_pdu_t *received, std::uint64_t number,
                               core::byte_view payload)
    {
        const auto found = m_observations.find(number);
        if (found == m_observations.end())
            return COAP_RESPONSE_FAIL; // the RST cancels a removed observation
        if (COAP_RESPONSE_CLASS(coap_pdu_get_code(received)) != 2) {
            endObservation(number);
            return COAP_RESPONSE_OK;
        }
        found->second.latestState.assign(payload.begin(), payload.end());
        found->second.hasState = true;
        // Copied, because an update may stop a feed.
        const std::set<core::feed_id> feeds = found->second.feeds;
        for (const core::feed_id feed : feeds)
            m_events.feedUpdated(feed, payload);
        return COAP_RESPONSE_OK;
    }

    void endObservation(std::uint64_t number)
    {
        const std::set<core::feed_id> feeds = m_observations.at(number).feeds;
        removeObservation(number);
        for (const core::feed_id feed : feeds) {
            m_observationByFeed.erase(feed);
            m_events.feedEnded(feed);
        }
    }

    void removeObservation(std::uint64_t number)
    {
        m_observationByResource.erase(m_observations.at(number).resource);
        m_observations.erase(number);
    }

    static std::string resourceKey(const core::feed_state &state)
    {
        std::string key = state.path;
        for (const std::string &query : state.queries)
            key.append(1, '&').append(query);
        return key;
    }

    void registerObservation(std::uint64_t number, const core::feed_state &state)
    {
        option_list options;
        options.add(COAP_OPTION_OBSERVE, "");
        options.addPath(state.path);
        for (const std::string &query : state.queries)
            options.add(COAP_OPTION_URI_QUERY, query);
        send(COAP_MESSAGE_CON, COAP_REQUEST_CODE_GET, makeToken(token_kind::feed, number), options,
             {});
    }

    static core::upstream_answer toAnswer(coap_pdu_code_t code, core::byte_view payload)
    {
        const auto status = code == COAP_RESPONSE_CODE_SERVICE_UNAVAILABLE
                ? core::upstream_status::shed
                : core::upstream_status::answered;
        return { status, static_cast<std::uint8_t>(code), { payload.begin(), payload.end() } };
    }

    void handleNack(const coap_bin_const_t &token)
    {
        if (m_closing || token.length != sizeof(token_bytes))
            return;
        const std::uint64_t number = numberOf(token);
        if (token.s[0] == static_cast<std::uint8_t>(token_kind::job))
            complete(number, { core::upstream_status::failed, 0, {} });
        else if (token.s[0] == static_cast<std::uint8_t>(token_kind::feed)
                 && m_observations.contains(number))
            endObservation(number);
    }

    void complete(std::uint64_t number, const core::upstream_answer &answer)
    {
        if (m_jobs.erase(number) > 0)
            m_events.jobCompleted(core::job_id { number }, answer);
    }

    bool send(coap_pdu_type_t type, coap_pdu_code_t code, const token_bytes &token,
              option_list &options, core::byte_view payload)
    {
        coap_pdu_t *pdu = coap_pdu_init(type, code, coap_new_message_id(m_session),
                                        coap_session_max_pdu_size(m_session));
        if (pdu == nullptr)
            return false;
        coap_add_token(pdu, token.size(), token.data());
        options.addTo(pdu);
        if (!payload.empty())
            coap_add_data(pdu, payload.size(), payload.data());
        return coap_send(m_session, pdu) != COAP_INVALID_MID;
    }

    upstream_events &m_events;
    coap_context_t *m_context = nullptr;
    coap_session_t *m_session = nullptr;
    std::unordered_set<std::uint64_t> m_jobs;
    std::map<std::uint64_t, observation> m_observations;
    std::unordered_map<std::string, std::uint64_t> m_observationByResource; // observation number
    std::map<core::feed_id, std::uint64_t> m_observationByFeed;             // observation number
    std::vector<core::feed_id> m_feedsAwaitingState; // until deliverLatestStates()
    std::uint64_t m_lastObservationNumber = 0;
    std::vector<core::job_id> m_unsentJobs;
    std::uint64_t m_lastControlNumber = 0;
    bool m_closing = false;
};

upstream_client::upstream_client(const core::endpoint &upstream, upstream_events &events)
    : m_implementation(std::make_unique<implementation>(upstream, events))
{ }

upstream_client::~upstream_client() = default;

int upstream_client::descriptor() const
{
    return m_implementation->descriptor();
}

void upstream_client::process()
{
    m_implementation->process();
    m_implementation->completeUnsentJobs();
    m_implementation->deliverLatestStates();
}

void upstream_client::startJob(const core::upstream_request &request, core::duration remaining)
{
    m_implementation->startJob(request, remaining);
}

void upstream_client::cancelJob(core::job_id job)
{
    m_implementation->cancelJob(job);
}

void upstream_client::startFeed(core::feed_id feed, const core::feed_state &state)
{
    m_implementation->startFeed(feed, state);
}

void upstream_client::stopFeed(core::feed_id feed)
{
    m_implementation->stopFeed(feed);
}

} // namespace oriolehold::agent
