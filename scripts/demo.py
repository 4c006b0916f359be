"""Runs the whole system with stand-ins on loopback and prints a report. See scripts/demo.sh."""

import argparse
import json
import shutil
import signal
import sys
import tempfile
import time

from demo_report import Evaluation, percentile, read_records
from demo_system import DEPLOYMENTS, DemoError, System, now_us

# Time after a marked leave at which the agent gets SIGTERM, seconds.
LEAVE_NOTICE = 3.0
# Time until the network stops sending to an entry that was killed, seconds.
NETWORK_DETECTION = 2.0
# Time for unanswered requests to reach their final state, seconds.
LAST_ANSWERS = 60.0


class Scenario:
    """A function over a running system, with the load that it needs."""

    def __init__(self, run, caller=(), fabric=(), orders_per_second=300, owner_loss=False):
        self.run = run
        self.caller = caller  # more options; {name} is replaced by a time in seconds
        self.fabric = fabric
        self.orders_per_second = orders_per_second
        self.owner_loss = owner_loss  # whether agents are killed without a plan


def only_load(system):
    """No change."""


def rolling_entries(system):
    """Replaces each entry by a new one, one after the other."""
    for entry in list(system.entries):
        system.add_entry(entry.zone)
        time.sleep(1.0)
        system.leave_entry(entry)
        time.sleep(1.0)
    for entry in system.entries:
        if not entry.process.expected_to_run and not entry.process.wait(40):
            raise DemoError("entry %d did not end its drain" % entry.number)


def replace_upstreams(system, leaving, wait=True):
    """Starts a replacement for each of the upstreams, then takes them out of service. Their
    agents still drain when this returns."""
    joining = [system.join_upstream(old.service, old.strength, old.zone) for old in leaving]
    system.wait_joined(joining, wait)
    system.mark_leaving(leaving, wait)
    time.sleep(LEAVE_NOTICE)
    for upstream in leaving:
        system.terminate_agent(upstream)


def rolling_upstreams(system):
    """Replaces each upstream by a new one, one of each service at a time."""
    by_service = {name: [upstream for upstream in system.upstreams if upstream.service == name]
                  for name in system.services}
    everything = list(system.upstreams)
    for step in range(max(len(members) for members in by_service.values())):
        replace_upstreams(system, [members[step] for members in by_service.values()
                                   if step < len(members)])
    system.finish_leaving(everything)


def everything_at_once(system):
    """Entries fail, pause and join while upstreams leave, the platform is down or stale, and the
    network loses, duplicates and reorders packets."""
    first = [next(upstream for upstream in system.upstreams if upstream.service == name)
             for name in system.services]
    joining = [system.join_upstream(old.service, old.strength, old.zone) for old in first]
    system.wait_joined(joining)
    paused, killed = system.entries[0], system.entries[1]
    system.note("entry %d paused" % paused.number)
    paused.process.pause()
    system.mark_leaving(first, wait=False)
    time.sleep(0.5)
    system.kill_entry(killed)
    system.set_platform_mode("down")
    system.add_entry(killed.zone, wait=False)
    time.sleep(LEAVE_NOTICE)
    for upstream in first:
        system.terminate_agent(upstream)
    system.note("entry %d resumed" % paused.number)
    paused.process.resume()
    system.set_platform_mode("back")
    time.sleep(2.0)
    system.set_platform_mode("up")
    system.wait_in_effect()
    second = [upstream for upstream in system.upstreams
              if upstream.service == system.deployment.order_service
              and upstream.state == "live" and upstream not in joining][:2]
    slow = [upstream for upstream in system.upstreams
            if upstream.state == "live" and upstream not in second][-1]
    system.pause_agent(slow)
    replace_upstreams(system, second, wait=False)
    system.resume_agent(slow)
    system.set_platform_mode("corrupt")
    system.leave_entry(paused, wait=False)
    time.sleep(1.0)
    system.set_platform_mode("up")
    system.wait_in_effect()
    system.finish_leaving(first + second)


