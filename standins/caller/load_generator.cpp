#include "load_generator.h"

#include "guide.h"

#include <algorithm>
#include <utility>

namespace oriolehold::standins {

namespace {

constexpr std::int64_t feedStartSpreadUs = 1'000'000;
// Factor by which the deadline of long orders is extended, so that they can finish in time.
constexpr std::int64_t stragglerDeadlineFactor = 10;
// Upper limit of the random time from the start of a request to its cancellation.
constexpr std::int64_t maxCancelDelayUs = 60'000;

} // namespace

double surge::rateFactor(double seconds) const
{
    const double age = seconds - startSeconds;
    if (factor <= 1 || age < 0 || age >= lengthSeconds)
        return 1;
    return 1 + (factor - 1) * std::min(1.0, age / riseSeconds);
}

load_generator::load_generator(load_options options, exchange_runner &runner)
    : m_options(std::move(options)), m_runner(runner), m_random(m_options.seed),
      m_startUs(unixMicroseconds()),
      m_endUs(m_startUs + static_cast<std::int64_t>(m_options.seconds * 1e6)),
      m_orders { m_options.ordersPerSecond, m_startUs }, m_guides { m_options.guidesPerSecond,
                                                                    m_startUs }
{
    scheduleNextArrival(m_orders);
    scheduleNextArrival(m_guides);
}

void load_generator::advance(std::int64_t nowUs)
{
    while (m_startedFeeds < m_options.feeds && nowUs < m_endUs
           && m_startUs
                           + feedStartSpreadUs * static_cast<std::int64_t>(m_startedFeeds)
                                   / static_cast<std::int64_t>(m_options.feeds)
                   <= nowUs)
        startFeed(nowUs);
    while (m_orders.nextUs <= std::min(nowUs, m_endUs)) {
        startOrder(newOrder(), nowUs);
        scheduleNextArrival(m_orders);
    }
    while (m_guides.nextUs <= std::min(nowUs, m_endUs)) {
        startGuide(nowUs);
        scheduleNextArrival(m_guides);
    }
}

std::int64_t load_generator::nextTimer() const
{
    const std::int64_t feedUs =
            m_startedFeeds < m_options.feeds ? unixMicroseconds() + 10'000 : m_endUs;
    return std::min({ feedUs, m_orders.nextUs, m_guides.nextUs, m_endUs });
}

// Generates a Poisson process with variable rate by thinning: candidates arrive at the highest rate
// and are accepted with the probability of the current rate divided by the highest rate.
void load_generator::scheduleNextArrival(arrival_process &arrivals)
{
    const double highest = arrivals.perSecond * std::max(1.0, m_options.burst.factor);
    if (highest <= 0) {
        arrivals.nextUs = INT64_MAX;
        return;
    }
    std::exponential_distribution<> gap(highest);
    do {
        arrivals.nextUs += static_cast<std::int64_t>(gap(m_random) * 1e6);
        const double seconds = static_cast<double>(arrivals.nextUs - m_startUs) / 1e6;
        const double rate = arrivals.perSecond * m_options.burst.rateFactor(seconds);
        if (drawWithProbability(rate / highest))
            return;
    } while (arrivals.nextUs <= m_endUs);
}

void load_generator::startFeed(std::int64_t nowUs)
{
    const std::string &service = m_options.names.orderService;
    const std::size_t caller = m_startedFeeds++;
    m_runner.add(std::make_unique<feed>(
                         feed_parameters { newId("feed"), service, m_options.names.feedPath },
                         m_runner.session(caller, m_options.addresses.at(service)), m_runner),
                 nowUs);
}

order_parameters load_generator::newOrder()
{
    order_parameters parameters;
    parameters.service = m_options.names.orderService;
    parameters.path = m_options.names.orderPath;
    parameters.workUs = randomWork(m_options.workUs);
    parameters.deadlineMs = m_options.deadlineMs;
    parameters.straggler = drawWithProbability(m_options.stragglerShare);
    if (parameters.straggler) {
        parameters.deadlineMs *= stragglerDeadlineFactor;
        parameters.workUs = static_cast<std::int64_t>(static_cast<double>(parameters.workUs)
                                                      * m_options.stragglerFactor);
    }
    parameters.duplicate = m_options.duplicateOrders;
    if (drawWithProbability(m_options.cancelShare))
        parameters.cancelDelayUs = static_cast<std::int64_t>(m_random() % maxCancelDelayUs);
    return parameters;
}

void load_generator::startOrder(order_parameters parameters, std::int64_t nowUs)
{
    parameters.id = newId("order");
    coap_session_t *session =
            m_runner.session(randomCaller(), m_options.addresses.at(parameters.service));
    m_runner.add(std::make_unique<order>(std::move(parameters), session, m_runner), nowUs);
}

void load_generator::retryRefused(const order &refused, std::int64_t nowUs)
{
    order_parameters parameters = refused.parameters();
    if (parameters.attempt >= m_options.retries || nowUs > m_endUs)
        return;
    ++parameters.attempt;
    startOrder(std::move(parameters), nowUs);
}

void load_generator::startGuide(std::int64_t nowUs)
{
    const std::string &service = m_options.names.guideService;
    guide_parameters parameters { newId("guide"),
                                  service,
                                  m_options.names.guidePath,
                                  randomWork(m_options.guideWorkUs),
                                  m_options.guideDeadlineMs,
                                  m_options.guideBytes,
                                  -1 };
    if (drawWithProbability(m_options.cancelShare))
        parameters.cancelDelayUs = static_cast<std::int64_t>(m_random() % maxCancelDelayUs);
    coap_session_t *session = m_runner.session(randomCaller(), m_options.addresses.at(service));
    m_runner.add(std::make_unique<guide>(std::move(parameters), session, m_runner), nowUs);
}

std::size_t load_generator::randomCaller()
{
    return m_random() % std::max<std::size_t>(1, m_options.callers);
}

// Uniformly distributed between 0.5 and 1.5 times the mean.
std::int64_t load_generator::randomWork(std::int64_t meanUs)
{
    return meanUs / 2
            + static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(meanUs + 1));
}

bool load_generator::drawWithProbability(double share)
{
    return share > 0 && std::uniform_real_distribution<>(0, 1)(m_random) < share;
}

std::string load_generator::newId(const char *kind)
{
    return std::string(kind) + "-" + std::to_string(m_options.seed) + "-"
            + std::to_string(++m_lastId);
}

} // namespace oriolehold::standins
