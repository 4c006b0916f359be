#pragma once

#include "oriolehold/core/types.h"

#include <atomic>
#include <chrono>
#include <map>
#include <optional>
#include <string>

namespace oriolehold::runtime {

struct http_response
{
    unsigned status = 0;
    std::string body;
    std::map<std::string, std::string> headers; // names in lower case
};

// Sends GET http://server<path>?<query> on a new connection and blocks until the response is
// complete. Returns an empty optional on a connection error, when the response is not complete
// within the timeout, when the body is larger than maximumSize bytes, or soon after stopped is set.
// While parts of the body arrive, the timeout begins again, up to four times its length in all.
std::optional<http_response> httpGet(core::endpoint server, const std::string &path,
                                     const std::string &query, std::size_t maximumSize,
                                     std::chrono::milliseconds timeout,
                                     const std::atomic<bool> &stopped);

} // namespace oriolehold::runtime
