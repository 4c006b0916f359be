#pragma once

#include "../common/coap_support.h"

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

// CoAP server that simulates a customer's back end. It runs jobs on a limited number of slots,
// rejects work beyond its limits and publishes feeds.

namespace oriolehold::standins {

struct upstream_options
{
    std::string listen; // ip:port
    std::string service;
    std::size_t slots = 2;
    double strength = 1.0;          // relative speed of one slot
    std::size_t connections = 2000; // connection limit
    std::int64_t coldStartUs = 0;   // time from the start until full speed
    std::string records;            // path of the record file; empty: none
    std::uint64_t seed = 1;
    double shedProbability = 0;
    std::int64_t feedIntervalUs = 1'000'000;
};

// Not thread-safe: the event loop in main.cpp makes all calls.
class job_server
{
public:
    // The context must outlive the server.
    job_server(upstream_options options, coap_context_t *context);

    // Answers finished jobs and publishes a new feed state when it is due.
    void advance(std::int64_t nowUs);
    // Time at which advance() has to be called next, in Unix microseconds.
    std::int64_t nextTimer() const;
    // Must be called before each read of packets from the socket.
    void beginRead(std::int64_t nowUs)
    {
        m_previousReadUs = m_currentReadUs;
        m_currentReadUs = nowUs;
    }

    void toggleDrain() { m_draining = !m_draining; }
    // Rejects all further work.
    void stop() { m_stopping = true; }
    bool idle() const { return m_jobs.empty(); }

private:
    struct running_job
    {
        std::string id;
        std::string number; // value of the query "job"
        std::string path;
        coap_session_t *session = nullptr; // reference held until the response is sent
        std::string token;
        coap_pdu_type_t type = COAP_MESSAGE_CON;
        std::int64_t workUs = 0; // run time at strength 1
        std::int64_t endUs = 0;
        std::size_t bodySize = 0; // 0: short JSON response
        coap_block_t block {};
    };

    static job_server &serverOf(const coap_session_t *session);
    static int handleEvent(coap_session_t *session, coap_event_t event);
    static void handleWork(coap_resource_t *resource, coap_session_t *session,
                           const coap_pdu_t *request, const coap_string_t *query,
                           coap_pdu_t *response);
    static void handleFeed(coap_resource_t *resource, coap_session_t *session,
                           const coap_pdu_t *request, const coap_string_t *query,
                           coap_pdu_t *response);
    static void handleCancel(coap_resource_t *resource, coap_session_t *session,
                             const coap_pdu_t *request, const coap_string_t *query,
                             coap_pdu_t *response);

    void addResource(const char *path, coap_request_t method, coap_method_handler_t handler,
                     bool observable);
    bool admitConnection(const coap_session_t *session);
    // Whether a job of this request is running.
    bool isRunning(const coap_session_t *session, const std::string &token) const;
    // Returns the reason to reject a job, or an empty string to accept it.
    std::string refusal(const coap_session_t *session, std::span<const std::string> queries);
    void start(coap_session_t *session, const coap_pdu_t *request,
               std::span<const std::string> queries, std::string path);
    void answer(const running_job &job);
    void cancel(std::map<std::uint64_t, running_job>::iterator position);
    void record(const char *event, const running_job &job, std::int64_t nowUs);
    // Upper bound of the time that the current packet waited in the socket's receive buffer; 0 if
    // the last read was recent.
    std::int64_t maxSocketQueueTimeUs() const;
    double currentSpeed(std::int64_t nowUs) const;

    upstream_options m_options;
    coap_context_t *m_context;
    record_file m_records;
    std::mt19937_64 m_random;
    std::int64_t m_startUs;
    std::int64_t m_previousReadUs;
    std::int64_t m_currentReadUs;
    std::int64_t m_nextFeedUs;
    std::uint64_t m_feedState = 0;
    std::vector<coap_resource_t *> m_feeds;
    std::uint64_t m_lastJob = 0;
    std::map<std::uint64_t, running_job> m_jobs; // running jobs by internal number
    std::set<const coap_session_t *> m_connections;
    bool m_draining = false;
    bool m_stopping = false;
};

} // namespace oriolehold::standins
