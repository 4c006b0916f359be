#include "oriolehold/core/smooth_weighted_policy.h"

#include "internal/candidate_score.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace oriolehold::core {

namespace {

// Credit, in flows, that is deducted per outstanding job above the fair share. With reports 500 ms
// late, 0.3 leads to an imbalance of 0.07 in balancing_comparison, 0.1 to one of 0.03.
constexpr double loadWeight = 0.1;
// Credits are clamped to this magnitude, so that an upstream that could not be chosen for a while
// gets no burst of flows afterwards.
constexpr double creditLimit = 2.0; // flows
// An upstream whose jobs per slot exceed the mean by more than this is slower than configured, and
// its share is reduced. Normal variation stays below.
constexpr double overloadThreshold = 2.0; // jobs per slot
constexpr double overloadSlope = 1.0;     // reduction per job per slot above the threshold
// The weight of a report decays with this time constant, in seconds, to a minimum. Without decay,
// one report per second leads to an imbalance of 0.31 in balancing_comparison instead of 0.05.
constexpr std::chrono::duration<double> reportWeightDecayTime { 0.2 };
constexpr double minimumReportWeight = 0.2;

constexpr std::size_t classKindCount = 3; // values of class_kind

// Load of a set of candidates.
struct load_summary
{
    explicit load_summary(std::span<const upstream_candidate> candidates)
    {
        double outstanding = 0.0;
        double slots = 0.0;
        for (const upstream_candidate &candidate : candidates) {
            outstanding += candidate.outstanding;
            slots += candidate.upstream->slots;
        }
        meanPerSlot = outstanding / slots;
        for (const upstream_candidate &candidate : candidates)
            weights += weightOf(candidate);
    }

    // Outstanding jobs above the fair share, weighted by the age of the report.
    double excessOf(const upstream_candidate &candidate) const
    {
        const double age =
                std::chrono::duration<double>(candidate.reportAge) / reportWeightDecayTime;
        const double reportWeight =
                minimumReportWeight + (1.0 - minimumReportWeight) * std::exp(-age);
        return reportWeight * (candidate.outstanding - meanPerSlot * candidate.upstream->slots);
    }

    double weightOf(const upstream_candidate &candidate) const
    {
        const double overload = excessOf(candidate) / candidate.upstream->slots - overloadThreshold;
        return internal::selectionWeight(candidate)
                / (1.0 + overloadSlope * std::max(0.0, overload));
    }

    double shareOf(const upstream_candidate &candidate) const
    {
        return weightOf(candidate) / weights;
    }

    double meanPerSlot = 0.0;
    double weights = 0.0;
};

} // namespace

double &smooth_weighted_policy::creditOf(const upstream_candidate &candidate, random_source &random)
{
    const std::size_t position = toInteger(candidate.upstream->id) * classKindCount
            + static_cast<std::size_t>(candidate.kind);
    if (position >= m_credits.size())
        m_credits.resize(position + 1, std::numeric_limits<double>::quiet_NaN());
    double &credit = m_credits[position];
    // A random initial credit prevents entries from choosing the same upstream at the same time.
    if (std::isnan(credit))
        credit = random.uniform01() - 0.5;
    return credit;
}

std::size_t smooth_weighted_policy::choose(std::span<const upstream_candidate> candidates,
                                           random_source &random)
{
    const load_summary load(candidates);
    std::size_t best = 0;
    double bestScore = -std::numeric_limits<double>::infinity();
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const upstream_candidate &candidate = candidates[i];
        double &credit = creditOf(candidate, random);
        credit = std::clamp(credit + load.shareOf(candidate), -creditLimit, creditLimit);
        const double score = credit - loadWeight * load.excessOf(candidate);
        if (score > bestScore) {
            best = i;
            bestScore = score;
        }
    }
    creditOf(candidates[best], random) -= 1.0;
    return best;
}

} // namespace oriolehold::core
