#pragma once

#include "oriolehold/base/types.h"

#include <boost/leaf.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

// What a process believes about routes and upstreams, as the outside world publishes it.

namespace oriolehold::flow {

struct weighted_service
{
    std::string name;
    std::uint32_t weight = 1;

    bool operator==(const weighted_service &) const = default;
};

// A published address and the services that may take its new flows.
struct flow_route
{
    base::endpoint address;
    std::vector<weighted_service> services;
    std::uint8_t priority = 0; // of its requests; 0 is the most urgent, 15 the least
    // Of its requests; 0 means "unknown".
    std::chrono::milliseconds latencyObjective {};
    std::chrono::milliseconds timeout {};

    bool operator==(const flow_route &) const = default;
};

// Whether flows of the route may be at upstreams of the service, given by its name or its digest.
bool mayServe(const flow_route &route, std::string_view serviceName);
bool mayServe(const flow_route &route, std::uint32_t digest);

struct flow_configuration
{
    std::uint64_t version = 0; // numbers of the operator, increasing; 0 means "none yet"
    std::vector<flow_route> routes;
    std::chrono::milliseconds idleTimeout { 15000 };

    bool operator==(const flow_configuration &) const = default;
};

enum class upstream_phase : std::uint8_t {
    ready,
    draining, // keeps its flows and gets no new ones
};

struct upstream_record
{
    std::string id;
    std::string service;
    base::endpoint address;
    std::string zone;
    std::uint32_t slots = 1; // requests that it works on at the same time
    upstream_phase phase = upstream_phase::ready;
    std::chrono::milliseconds warmUpLeft {}; // it is slow for so long after its start
    std::uint64_t incarnation = 0;           // tells a restarted upstream from its former self

    bool operator==(const upstream_record &) const = default;
};

struct upstream_list
{
    std::uint64_t revision = 0; // of the store, at the time of the read
    std::vector<upstream_record> upstreams;

    bool operator==(const upstream_list &) const = default;
};

// LEAF error object: why a read of the store gave nothing.
enum class read_failure : std::uint8_t {
    unreachable, // no complete answer in time
    refused,     // the store turned the call away
    malformed,   // the answer has not the published form
    absent,      // nothing is published yet
};

std::string_view toString(read_failure failure);

// The store that operator and upstreams write to. Reads only; calls may block up to their own time
// limits and are made by the control thread.
class view_source
{
public:
    virtual ~view_source() = default;
    // The configuration in force. An empty optional when it is the one that the last successful
    // call returned.
    virtual boost::leaf::result<std::optional<flow_configuration>> readConfiguration() = 0;
    virtual boost::leaf::result<upstream_list> readUpstreams() = 0;
};

} // namespace oriolehold::flow
