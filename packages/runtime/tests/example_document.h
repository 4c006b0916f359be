#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

// A small valid configuration document for tests.

namespace oriolehold::runtime::testing {

inline nlohmann::json exampleDocument(std::uint64_t generation = 7)
{
    nlohmann::json document = nlohmann::json::parse(R"({
        "keys": [ { "id": 1, "secret": "000102030405060708090a0b0c0d0e0f" } ],
        "signing_key": 1, "token_lifetime_s": 3600, "ticket_lifetime_s": 120,
        "services": [ { "id": 1, "name": "orders", "tenant": "manao", "address": "127.0.0.1:18101",
            "classes": [
                { "name": "feed", "kind": "feed", "method": "GET", "path": "stock",
                  "idempotent": true, "priority": 0, "deadline_ms": 1000 },
                { "name": "order", "kind": "request", "method": "POST", "path": "orders",
                  "idempotent": false, "priority": 0, "deadline_ms": 2000 } ] } ],
        "upstreams": [
            { "id": 11, "service": 1, "index": 0, "zone": "a", "agent": "127.0.0.1:18201",
              "slots": 2, "strength": 1.5, "connections": 2000, "state": "live" },
            { "id": 12, "service": 1, "index": 1, "zone": "b", "agent": "127.0.0.1:18202",
              "slots": 2, "strength": 1, "connections": 2000, "state": "leaving" } ],
        "entries": [ { "id": 21, "zone": "a", "address": "127.0.0.1:18301" } ]
    })");
    document["generation"] = generation;
    return document;
}

inline std::string exampleText(std::uint64_t generation = 7)
{
    return exampleDocument(generation).dump();
}

} // namespace oriolehold::runtime::testing
