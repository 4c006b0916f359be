#include "job_server.h"

#include <algorithm>
#include <utility>

namespace oriolehold::standins {

namespace {

// Speed at the beginning of a cold start, as a share of full speed.
constexpr double coldStartSpeedShare = 0.25;
constexpr std::int64_t defaultWorkUs = 20'000;
constexpr std::int64_t maxBodySize = 16'777'216;
// A longer time between two reads of the socket means that the process was stopped or starved.
constexpr std::int64_t maxReadGapUs = 70'000;
constexpr std::uint16_t maxUnacknowledged = 10'000;
constexpr unsigned largestBlockExponent = 6; // 1024 bytes

coap_str_const_t constantString(const char *text)
{
    return { std::char_traits<char>::length(text), reinterpret_cast<const std::uint8_t *>(text) };
}

std::string pathOf(const coap_pdu_t *request)
{
    std::string path;
    for (const std::string &segment : optionValues(request, COAP_OPTION_URI_PATH))
        path += (path.empty() ? "" : "/") + segment;
    return path;
}

bool isLargeBody(const std::string &path)
{
    return path.starts_with("guides") || path.starts_with("reports");
}

coap_block_t requestedBlock(const coap_pdu_t *request)
{
    coap_block_t block {};
    if (coap_get_block(request, COAP_OPTION_BLOCK2, &block) == 0)
        block.szx = largestBlockExponent;
    if (block.szx > largestBlockExponent)
        block.szx = largestBlockExponent;
    return block;
}

std::size_t bodySize(std::span<const std::string> queries)
{
    return static_cast<std::size_t>(
            std::clamp<std::int64_t>(queryNumber(queries, "size", 1024), 1, maxBodySize));
}

// Adds one block of the body. The body is generated anew for each block, so that a download needs
// no state.
void addBlock(coap_pdu_t *response, const std::string &id, std::size_t size, coap_block_t block)
{
    const std::size_t offset = std::size_t { block.num } << (block.szx + 4);
    if (offset >= size) {
        coap_pdu_set_code(response, COAP_RESPONSE_CODE_BAD_REQUEST);
        return;
    }
    const std::string body = largeBody(id, size);
    coap_pdu_set_code(response, COAP_RESPONSE_CODE_CONTENT);
    const auto etag = static_cast<std::uint32_t>(std::hash<std::string> {}(body)) | 1U;
    addUintOption(response, COAP_OPTION_ETAG, etag);
    const auto *data = reinterpret_cast<const std::uint8_t *>(body.data());
    coap_write_block_opt(&block, COAP_OPTION_BLOCK2, response, size);
    addUintOption(response, COAP_OPTION_SIZE2, static_cast<std::uint32_t>(size));
    coap_add_block(response, size, data, block.num, static_cast<unsigned char>(block.szx));
}

} // namespace

job_server::job_server(upstream_options options, coap_context_t *context)
    : m_options(std::move(options)), m_context(context), m_records(m_options.records),
      m_random(m_options.seed), m_startUs(unixMicroseconds()), m_previousReadUs(m_startUs),
      m_currentReadUs(m_startUs), m_nextFeedUs(m_startUs + m_options.feedIntervalUs)
{
    coap_set_app_data(context, this);
    coap_register_event_handler(context, &job_server::handleEvent);
    // Every upstream serves the paths of all services, so that a misrouted request runs and appears
    // in the records.
    addResource("orders", COAP_REQUEST_POST, &job_server::handleWork, false);
    addResource("filings", COAP_REQUEST_POST, &job_server::handleWork, false);
    addResource("stock", COAP_REQUEST_GET, &job_server::handleFeed, true);
    addResource("readings", COAP_REQUEST_GET, &job_server::handleFeed, true);
    coap_resource_t *fallback = coap_resource_unknown_init2(nullptr, 0);
    coap_register_request_handler(fallback, COAP_REQUEST_GET, &job_server::handleWork);
    coap_register_request_handler(fallback, COAP_REQUEST_DELETE, &job_server::handleCancel);
    coap_add_resource(context, fallback);
}

void job_server::addResource(const char *path, coap_request_t method, coap_method_handler_t handler,
                             bool observable)
{
    coap_str_const_t name = constantString(path);
    coap_resource_t *resource = coap_resource_init(&name, 0);
    coap_register_request_handler(resource, method, handler);
    if (observable) {
        coap_resource_set_get_observable(resource, 1);
        m_feeds.push_back(resource);
    }
    coap_add_resource(m_context, resource);
}

void job_server::advance(std::int64_t nowUs)
{
    for (auto position = m_jobs.begin(); position != m_jobs.end();) {
        if (position->second.endUs > nowUs) {
            ++position;
            continue;
        }
        record("end", position->second, nowUs);
        answer(position->second);
        coap_session_release(position->second.session);
        position = m_jobs.erase(position);
    }
    if (m_nextFeedUs <= nowUs) {
        ++m_feedState;
        m_nextFeedUs = nowUs + m_options.feedIntervalUs;
        for (coap_resource_t *feed : m_feeds)
            coap_resource_notify_observers(feed, nullptr);
    }
}

std::int64_t job_server::nextTimer() const
{
    std::int64_t next = m_nextFeedUs;
    for (const auto &[number, job] : m_jobs)
        next = std::min(next, job.endUs);
    return next;
}

job_server &job_server::serverOf(const coap_session_t *session)
{
    return *static_cast<job_server *>(coap_get_app_data(coap_session_get_context(session)));
}

int job_server::handleEvent(coap_session_t *session, coap_event_t event)
{
    // With libcoap's default NSTART of 1, a response would wait until the peer has acknowledged the
    // previous one.
    if (event == COAP_EVENT_SERVER_SESSION_NEW)
        coap_session_set_nstart(session, maxUnacknowledged);
    else if (event == COAP_EVENT_SERVER_SESSION_DEL)
        serverOf(session).m_connections.erase(session);
    return 0;
}

bool job_server::admitConnection(const coap_session_t *session)
{
    if (!m_connections.contains(session) && m_connections.size() >= m_options.connections)
        return false;
    m_connections.insert(session);
    return true;
}

bool job_server::isRunning(const coap_session_t *session, const std::string &token) const
{
    return std::ranges::any_of(m_jobs, [&](const auto &entry) {
        return entry.second.session == session && entry.second.token == token;
    });
}

std::string job_server::refusal(const coap_session_t *session, std::span<const std::string> queries)
{
    if (m_draining || m_stopping)
        return "draining";
    if (!admitConnection(session))
        return "connection limit";
    if (m_jobs.size() >= m_options.slots)
        return "no free slot";
    if (std::uniform_real_distribution<>(0, 1)(m_random) < m_options.shedProbability)
        return "shed";
    const std::int64_t deadlineMs = queryNumber(queries, "deadline", INT32_MAX);
    if (deadlineMs * 1000 <= maxSocketQueueTimeUs())
        return "deadline passed";
    return {};
}

void job_server::handleWork(coap_resource_t * /*resource*/, coap_session_t *session,
                            const coap_pdu_t *request, const coap_string_t * /*query*/,
                            coap_pdu_t *response)
{
    job_server &self = serverOf(session);
    const std::string path = pathOf(request);
    const auto queries = optionValues(request, COAP_OPTION_URI_QUERY);
    const bool large = isLargeBody(path);
    if (coap_pdu_get_code(request) == COAP_REQUEST_CODE_GET && !large) {
        coap_pdu_set_code(response, COAP_RESPONSE_CODE_NOT_FOUND);
        return;
    }
    if (self.isRunning(session, tokenOf(request)))
        return; // retransmission of a request whose job is running
    const coap_block_t block = requestedBlock(request);
    if (large && block.num > 0) {
        addBlock(response, queryValue(queries, "id").value_or(""), bodySize(queries), block);
        return;
    }
    const std::string reason = self.refusal(session, queries);
    if (!reason.empty()) {
        running_job refused;
        refused.id = queryValue(queries, "id").value_or("");
        refused.path = path;
        refused.workUs = queryNumber(queries, "work", defaultWorkUs);
        self.record("shed", refused, unixMicroseconds());
        coap_pdu_set_code(response, COAP_RESPONSE_CODE_SERVICE_UNAVAILABLE);
        addPayload(response, reason);
        return;
    }
    self.start(session, request, queries, path);
}

void job_server::start(coap_session_t *session, const coap_pdu_t *request,
                       std::span<const std::string> queries, std::string path)
{
    const std::int64_t nowUs = unixMicroseconds();
    running_job item;
    item.id = queryValue(queries, "id").value_or("");
    item.number = queryValue(queries, "job").value_or("");
    item.session = coap_session_reference(session);
    item.token = tokenOf(request);
    item.type = coap_pdu_get_type(request);
    item.workUs = std::max<std::int64_t>(0, queryNumber(queries, "work", defaultWorkUs));
    item.endUs = nowUs
            + static_cast<std::int64_t>(static_cast<double>(item.workUs) / currentSpeed(nowUs));
    if (isLargeBody(path)) {
        item.bodySize = bodySize(queries);
        item.block = requestedBlock(request);
    }
    item.path = std::move(path);
    record("start", item, nowUs);
    m_jobs.emplace(++m_lastJob, std::move(item));
}

void job_server::answer(const running_job &job)
{
    coap_pdu_t *response = coap_new_pdu(job.type, COAP_RESPONSE_CODE_CHANGED, job.session);
    if (response == nullptr)
        return;
    addToken(response, job.token);
    if (job.bodySize > 0) {
        addBlock(response, job.id, job.bodySize, job.block);
    } else {
        addPayload(response,
                   nlohmann::json { { "id", job.id },
                                    { "service", m_options.service },
                                    { "upstream", m_options.listen } }
                           .dump());
    }
    coap_send(job.session, response);
}

void job_server::handleCancel(coap_resource_t * /*resource*/, coap_session_t *session,
                              const coap_pdu_t *request, const coap_string_t * /*query*/,
                              coap_pdu_t *response)
{
    job_server &self = serverOf(session);
    const std::string path = pathOf(request);
    constexpr std::string_view prefix = "jobs/";
    const auto position = std::ranges::find_if(self.m_jobs, [&](const auto &entry) {
        return path.starts_with(prefix) && entry.second.number == path.substr(prefix.size());
    });
    if (position == self.m_jobs.end()) {
        coap_pdu_set_code(response, COAP_RESPONSE_CODE_NOT_FOUND);
        return;
    }
    coap_pdu_set_code(response, COAP_RESPONSE_CODE_DELETED);
    self.cancel(position);
}

void job_server::cancel(std::map<std::uint64_t, running_job>::iterator position)
{
    const running_job &item = position->second;
    record("cancel", item, unixMicroseconds());
    // 5.00 instead of 5.03, because 5.03 means that the job has not run at all.
    coap_pdu_t *answer = coap_new_pdu(item.type, COAP_RESPONSE_CODE_INTERNAL_ERROR, item.session);
    if (answer != nullptr) {
        addToken(answer, item.token);
        addPayload(answer, "canceled");
        coap_send(item.session, answer);
    }
    coap_session_release(item.session);
    m_jobs.erase(position);
}

void job_server::handleFeed(coap_resource_t * /*resource*/, coap_session_t *session,
                            const coap_pdu_t * /*request*/, const coap_string_t * /*query*/,
                            coap_pdu_t *response)
{
    job_server &self = serverOf(session);
    if (!self.admitConnection(session)) {
        coap_pdu_set_code(response, COAP_RESPONSE_CODE_SERVICE_UNAVAILABLE);
        return;
    }
    coap_pdu_set_code(response, COAP_RESPONSE_CODE_CONTENT);
    const std::int64_t maxAge = 2 + 2 * self.m_options.feedIntervalUs / 1'000'000;
    addUintOption(response, COAP_OPTION_MAXAGE, static_cast<std::uint32_t>(maxAge));
    addPayload(response,
               nlohmann::json { { "service", self.m_options.service },
                                { "upstream", self.m_options.listen },
                                { "state", self.m_feedState } }
                       .dump());
}

void job_server::record(const char *event, const running_job &job, std::int64_t nowUs)
{
    m_records.append({ { "event", event },
                       { "id", job.id },
                       { "service", m_options.service },
                       { "path", job.path },
                       { "time_us", nowUs },
                       { "work_us", job.workUs } });
}

// A packet that is read now arrived after the previous read began. If that was more than
// maxReadGapUs ago, the process was stopped or starved, and the packet may have waited during the
// whole gap.
std::int64_t job_server::maxSocketQueueTimeUs() const
{
    const std::int64_t gapUs = unixMicroseconds() - m_previousReadUs;
    return gapUs > maxReadGapUs ? gapUs : 0;
}

double job_server::currentSpeed(std::int64_t nowUs) const
{
    const std::int64_t age = nowUs - m_startUs;
    if (age >= m_options.coldStartUs)
        return m_options.strength;
    const double warm = static_cast<double>(age) / static_cast<double>(m_options.coldStartUs);
    return m_options.strength * (coldStartSpeedShare + (1 - coldStartSpeedShare) * warm);
}

} // namespace oriolehold::standins
