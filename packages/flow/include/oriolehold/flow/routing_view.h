#pragma once

#include "oriolehold/base/types.h"

#include <boost/leaf.hpp>

#include <chrono>
#include <compare>
#include <optional>
#include <string>
#include <vector>

// Routes and upstreams as the operator and the upstreams publish them in the store.

namespace oriolehold::flow {

// Position in the history of the store. Each restore of the store from a copy begins a new era,
// which repeats the revisions after the copy.
struct store_revision
{
    std::uint64_t era = 0; // as announced by the store; 0: unknown
    std::uint64_t number = 0;

    auto operator<=>(const store_revision &) const = default; // NOLINT(modernize-use-nullptr)
};

struct weighted_service
{
    std::string name;
    // Share of new flows, relative to the route's other services. A service with weight 0 gets no
    // new flows and may hold open ones.
    std::uint32_t weight = 1;

    bool operator==(const weighted_service &) const = default;
};

// A published address and its services.
struct flow_route
{
    base::endpoint address;
    std::vector<weighted_service> services; // new flows are reset if none has a weight above 0
    std::uint8_t priority = 0;              // of the requests; 0 is the most urgent, 15 the least
    // Of the requests; 0 means "unknown".
    std::chrono::milliseconds latencyObjective {};
    std::chrono::milliseconds timeout {};

    bool operator==(const flow_route &) const = default;
};

// Whether the route has the service, so that its upstreams probably hold flows of the route. The
// service is given by its name or by its digest.
bool mayServe(const flow_route &route, std::string_view serviceName);
bool mayServe(const flow_route &route, std::uint32_t digest);
// Whether new flows of the route go to the service.
bool takesFlows(const flow_route &route, std::string_view serviceName);

// The published warm-up of a service's upstreams.
struct service_warm_up
{
    std::string service;
    std::chrono::milliseconds duration {}; // after the start of an upstream
    double requestsPerSecond = 0;          // that an upstream bears meanwhile; 0: no limit

    bool operator==(const service_warm_up &) const = default;
};

struct flow_configuration
{
    std::uint64_t version = 0; // assigned by the operator, increasing; 0 means "none yet"
    std::vector<flow_route> routes;
    std::chrono::milliseconds idleTimeout { 15000 };
    std::vector<std::string> services;    // names of all that exist, with or without a route
    std::vector<service_warm_up> warmUps; // of services that publish one

    bool operator==(const flow_configuration &) const = default;
};

enum class upstream_phase : std::uint8_t {
    ready,
    draining, // keeps its flows and takes no new ones
};

struct upstream_record
{
    std::string id;
    std::string service;
    base::endpoint address;
    std::string zone;
    std::uint32_t slots = 1; // requests processed at the same time
    upstream_phase phase = upstream_phase::ready;
    std::chrono::milliseconds warmUpLeft {}; // remaining time, from the read, of its slow start
    std::uint64_t incarnation = 0;           // higher after a restart of the upstream; 0: unknown

    bool operator==(const upstream_record &) const = default;
};

// Availability zones whose upstreams take no new flows, as set by the operator.
struct zone_evacuation
{
    store_revision revision;        // of the store when the set was read; zero: never read
    std::vector<std::string> zones; // sorted, without duplicates

    bool operator==(const zone_evacuation &) const = default;
};

struct upstream_list
{
    store_revision revision; // at the time of the read
    std::vector<upstream_record> upstreams;
    zone_evacuation evacuation;

    bool operator==(const upstream_list &) const = default;
};

// LEAF error object: why a read of the store failed.
enum class read_failure : std::uint8_t {
    unreachable, // no complete answer in time
    refused,     // the store rejected the call
    malformed,   // the answer does not have the published form
    absent,      // nothing is published yet
    restored,    // the store was restored between the pages of the answer
    incomplete,  // a long list is read in parts; the next call continues
};

std::string_view toString(read_failure failure);

// Totals since the start of the process, but for rejectedEntries.
struct source_counters
{
    std::uint64_t requests = 0;        // to the store
    std::uint64_t rejections = 0;      // revisions of entries that describe no usable upstream
    std::uint64_t rejectedEntries = 0; // in the present list
};

// Reads the store that the operator and the upstreams write to. Calls may block up to their own
// time limits; the control thread makes them.
class view_source
{
public:
    virtual ~view_source() = default;
    // Returns the configuration in force. Returns an empty optional when it is the one that the
    // last successful call returned, or when a restored store does not have it yet. Fails with a
    // read_failure.
    virtual boost::leaf::result<std::optional<flow_configuration>> readConfiguration() = 0;
    // Fails with a read_failure.
    virtual boost::leaf::result<upstream_list> readUpstreams() = 0;
    virtual source_counters counters() const = 0;
};

} // namespace oriolehold::flow
