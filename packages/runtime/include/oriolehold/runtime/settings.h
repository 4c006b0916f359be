#pragma once

#include "oriolehold/core/types.h"

#include <boost/leaf.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// Settings files of the daemons, JSON with comments (docs/configuration.md). They take effect at
// start.

namespace oriolehold::runtime {

// LEAF error object that describes the first invalid value of a settings file.
struct settings_error
{
    std::string path;     // for example "listeners[0].address"; empty for the file as a whole
    std::string expected; // what a valid value is
};

struct listener
{
    core::service_id service {};
    core::endpoint address;

    bool operator==(const listener &) const = default;
};

struct log_settings
{
    std::string level = "info";    // "debug", "info", "warning" or "error"
    std::string format = "text";   // or "json"
    std::string output = "stderr"; // or "stdout"

    bool operator==(const log_settings &) const = default;
};

struct entry_settings
{
    core::entry_id id {};
    std::string zone;
    core::endpoint envelopeAddress;
    std::vector<listener> listeners;
    core::endpoint platform;
    core::endpoint admin;
    std::string drainKey;              // empty disables the drain over HTTP
    std::vector<core::endpoint> peers; // admin addresses of other processes
    unsigned trafficThreads = 1;
    std::string policy = "smooth-weighted";
    std::chrono::milliseconds suspectAfter { 1500 };
    std::chrono::milliseconds warmUp { 10000 };
    std::chrono::seconds drainLimit { 30 };
    log_settings log;
};

struct agent_settings
{
    core::upstream_id id {};
    std::string zone;
    core::endpoint envelopeAddress;
    core::endpoint upstream; // CoAP server
    core::endpoint platform;
    core::endpoint admin;
    std::string drainKey;              // empty disables the drain over HTTP
    std::vector<core::endpoint> peers; // admin addresses of other processes
    std::string scheduler = "priority-lanes";
    std::size_t maxQueued = 256;
    std::size_t maxLedger = 100000;
    std::chrono::seconds drainLimit { 30 };
    std::chrono::milliseconds warmUp { 10000 };
    std::chrono::milliseconds keepAlive { 5000 };
    log_settings log;
};

// Bounds of the rate of opening packets at an upstream in its warm-up: the published rate times
// overage, plus slack, in any second.
struct warm_up_bounds
{
    double overage = 1.0;
    std::uint32_t slack = 0; // opening packets

    bool operator==(const warm_up_bounds &) const = default;
};

// Settings of the entry and the agent on the flow path.
struct flow_settings
{
    std::string file; // path of the settings file; empty for parsed text
    std::string instance;
    std::string zone;
    core::endpoint packets;            // receives packets of clients and other processes
    std::uint16_t peerPort {};         // messages between processes; the same on all instances
    core::endpoint store;              // has the published routes and upstreams; entries only
    std::vector<core::endpoint> seeds; // other entry instances; their ports are ignored
    core::endpoint admin;
    core::endpoint metrics; // second address of the admin interface; optional
    std::string readyPath = "/readyz";
    std::chrono::seconds drainLimit { 5 };
    bool evacuation = false;                    // the operator may evacuate availability zones
    std::optional<warm_up_bounds> warmUp;       // empty: upstreams are not limited in their warm-up
    std::chrono::milliseconds firstUseDelay {}; // entries only; 0: none
    bool pace = false;                          // agents only
    bool overloadControl = false;               // agents only
    // The upstream of this agent; agents only.
    std::string service;
    core::endpoint upstream;        // receives packets
    core::endpoint upstreamPackets; // receives the packets of the upstream
    log_settings log;

    bool operator==(const flow_settings &) const = default;
};

// Parse or load a settings file. They fail with a settings_error and do not throw. The names of
// policies and schedulers are validated by the daemons.
boost::leaf::result<entry_settings> parseEntrySettings(std::string_view json);
boost::leaf::result<agent_settings> parseAgentSettings(std::string_view json);
boost::leaf::result<entry_settings> loadEntrySettings(const std::string &file);
boost::leaf::result<agent_settings> loadAgentSettings(const std::string &file);
boost::leaf::result<flow_settings> parseFlowEntrySettings(std::string_view json);
boost::leaf::result<flow_settings> parseFlowAgentSettings(std::string_view json);
boost::leaf::result<flow_settings> loadFlowEntrySettings(const std::string &file);
boost::leaf::result<flow_settings> loadFlowAgentSettings(const std::string &file);

} // namespace oriolehold::runtime
