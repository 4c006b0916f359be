#include "oriolehold/random_run/random_run.h"

#include <tclap/CmdLine.h>

#include <cstdio>

using namespace oriolehold;

namespace {

struct seed_range
{
    std::uint64_t first = 1;
    std::uint64_t last = 1;
};

seed_range parseSeeds(const std::string &text)
{
    const std::size_t dash = text.find('-');
    const std::uint64_t first = std::stoull(text.substr(0, dash));
    return { first, dash == std::string::npos ? first : std::stoull(text.substr(dash + 1)) };
}

void print(std::uint64_t seed, const random_run::run_result &result)
{
    const random_run::run_totals &totals = result.totals;
    std::printf(
            "seed %llu: steps %llu, orders %llu (done %llu, not run %llu, unknown %llu, unanswered "
            "%llu), guides %llu (failed %llu), feeds %llu (broken %llu, handed over %llu), "
            "notifications %llu, codes",
            static_cast<unsigned long long>(seed),
            static_cast<unsigned long long>(result.planSteps),
            static_cast<unsigned long long>(totals.orders),
            static_cast<unsigned long long>(totals.done),
            static_cast<unsigned long long>(totals.notRun),
            static_cast<unsigned long long>(totals.unknown),
            static_cast<unsigned long long>(totals.unanswered),
            static_cast<unsigned long long>(totals.guides),
            static_cast<unsigned long long>(totals.failedGuides),
            static_cast<unsigned long long>(totals.feeds),
            static_cast<unsigned long long>(totals.brokenFeeds),
            static_cast<unsigned long long>(result.feedsHandedOver),
            static_cast<unsigned long long>(totals.notifications));
    for (const auto &[code, count] : totals.codes)
        std::printf(" %s=%llu", code.c_str(), static_cast<unsigned long long>(count));
    std::printf("\n");
}

// Planned changes may break no feed or guide, and every order must be done.
bool plannedRunIsClean(const random_run::run_totals &totals)
{
    return totals.brokenFeeds == 0 && totals.failedGuides == 0 && totals.unanswered == 0
            && totals.unknown == 0 && totals.notRun == 0;
}

} // namespace

// Exit status: 0 no violation, 1 violation (its text is printed), 2 invalid options.
int main(int argc, char **argv)
{
    try {
        TCLAP::CmdLine command("Randomised runs of the oriolehold core in virtual time", ' ',
                               "0.1.0");
        TCLAP::ValueArg<std::string> seeds("", "seeds", "first and last seed", false, "1-20",
                                           "FROM-TO", command);
        std::vector<std::string> planNames { "planned", "faults", "restores" };
        TCLAP::ValuesConstraint<std::string> planConstraint(planNames);
        TCLAP::ValueArg<std::string> plan("", "plan", "which changes happen", false, "faults",
                                          &planConstraint, command);
        std::vector<std::string> variantNames { "correct", "modulo-routing", "same-incarnation" };
        TCLAP::ValuesConstraint<std::string> variantConstraint(variantNames);
        TCLAP::ValueArg<std::string> variant("", "variant", "a deliberately wrong variant", false,
                                             "correct", &variantConstraint, command);
        TCLAP::ValueArg<int> seconds("", "seconds", "virtual length of a run", false, 60, "SECONDS",
                                     command);
        TCLAP::SwitchArg quiet("", "quiet", "print violations only", command);
        command.parse(argc, argv);

        random_run::run_options options;
        options.plan = plan.getValue() == "planned" ? random_run::change_plan::planned
                : plan.getValue() == "restores"     ? random_run::change_plan::restores
                                                    : random_run::change_plan::faults;
        options.length = std::chrono::seconds { seconds.getValue() };
        if (variant.getValue() == "modulo-routing")
            options.variant = random_run::variant::moduloRouting;
        else if (variant.getValue() == "same-incarnation")
            options.variant = random_run::variant::sameIncarnation;
        const seed_range range = parseSeeds(seeds.getValue());
        for (options.seed = range.first; options.seed <= range.last; ++options.seed) {
            const random_run::run_result result = random_run::runOnce(options);
            const bool clean = options.plan != random_run::change_plan::planned
                    || plannedRunIsClean(result.totals);
            if (!quiet.getValue() || !clean)
                print(options.seed, result);
            if (!clean) {
                std::printf(
                        "violation with seed %llu: a planned change broke a flow or a request\n",
                        static_cast<unsigned long long>(options.seed));
                return 1;
            }
        }
        return 0;
    } catch (const TCLAP::ArgException &error) {
        std::fprintf(stderr, "%s: %s\n", error.argId().c_str(), error.error().c_str());
        return 2;
    } catch (const std::invalid_argument &) {
        std::fprintf(stderr, "--seeds: expected FROM-TO\n");
        return 2;
    } catch (const random_run::violation &error) {
        std::printf("violation: %s\n", error.what());
        return 1;
    }
}
