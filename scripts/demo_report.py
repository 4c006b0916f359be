"""Evaluates a demo run by comparing the records of the callers with those of the upstreams."""

import collections
import json
import math

# Windows with a lower utilization are skipped: they have too few jobs for an even distribution.
MIN_UTILIZATION = 0.1
WINDOW_US = 1_000_000
# A deadline is sent as remaining time, which is counted anew from the arrival of the request with
# the Echo option.
LATE_START_TOLERANCE_US = 100_000
# With a larger share of failed requests a run is inconclusive, even without a wrong answer.
MAX_FAILED_SHARE = 0.5


def read_records(path):
    """Reads JSON lines. Skips invalid lines: a process that is killed may leave a truncated last
    line."""
    records = []
    try:
        with open(path, encoding="utf-8") as lines:
            for line in lines:
                try:
                    records.append(json.loads(line))
                except ValueError:
                    continue
    except FileNotFoundError:
        pass
    return records


def percentile(values, share):
    """Returns the nearest-rank percentile, or 0 without values. The share is from 0 to 1."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, max(0, math.ceil(share * len(ordered)) - 1))]


class JobLog:
    """The jobs that the upstreams ran. Attributes required of an upstream: number, service,
    records, slots, strength, address, serving_from_us, serving_until_us,
    agent_kills_us, agent_pauses_us."""

    def __init__(self, upstreams):
        self.upstreams = upstreams
        self.starts = collections.defaultdict(list)  # request id: upstreams that started it
        self.first_start_us = {}  # request id: time of the first start
        self.intervals = []  # (upstream, start, end, work at strength 1)
        self.sheds = 0
        for upstream in upstreams:
            self._read(upstream)

    def _read(self, upstream):
        running = {}
        for record in read_records(upstream.records):
            key = record["id"]
            if record["event"] == "start":
                self.starts[key].append(upstream)
                self.first_start_us.setdefault(key, record["time_us"])
                running[key] = record
            elif record["event"] == "shed":
                self.sheds += 1
            elif key in running:
                start = running.pop(key)
                self.intervals.append((upstream, start["time_us"], record["time_us"],
                                       start["work_us"]))

    def imbalances(self, service, start_us, end_us):
        """Returns for each window the highest utilization of an upstream divided by the utilization
        of the service, minus 1."""
        members = [upstream for upstream in self.upstreams if upstream.service == service]
        loads = collections.defaultdict(lambda: collections.defaultdict(float))
        for upstream, begin, end, work in self.intervals:
            if upstream.service == service:
                for window, share in spread(begin, end, start_us):
                    loads[window][upstream.number] += work * share
        result = []
        for window in range((end_us - start_us) // WINDOW_US):
            begin = start_us + window * WINDOW_US
            serving = [upstream for upstream in members if upstream.serving_from_us is not None
                       and upstream.serving_from_us <= begin
                       and (upstream.serving_until_us is None
                            or upstream.serving_until_us >= begin + WINDOW_US)]
            if len(serving) < 2:
                continue
            capacity = {item.number: item.slots * item.strength * WINDOW_US for item in serving}
            work = loads[window]
            mean = sum(work[number] for number in capacity) / sum(capacity.values())
            if mean >= MIN_UTILIZATION:
                largest = max(work[number] / capacity[number] for number in capacity)
                result.append(largest / mean - 1)
        return result


def spread(begin, end, start_us):
    """Yields (window, share of the job's work in it) for each window from start_us on."""
    length = max(1, end - begin)
    first, last = (begin - start_us) // WINDOW_US, (max(end - 1, begin) - start_us) // WINDOW_US
    for window in range(max(0, first), last + 1):
        window_begin = start_us + window * WINDOW_US
        overlap = min(end, window_begin + WINDOW_US) - max(begin, window_begin)
        yield window, max(1 if length == 1 else 0, overlap) / length


def owner_was_killed(feed, upstreams):
    """Returns whether an agent was killed while it was the owner of the feed."""
    for upstream in upstreams:
        for kill_us in upstream.agent_kills_us:
            owners = [address for time_us, address in feed["upstreams"] if time_us <= kill_us]
            if owners and owners[-1] == upstream.address:
                return True
    return False


def guide_owner_was_lost(guide, log):
    """Returns whether an agent that served the download was killed or paused during it. Entries
    move a download away from an owner that does not respond, and the new owner restarts it. Feeds
    have no such exception for pauses: a feed has to survive them."""
    return any(guide["start_us"] <= time_us <= guide["end_us"]
               for upstream in log.starts.get(guide["id"], ())
               for time_us in upstream.agent_kills_us + upstream.agent_pauses_us)


def is_broken_guide(guide):
    """Returns whether the download restarted, or received data but did not complete."""
    return guide["restarts"] > 0 or (guide["received"] > 0 and guide["outcome"] != "done")


def is_broken_feed(feed):
    return feed["broken"] or feed["outcome"] != "done"


class Evaluation:
    """Faults and statistics of a run."""

    def __init__(self, caller_records, upstreams, start_us, end_us):
        by_kind = collections.defaultdict(list)
        for record in caller_records:
            by_kind[record["kind"]].append(record)
        self.orders, self.guides, self.feeds = (by_kind[kind]
                                                for kind in ("order", "guide", "feed"))
        self.requests = self.orders + self.guides
        self.log = JobLog(upstreams)
        self.start_us, self.end_us = start_us, end_us
        self.outcomes = collections.Counter(record["outcome"] for record in self.requests)
        self._find_faults(upstreams)

    def _find_faults(self, upstreams):
        log = self.log
        broken_feeds = [feed for feed in self.feeds if is_broken_feed(feed)]
        broken_guides = [guide for guide in self.guides if is_broken_guide(guide)]
        owner_lost = [feed for feed in broken_feeds if owner_was_killed(feed, upstreams)]
        owner_lost += [guide for guide in broken_guides if guide_owner_was_lost(guide, log)]
        lost_ids = {record["id"] for record in owner_lost}
        self.owner_lost_flows = owner_lost
        self.broken_flows = [flow for flow in broken_feeds + broken_guides
                             if flow["id"] not in lost_ids]
        self.lost = [record for record in self.requests
                     if record["outcome"] == "unanswered" and not record.get("canceled")]
        self.lost += [order for order in self.orders
                      if order["outcome"] == "done" and order["id"] not in log.starts]
        self.doubled = [order for order in self.orders if len(log.starts.get(order["id"], ())) > 1]
        self.wrong_service = [record for record in self.requests
                              if any(upstream.service != record["service"]
                                     for upstream in log.starts.get(record["id"], ()))]
        self.wrong_service += [feed for feed in self.feeds if feed["wrong_service"] > 0]
        self.ran_after_refusal = [order for order in self.orders
                                  if order["outcome"] == "not_run" and order["id"] in log.starts]
        self.incomplete = [record for record in self.requests if record["outcome"] == "done"
                           and not (record["complete"] and record["right_answer"])]

    def latencies_ms(self, begin_us=0, end_us=math.inf):
        """Returns the latencies of completed orders that started in this interval, without
        stragglers."""
        return [(order["end_us"] - order["start_us"]) / 1000 for order in self.orders
                if order["outcome"] == "done" and not order["straggler"]
                and begin_us <= order["start_us"] < end_us]

    def p99_per_interval_ms(self, parts=5):
        """Returns the p99 latency in each of several equal intervals of the load."""
        length = (self.end_us - self.start_us) / parts
        begins = [self.start_us + part * length for part in range(parts)]
        return [percentile(self.latencies_ms(begin, begin + length), 0.99) for begin in begins]

    def in_time_share(self):
        """Returns the share of the orders that got a response, successful or not, within their
        deadline. Canceled orders are not counted."""
        answered = [order for order in self.orders if not order["canceled"]]
        in_time = [order for order in answered if order["outcome"] != "unanswered"
                   and order["end_us"] <= order["deadline_us"]]
        return len(in_time) / len(answered) if answered else 1.0

    def started_late(self):
        """Returns the orders that an upstream started after their deadline."""
        starts = self.log.first_start_us
        return [order for order in self.orders
                if starts.get(order["id"], 0) > order["deadline_us"] + LATE_START_TOLERANCE_US]

    def imbalances(self):
        services = sorted({upstream.service for upstream in self.log.upstreams})
        return {service: self.log.imbalances(service, self.start_us, self.end_us)
                for service in services}

    def faults(self, owner_loss_planned):
        """Returns the faults that fail the run: kind of fault to its records."""
        checked = {"lost": self.lost, "doubled": self.doubled,
                   "wrong_service": self.wrong_service,
                   "ran_after_refusal": self.ran_after_refusal,
                   "incomplete_answers": self.incomplete}
        if not owner_loss_planned:
            checked["broken_flows"] = self.broken_flows
        for kind, requests in (("orders", self.orders), ("guides", self.guides)):
            failed = [record for record in requests if record["outcome"] != "done"
                      and not record.get("canceled")]
            if not requests:
                checked["no_" + kind] = [{"records": 0}]
            elif len(failed) > MAX_FAILED_SHARE * len(requests):
                checked["few_done_" + kind] = failed
        return {name: records for name, records in checked.items() if records}

    def summary(self, packets):
        latencies = self.latencies_ms()
        pooled = [value for values in self.imbalances().values() for value in values]
        seconds = max(1e-6, (self.end_us - self.start_us) / 1e6)
        return {
            "flows": len(self.feeds) + len(self.guides),
            "broken_flows": len(self.broken_flows),
            "owner_lost_flows": len(self.owner_lost_flows),
            "requests": len(self.requests),
            "done": self.outcomes["done"],
            "not_run": self.outcomes["not_run"],
            "unknown": self.outcomes["unknown"],
            "lost": len(self.lost),
            "doubled": len(self.doubled),
            "wrong_service": len(self.wrong_service),
            "ran_after_refusal": len(self.ran_after_refusal),
            "incomplete_answers": len(self.incomplete),
            "imbalance": round(percentile(pooled, 0.99), 3),
            "packets_per_s": round(packets / seconds, 1),
            "p50_ms": round(percentile(latencies, 0.5), 2),
            "p99_ms": round(percentile(latencies, 0.99), 2)}
