#pragma once

#include "oriolehold/base/types.h"

// Imports the value types of oriolehold/base into the core namespace.

namespace oriolehold::core {

using base::byte_vector;
using base::byte_view;
using base::duration;
using base::endpoint;
using base::endpoint_hash;
using base::entry_id;
using base::generation_number;
using base::incarnation;
using base::maxClockSkew;
using base::random_source;
using base::seeded_random;
using base::service_id;
using base::ticket_number;
using base::time_point;
using base::toInteger;
using base::toString;
using base::unixSeconds;
using base::upstream_id;

} // namespace oriolehold::core
