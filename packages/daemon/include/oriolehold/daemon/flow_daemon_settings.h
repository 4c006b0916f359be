#pragma once

#include "oriolehold/runtime/settings.h"

#include <functional>
#include <optional>

namespace oriolehold::daemon {

using flow_settings_loader =
        std::function<boost::leaf::result<runtime::flow_settings>(const std::string &file)>;

// Reads the settings file again and logs the outcome. An empty optional when it is unchanged or
// wrong; the present settings then stay.
std::optional<runtime::flow_settings> reloadSettings(const runtime::flow_settings &current,
                                                     const flow_settings_loader &load);

// Where the interface for operators listens: the admin address and that of the metrics.
std::vector<base::endpoint> adminAddresses(const runtime::flow_settings &settings);

} // namespace oriolehold::daemon
