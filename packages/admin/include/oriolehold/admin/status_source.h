#pragma once

#include <string>
#include <string_view>

namespace oriolehold::admin {

// State of a daemon that the admin_server exposes to operators and peers. The functions are called
// concurrently from the threads of the admin_server and must not block on the traffic threads.
class status_source
{
public:
    virtual ~status_source() = default;

    // Whether the process accepts traffic.
    virtual bool ready() const = 0;
    // HTTP path of the readiness check.
    virtual std::string_view readyPath() const { return "/readyz"; }
    // Prometheus text format, version 0.0.4.
    virtual std::string metrics() const = 0;
    // The current state as a JSON document.
    virtual std::string state() const = 0;
    // The configuration document in effect; empty before the first.
    virtual std::string document() const = 0;
    // Whether a drain key is configured. Without one, drain over HTTP is disabled.
    virtual bool drainEnabled() const { return true; }
    // Starts the drain if the key matches (see matchesKey()) and returns whether it does. Repeated
    // calls have no further effect.
    virtual bool drain(std::string_view key) = 0;
};

// Compares keys of equal length in constant time, against timing attacks. An empty configured key
// matches nothing.
bool matchesKey(std::string_view configured, std::string_view presented);

} // namespace oriolehold::admin
