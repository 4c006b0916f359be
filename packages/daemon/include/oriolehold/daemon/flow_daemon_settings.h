#pragma once

#include "oriolehold/runtime/settings.h"

#include <functional>
#include <optional>

// Settings functions shared by the entry and agent daemons of the flow path.

namespace oriolehold::daemon {

using flow_settings_loader =
        std::function<boost::leaf::result<runtime::flow_settings>(const std::string &file)>;

// Reloads the settings file of current and logs the outcome. Returns an empty optional when the
// settings are unchanged or invalid; the caller then keeps current.
std::optional<runtime::flow_settings> reloadSettings(const runtime::flow_settings &current,
                                                     const flow_settings_loader &load);

// Listen addresses of the administration server: the admin address and, if it is set, the separate
// address for metrics.
std::vector<base::endpoint> adminAddresses(const runtime::flow_settings &settings);

} // namespace oriolehold::daemon
