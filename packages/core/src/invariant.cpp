#include "oriolehold/core/invariant.h"

#include <atomic>
#include <cstdio>
#include <cstdlib>

namespace oriolehold::core {

namespace {

void abortProcess(std::string_view text, const char *file, int line)
{
    std::fprintf(stderr, "%s:%d: invariant violated: %.*s\n", file, line,
                 static_cast<int>(text.size()), text.data());
    std::abort();
}

std::atomic<invariant_handler> currentHandler { abortProcess };

} // namespace

invariant_handler setInvariantHandler(invariant_handler handler)
{
    return currentHandler.exchange(handler);
}

void reportViolation(std::string_view text, const char *file, int line)
{
    currentHandler.load()(text, file, line);
}

} // namespace oriolehold::core
