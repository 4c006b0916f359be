#include "oriolehold/random_run/run_history.h"

#include "oriolehold/core/invariant.h"

namespace oriolehold::random_run {

void run_history::orderSent(const std::string &id, core::service_id service)
{
    m_orders[id].service = service;
    ++m_totals.orders;
}

void run_history::orderStarted(const std::string &id, core::service_id service)
{
    order_record &order = m_orders.at(id);
    ++order.startCount;
    ORIOLEHOLD_INVARIANT(order.startCount == 1, "order " + id + " started more than once");
    ORIOLEHOLD_INVARIANT(!order.answeredNotRun,
                         "order " + id + " started after the answer 'not run'");
    requestReachedUpstream(id, order.service, service);
}

void run_history::orderAnswered(const std::string &id, core::outcome outcome,
                                const std::string &payload)
{
    constexpr std::size_t codeDigits = 4;
    order_record &order = m_orders.at(id);
    if (outcome != core::outcome::done)
        ++m_totals.codes[payload.substr(0, codeDigits)];
    switch (outcome) {
    case core::outcome::done:
        ++m_totals.done;
        ORIOLEHOLD_INVARIANT(order.startCount == 1, "order " + id + " answered but never started");
        ORIOLEHOLD_INVARIANT(payload == id, "order " + id + " got the answer of " + payload);
        break;
    case core::outcome::notRun:
    case core::outcome::rejected:
        ++m_totals.notRun;
        order.answeredNotRun = true;
        ORIOLEHOLD_INVARIANT(order.startCount == 0,
                             "order " + id + " ran but was answered 'not run'");
        break;
    default:
        ++m_totals.unknown;
        break;
    }
}

void run_history::orderUnanswered(const std::string & /*id*/)
{
    ++m_totals.unanswered;
}

void run_history::requestReachedUpstream(const std::string &id, core::service_id intended,
                                         core::service_id actual)
{
    ORIOLEHOLD_INVARIANT(intended == actual, "request " + id + " reached another service");
}

void run_history::guideFinished(bool complete)
{
    ++m_totals.guides;
    ORIOLEHOLD_INVARIANT(complete, "a guide arrived with wrong content");
}

} // namespace oriolehold::random_run