def platform_down(system):
    """The configuration service is away; a new entry has to start from its peers."""
    system.set_platform_mode("down")
    time.sleep(2.0)
    entry = system.add_entry(wait=False)
    time.sleep(system.options.seconds / 2)
    system.leave_entry(entry, wait=False)
    system.set_platform_mode("up")
    system.wait_in_effect()


def paused_agent(system):
    """An agent is stopped for five seconds and goes on late."""
    upstream = system.upstreams[0]
    time.sleep(system.options.seconds / 4)
    system.pause_agent(upstream)
    time.sleep(5.0)
    system.resume_agent(upstream)


def killed_entry(system):
    time.sleep(system.options.seconds / 4)
    entry = system.entries[0]
    system.kill_entry(entry)
    time.sleep(NETWORK_DETECTION)
    system.update_map()
    system.add_entry(entry.zone)


def killed_agent(system):
    """The agent of the strongest upstream is killed and started again with the same settings."""
    time.sleep(system.options.seconds / 4)
    upstream = max(system.upstreams, key=lambda item: item.strength)
    system.kill_agent(upstream)
    time.sleep(3.0)
    system.start_agent(upstream)
    system.wait_ready([upstream])
    system.note("agent %d started again" % upstream.number)


def zone_lost(system):
    """All processes of one availability zone end at the same moment."""
    time.sleep(system.options.seconds / 4)
    zone = system.deployment.zones[0]
    for upstream in system.upstreams:
        if upstream.zone == zone:
            system.kill_agent(upstream)
            system.kill_server(upstream)
    for entry in system.entries:
        if entry.zone == zone:
            system.kill_entry(entry)
    time.sleep(NETWORK_DETECTION)
    system.update_map()


SCENARIOS = {
    "basic": Scenario(only_load),
    "rolling-entries": Scenario(rolling_entries),
    "rolling-upstreams": Scenario(rolling_upstreams),
    "everything-at-once": Scenario(everything_at_once, fabric=[
        "--loss", "0.005", "--duplicate", "0.01", "--reorder", "0.05"]),
    "platform-down": Scenario(platform_down),
    "paused-agent": Scenario(paused_agent),
    "killed-entry": Scenario(killed_entry),
    "killed-agent": Scenario(killed_agent, owner_loss=True),
    "zone-lost": Scenario(zone_lost, owner_loss=True),
    "crest": Scenario(only_load, caller=["--burst", "5,{third},{third}"], orders_per_second=150),
    "stragglers": Scenario(only_load, caller=["--straggler-share", "0.005",
                                              "--straggler-factor", "100"]),
    "duplicate-orders": Scenario(only_load, caller=["--duplicate-orders"],
                                 fabric=["--duplicate", "0.05", "--reorder", "0.05"]),
    "cancelled-callers": Scenario(only_load, caller=["--cancel-share", "0.2"]),
    # Packets spread over the upstreams without a balancer: shows that the checks find faults.
    "direct": Scenario(only_load),
}


def parse_options():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0, help="least duration of the load")
    parser.add_argument("--json", action="store_true", help="end with one line of JSON")
    parser.add_argument("--scenario", choices=SCENARIOS, default="basic")
    parser.add_argument("--deployment", choices=DEPLOYMENTS, default="manao")
    parser.add_argument("--programs", default="build", help="build folder")
    parser.add_argument("--policy", help="balancing policy of the entries")
    parser.add_argument("--scheduler", help="slot scheduler of the agents")
    parser.add_argument("--orders-per-second", type=float, help="instead of the scenario's rate")
    parser.add_argument("--guides-per-second", type=float, default=8.0)
    parser.add_argument("--feeds", type=int, default=100)
    parser.add_argument("--work-us", type=int, default=40_000, help="mean work of an order")
    parser.add_argument("--list", action="store_true", help="list the scenarios and end")
    parser.add_argument("--keep", action="store_true", help="keep settings, logs and records")
    return parser.parse_args()


def caller_arguments(options, scenario):
    third = "%g" % (options.seconds / 3)
    # The load has no end of its own: it ends with the scenario, by SIGUSR1.
    return ["--seconds", 3600, "--feeds", options.feeds, "--callers", 200,
            "--orders-per-second", options.orders_per_second or scenario.orders_per_second,
            "--guides-per-second", options.guides_per_second, "--work-us", options.work_us,
            "--guide-work-us", 100_000, "--ack-timeout-ms", 1000,
            *[argument.format(third=third) for argument in scenario.caller]]


