#pragma once

#include "oriolehold/runtime/settings.h"

#include <chrono>
#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>
#include <variant>

// Structured log events with stable numbers. docs/log-events.md lists them; a test compares the
// page with the table in the code.

namespace oriolehold::runtime {

enum class log_event : std::uint16_t {
    // 1xxx: process
    processStart = 1001,
    processReady = 1002,
    drainStarted = 1003,
    drainFinished = 1004,
    drainCutOff = 1005,
    secondSignal = 1006,
    processStop = 1007,
    internalError = 1008,

    // 2xxx: settings and configuration
    settingsInvalid = 2001,
    settingsValid = 2002,
    configurationInEffect = 2003,
    configurationRejected = 2004,
    configurationOlder = 2005,
    configurationConflict = 2006,
    platformUnreachable = 2007,
    platformReachable = 2008,
    peerDocument = 2009,
    notInDocument = 2010,
    settingsReloaded = 2011,

    // 3xxx: liveness
    agentSuspect = 3001,
    agentRecovered = 3002,
    agentRestarted = 3003,
    isolated = 3004,
    isolationEnded = 3005,
    upstreamUnreachable = 3006,
    upstreamReachable = 3007,
    entryUnreachable = 3008,
    entryReachable = 3009,

    // 4xxx: traffic, rate-limited
    packetDropped = 4001,
    envelopeDropped = 4002,
    sendFailed = 4003,
    receiveFailed = 4004,
    workRefused = 4005,
    outcomeUnknown = 4006,

    // 5xxx: handover
    handoverDone = 5001,
    handoverFailed = 5002,

    // 6xxx: operators
    adminListening = 6001,
    adminFailed = 6002,
    drainRequested = 6003,
    drainDenied = 6004,

    // 7xxx: flow path
    flowPlaced = 7001,
    flowReplaced = 7002,
    flowSearchStarted = 7003,
    flowOwnerFound = 7004,
    flowReset = 7005,
    flowDropped = 7006,
    flowOpened = 7007,
    flowOpeningRefused = 7008,
    flowAbsent = 7009,
    routesInForce = 7010,
    upstreamAdded = 7011,
    upstreamRemoved = 7012,
    upstreamPhaseChanged = 7013,
    upstreamRestarted = 7014,
    upstreamEntryRejected = 7015,
    storeUnreachable = 7016,
    storeReachable = 7017,
    flowOwnerChanged = 7018,
    flowSearchEnded = 7019,
    storeRead = 7020,
    storeRestored = 7021,
    evacuationChanged = 7022,
    unknownZoneEvacuated = 7023,
    upstreamLimitChanged = 7030,
};

enum class log_level : std::uint8_t { debug, info, warning, error };

struct log_event_info
{
    log_event event;
    std::string_view name; // as in docs/log-events.md
    log_level level;
    std::chrono::milliseconds interval; // at most one line per interval; 0 for no limit
    std::string_view text;              // one sentence for operators
};

// All events, sorted by number.
std::span<const log_event_info> logEvents();
const log_event_info &info(log_event event);

struct log_field
{
    log_field(std::string_view fieldName, std::signed_integral auto number)
        : name(fieldName), value(std::int64_t { number })
    { }
    log_field(std::string_view fieldName, std::unsigned_integral auto number)
        : name(fieldName), value(std::uint64_t { number })
    { }
    log_field(std::string_view fieldName, std::string_view text)
        : name(fieldName), value(std::string(text))
    { }

    std::string_view name;
    std::variant<std::int64_t, std::uint64_t, std::string> value;
};

// Starts asynchronous logging with the output and format of the settings. A separate thread writes
// the lines; when the reader of the output is slow, the oldest lines are dropped. Before the first
// call and after stopLogging(), lines of level info and above are written synchronously as text to
// the standard error output.
void initLogging(const log_settings &settings);
// Writes the pending lines and ends the thread. Call it before the process exits.
void stopLogging();

// Writes one line unless the level or the rate limit of the event suppresses it. The next line of a
// rate-limited event has the number of suppressed lines in the field "suppressed". Thread-safe;
// does not throw.
void log(log_event event, std::initializer_list<log_field> fields = {}) noexcept;

} // namespace oriolehold::runtime
