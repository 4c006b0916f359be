#include "oriolehold/daemon/flow_daemon_settings.h"

#include <CppUTest/TestHarness.h>

using namespace oriolehold;
using namespace oriolehold::daemon;

namespace {

runtime::flow_settings settings()
{
    runtime::flow_settings result;
    result.file = "settings.json";
    result.admin = { 1, 2 };
    return result;
}

} // namespace

TEST_GROUP(flow_daemon_settings) {};

TEST(flow_daemon_settings, ChangedSettingsAreReturned)
{
    const auto reloaded = reloadSettings(
            settings(), [](const std::string &) -> boost::leaf::result<runtime::flow_settings> {
                runtime::flow_settings changed = settings();
                changed.store = { 3, 4 };
                return changed;
            });

    CHECK_TRUE(reloaded.has_value());
    CHECK_TRUE((reloaded->store == base::endpoint { 3, 4 }));
}

TEST(flow_daemon_settings, UnchangedSettingsAreNotReturned)
{
    CHECK_FALSE(
            reloadSettings(settings(),
                           [](const std::string &) -> boost::leaf::result<runtime::flow_settings> {
                               return settings();
                           })
                    .has_value());
}

// A partially written file must not replace valid settings.
TEST(flow_daemon_settings, InvalidSettingsAreNotReturned)
{
    CHECK_FALSE(
            reloadSettings(settings(),
                           [](const std::string &) -> boost::leaf::result<runtime::flow_settings> {
                               return boost::leaf::new_error(
                                       runtime::settings_error { "store", "an address" });
                           })
                    .has_value());
}

TEST(flow_daemon_settings, MetricsHaveTheirOwnAddressOnlyWhenSet)
{
    runtime::flow_settings item = settings();
    CHECK_EQUAL(1, adminAddresses(item).size());
    item.metrics = { 1, 9464 };
    CHECK_EQUAL(2, adminAddresses(item).size());
}
