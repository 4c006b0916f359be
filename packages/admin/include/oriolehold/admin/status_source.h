#pragma once

#include <string>
#include <string_view>

namespace oriolehold::admin {

// What a daemon shows to operators and peers. The functions are called from the threads of the
// admin_server, at the same time, and must not wait for the traffic.
class status_source
{
public:
    virtual ~status_source() = default;

    // Whether the process accepts traffic.
    virtual bool ready() const = 0;
    // Path of the readiness check.
    virtual std::string_view readyPath() const { return "/readyz"; }
    // Prometheus text format, version 0.0.4.
    virtual std::string metrics() const = 0;
    // A JSON document about the present state.
    virtual std::string state() const = 0;
    // The published document in effect; empty before the first.
    virtual std::string document() const = 0;
    // Whether a key is configured. Without one there is no drain over HTTP.
    virtual bool drainEnabled() const { return true; }
    // Starts the drain if the key is right (see matchesKey()) and returns whether it is. Repeated
    // calls have no further effect.
    virtual bool drain(std::string_view key) = 0;
};

// Compares keys in a time that does not depend on where they differ. An empty configured key
// matches nothing.
bool matchesKey(std::string_view configured, std::string_view presented);

} // namespace oriolehold::admin
