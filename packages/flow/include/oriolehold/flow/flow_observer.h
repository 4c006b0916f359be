#pragma once

#include "oriolehold/flow/packet.h"
#include "oriolehold/flow/upstream_directory.h"
#include "oriolehold/flow/upstream_pace.h"

#include <span>
#include <string>
#include <string_view>

// Receives the decisions of the flow path, for logs and metrics.

namespace oriolehold::flow {

enum class decision_kind : std::uint8_t {
    placed,         // a new flow was given to an upstream
    replaced,       // after a refusal, a new flow was given to another upstream
    searchStarted,  // the owner of an open flow is unknown, or denied it
    ownerFound,     // an agent holds a flow that was searched for
    ownerChanged,   // an agent claimed a flow that another agent had claimed before
    searchEnded,    // a search ended without an owner and without a reset
    reset,          // a reset was sent to a client whose flow does not exist
    dropped,        // a packet was discarded
    flowOpened,     // the agent's upstream opened a flow
    openingRefused, // the agent's upstream did not accept a flow
    flowAbsent,     // the agent's upstream does not hold a flow
};

// One decision with the inputs that led to it.
struct flow_decision
{
    decision_kind kind = decision_kind::placed;
    flow_key flow {};
    std::uint32_t machine = 0; // IPv4 address of the agent that was chosen or answered; 0: none
    std::uint32_t formerMachine = 0; // IPv4 address of the agent that had claimed the flow before
    std::string_view upstream {};    // its id
    std::string_view reason {};
    std::uint64_t configurationVersion = 0;
    base::duration viewAge {};      // since the list of upstreams was read
    base::duration reportAge {};    // since the agent's last report
    base::duration elapsed {};      // since the start of the search
    std::uint32_t running = 0;      // requests at the upstream
    std::uint32_t candidates = 0;   // upstreams considered or searched, or entry instances notified
    std::uint32_t probes = 0;       // sent in the search
    std::uint32_t unprobed = 0;     // candidates of the search that got no probe
    std::uint32_t unanswered = 0;   // candidates of the search that got a probe and did not deny
    base::duration expectedWait {}; // the shortest that agents reported; of a refusal for overload
    base::duration objective {};    // of the route; of a refusal for overload
};

// Times of one request, counted from its first packet at the agent.
struct request_times
{
    std::uint8_t priority = 0; // of its route
    base::duration held {};    // until delivery to the upstream
    base::duration service {}; // from delivery to the first part of the answer
};

class flow_observer
{
public:
    virtual ~flow_observer() = default;
    // Does nothing by default: entry instances do not track requests.
    virtual void requestAnswered(const request_times &) { }
    // Does nothing by default: only agents limit upstreams.
    virtual void paceChanged(const pace_change &) { }
    virtual void decisionMade(const flow_decision &decision) = 0;
    virtual void directoryChanged(const directory_change &change) = 0;
    virtual void routesChanged(const flow_configuration &configuration) = 0;
    // The set of evacuated zones has changed. Does nothing by default: agents do not use it.
    virtual void evacuationChanged(std::span<const std::string> /*zones*/) { }
    // A list is from another era of the store than the one before. Does nothing by default: agents
    // use no lists.
    virtual void storeRestored(const store_revision & /*former*/,
                               const store_revision & /*present*/)
    { }
};

} // namespace oriolehold::flow
