#pragma once

#include "exchange_runner.h"
#include "feed.h"
#include "order.h"

#include <map>
#include <random>

namespace oriolehold::standins {

// A temporary increase of the load: the rate of orders and guides rises linearly to `factor` times
// the normal rate within riseSeconds and returns to normal in one step lengthSeconds after the
// start.
struct surge
{
    double factor = 1;
    double startSeconds = 0;
    double lengthSeconds = 0;
    static constexpr double riseSeconds = 2;

    double rateFactor(double seconds) const;
};

// Service names and paths of a deployment.
struct deployment_names
{
    std::string orderService;
    std::string guideService;
    std::string orderPath;
    std::string feedPath;
    std::string guidePath;
};

struct load_options
{
    deployment_names names;
    std::map<std::string, std::string> addresses; // by service name
    std::size_t callers = 100;
    std::size_t feeds = 0;
    double ordersPerSecond = 0;
    double guidesPerSecond = 0;
    std::size_t guideBytes = 32'768;
    double seconds = 10;
    std::uint64_t seed = 1;
    std::int64_t deadlineMs = 2000;
    std::int64_t guideDeadlineMs = 10'000;
    std::int64_t workUs = 20'000;
    std::int64_t guideWorkUs = 20'000;
    double stragglerShare = 0;
    double stragglerFactor = 100;
    surge burst;
    bool duplicateOrders = false;
    double cancelShare = 0;
    int retries = 0; // limit of new orders after a refused one
};

// Starts feeds, orders and guides of many callers at random times, which depend on the seed.
class load_generator
{
public:
    load_generator(load_options options, exchange_runner &runner);

    // Starts everything that is due. The starts of feeds are spread over the first second.
    void advance(std::int64_t nowUs);
    // Time at which advance() has to be called next, in Unix microseconds.
    std::int64_t nextTimer() const;
    // Ends the load: nothing starts after nowUs.
    void end(std::int64_t nowUs) { m_endUs = nowUs; }
    // Starts a new order in place of a refused one unless the limit of retries is reached.
    void retryRefused(const order &refused, std::int64_t nowUs);

private:
    // Poisson process of the arrivals of one kind; its rate is multiplied by the surge's factor.
    struct arrival_process
    {
        double perSecond = 0;
        std::int64_t nextUs = 0;
    };

    void scheduleNextArrival(arrival_process &arrivals);
    void startFeed(std::int64_t nowUs);
    void startOrder(order_parameters parameters, std::int64_t nowUs);
    order_parameters newOrder();
    void startGuide(std::int64_t nowUs);
    std::size_t randomCaller();
    std::int64_t randomWork(std::int64_t meanUs);
    bool drawWithProbability(double share);
    std::string newId(const char *kind);

    load_options m_options;
    exchange_runner &m_runner;
    std::mt19937_64 m_random;
    std::int64_t m_startUs;
    std::int64_t m_endUs;
    arrival_process m_orders;
    arrival_process m_guides;
    std::size_t m_startedFeeds = 0;
    std::uint64_t m_lastId = 0;
};

} // namespace oriolehold::standins
