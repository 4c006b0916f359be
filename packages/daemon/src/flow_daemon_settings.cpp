#include "oriolehold/daemon/flow_daemon_settings.h"

#include "oriolehold/runtime/log_events.h"

namespace oriolehold::daemon {

using runtime::log_event;

std::optional<runtime::flow_settings> reloadSettings(const runtime::flow_settings &current,
                                                     const flow_settings_loader &load)
{
    using outcome = std::optional<runtime::flow_settings>;
    return boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<outcome> {
                BOOST_LEAF_AUTO(settings, load(current.file));
                const bool changed = !(settings == current);
                runtime::log(log_event::settingsReloaded,
                             { { "file", current.file },
                               { "changed", std::string_view(changed ? "yes" : "no") } });
                return changed ? outcome(std::move(settings)) : outcome();
            },
            [&](const runtime::settings_error &error) {
                runtime::log(log_event::settingsInvalid,
                             { { "file", current.file },
                               { "path", error.path },
                               { "expected", error.expected } });
                return outcome();
            },
            [&] {
                runtime::log(log_event::settingsInvalid, { { "file", current.file } });
                return outcome();
            });
}

std::vector<base::endpoint> adminAddresses(const runtime::flow_settings &settings)
{
    std::vector<base::endpoint> result { settings.admin };
    if (!settings.metrics.isNull())
        result.push_back(settings.metrics);
    return result;
}

} // namespace oriolehold::daemon