def run_load(system, scenario):
    """Returns the start and the end of the load, Unix microseconds."""
    system.start_fabric(*scenario.fabric)
    system.start_caller(*caller_arguments(system.options, scenario))
    start_us = system.start_us = now_us()
    scenario.run(system)
    time.sleep(max(0.0, system.options.seconds - (now_us() - start_us) / 1e6))
    end_us = now_us()
    system.note("load ends")
    system.caller.expected_to_run = False
    system.caller.signal(signal.SIGUSR1)
    if not system.caller.wait(LAST_ANSWERS):
        raise DemoError("the callers did not end")
    if system.caller.exit_status() != 0:
        raise DemoError("standin-caller failed: exit status %d" % system.caller.exit_status())
    return start_us, end_us


def fabric_counters(system):
    try:
        return json.loads(system.fabric.output())
    except ValueError:
        return {}


def print_report(system, evaluation, summary, crashed):
    options = system.options
    print("scenario %s, deployment %s, seed %d" % (options.scenario, options.deployment,
                                                   options.seed))
    for seconds, text in system.events:
        print("  %6.1f s  %s" % (seconds, text))
    print("feeds %d, guides %d, orders %d" % (len(evaluation.feeds), len(evaluation.guides),
                                              len(evaluation.orders)))
    print("answered within the deadline: %.2f%% of the orders" % (100 * evaluation.in_time_share()))
    print("p99 of orders per fifth of the load, ms: %s"
          % ", ".join("%.0f" % value for value in evaluation.p99_course_ms()))
    print("started after the deadline: %d orders" % len(evaluation.started_late()))
    print("refused by upstreams: %d jobs" % evaluation.log.sheds)
    for service, values in evaluation.imbalances().items():
        print("imbalance of %s: median %.3f, p99 %.3f over %d windows"
              % (service, percentile(values, 0.5), percentile(values, 0.99), len(values)))
    if system.balanced:
        print("slowest configuration: in effect after %.2f s, %d late"
              % (system.slowest_configuration, system.late_configurations))
    print("fabric: %s" % fabric_counters(system))
    for name, value in summary.items():
        print("%-20s %s" % (name, value))
    for name, records in evaluation.faults(SCENARIOS[options.scenario].owner_loss).items():
        print("FAULT %s, for example:" % name)
        for record in records[:3]:
            print("  %s" % json.dumps(record))
    for process in crashed:
        print("FAULT %s ended with status %s" % (process.name, process.exit_status()))


def run(options, folder):
    """Returns whether the run shows no fault."""
    scenario = SCENARIOS[options.scenario]
    system = System(options, DEPLOYMENTS[options.deployment], folder)
    try:
        system.start()
        entries, upstreams = len(system.entries), len(system.upstreams)
        start_us, end_us = run_load(system, scenario)
        crashed = system.failures()
    finally:
        system.stop()
    crashed += [process for process in system.failures() if process not in crashed]
    evaluation = Evaluation(read_records(system.path("caller.records")), system.upstreams,
                            start_us, end_us)
    counters = fabric_counters(system)
    packets = counters.get("from_callers", 0) + counters.get("from_entries", 0)
    summary = {"seed": options.seed, "entries": entries, "upstreams": upstreams,
               **evaluation.summary(packets), "scenario": options.scenario}
    print_report(system, evaluation, summary, crashed)
    if options.json:
        print(json.dumps(summary))
    return not evaluation.faults(scenario.owner_loss) and not crashed


def main():
    options = parse_options()
    if options.list:
        print("\n".join(SCENARIOS))
        return 0
    # The processes are stopped on the way out.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(1))
    folder = tempfile.mkdtemp(prefix="oriolehold-demo-")
    passed = False
    try:
        passed = run(options, folder)
    except DemoError as error:
        print("demo: %s" % error, file=sys.stderr)
    finally:
        if passed and not options.keep:
            shutil.rmtree(folder)
        else:
            print("settings, logs and records: " + folder, file=sys.stderr)
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
