#pragma once

#include "oriolehold/base/types.h"

namespace oriolehold::flow {

// An entry instance's position among those that share what an upstream can take until its agent's
// next report. It is drawn anew with each report, so that instances with the same report do not
// send their packets at the same moment.
struct wait_forecast
{
    double position = 0.0;        // from 0 to 1
    base::time_point drawnFor {}; // arrival of the report; epoch: none
};

} // namespace oriolehold::flow
