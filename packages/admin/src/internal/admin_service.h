#pragma once

#include "oriolehold/admin/status_source.h"

#include <cxxtools/http/service.h>

#include <string>
#include <string_view>

namespace oriolehold::admin::internal {

// HTTP response to a request of an operator or a peer.
struct admin_response
{
    unsigned status = 200;
    std::string contentType = "text/plain; charset=utf-8";
    std::string body;
};

// Returns the response to a request. authorization is the value of the Authorization header, or
// empty. Exceptions of the source are passed on.
admin_response respond(status_source &source, std::string_view method, std::string_view path,
                       std::string_view authorization);

// cxxtools service for all paths of the admin interface.
class admin_service : public cxxtools::http::Service
{
public:
    explicit admin_service(status_source &source) : m_source(source) { }

protected:
    cxxtools::http::Responder *createResponder(const cxxtools::http::Request &request) override;
    void releaseResponder(cxxtools::http::Responder *responder) override;

private:
    status_source &m_source;
};

} // namespace oriolehold::admin::internal
