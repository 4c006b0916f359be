"""Runs the complete system with stand-ins on loopback and prints a report. See scripts/demo.sh."""

import argparse
import json
import shutil
import signal
import sys
import tempfile
import time

from demo_report import Evaluation, percentile, read_records
from demo_system import DEPLOYMENTS, DemoError, System, now_us

# Delay between marking an upstream as leaving and sending SIGTERM to its agent.
LEAVE_NOTICE_S = 3.0
# Time until the network stops sending to a killed entry.
NETWORK_DETECTION_S = 2.0
# Time for pending requests to complete or fail after the end of the load.
PENDING_REQUESTS_TIMEOUT_S = 60.0


class Scenario:
    """A function that changes a running system, and the options of the stand-ins for it."""

    def __init__(self, run, caller=(), fabric=(), orders_per_second=300, owner_loss=False):
        self.run = run
        self.caller = caller  # further options; {third} is a third of the load in seconds
        self.fabric = fabric
        self.orders_per_second = orders_per_second
        self.owner_loss = owner_loss  # whether the scenario kills agents, which may break flows


def run_load_only(system):
    """Makes no change."""


def rolling_entries(system):
    """Replaces each entry by a new one, one at a time."""
    for entry in list(system.entries):
        system.add_entry(entry.zone)
        time.sleep(1.0)
        system.leave_entry(entry)
        time.sleep(1.0)
    for entry in system.entries:
        if not entry.process.expected_to_run and not entry.process.wait(40):
            raise DemoError("entry %d did not finish draining" % entry.number)


def replace_upstreams(system, leaving, wait=True):
    """Starts a replacement for each of the upstreams, then takes them out of service. Their
    agents may still be draining on return."""
    joining = [system.join_upstream(old.service, old.strength, old.zone) for old in leaving]
    system.wait_joined(joining, wait)
    system.mark_leaving(leaving, wait)
    time.sleep(LEAVE_NOTICE_S)
    for upstream in leaving:
        system.terminate_agent(upstream)


def rolling_upstreams(system):
    """Replaces each upstream by a new one, one of each service at a time."""
    by_service = {name: [upstream for upstream in system.upstreams if upstream.service == name]
                  for name in system.services}
    original_upstreams = list(system.upstreams)
    for step in range(max(len(members) for members in by_service.values())):
        replace_upstreams(system, [members[step] for members in by_service.values()
                                   if step < len(members)])
    system.finish_leaving(original_upstreams)


def everything_at_once(system):
    """Entries fail, pause and join while upstreams leave, the platform is down or stale, and the
    network loses, duplicates and reorders packets."""
    first = [next(upstream for upstream in system.upstreams if upstream.service == name)
             for name in system.services]
    joining = [system.join_upstream(old.service, old.strength, old.zone) for old in first]
    system.wait_joined(joining)
    paused, killed = system.entries[0], system.entries[1]
    system.record_event("entry %d paused" % paused.number)
    paused.process.pause()
    system.mark_leaving(first, wait=False)
    time.sleep(0.5)
    system.kill_entry(killed)
    system.set_platform_mode("down")
    system.add_entry(killed.zone, wait=False)
    time.sleep(LEAVE_NOTICE_S)
    for upstream in first:
        system.terminate_agent(upstream)
    system.record_event("entry %d resumed" % paused.number)
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
    """The platform is unavailable; a new entry has to get its configuration from its peers."""
    system.set_platform_mode("down")
    time.sleep(2.0)
    entry = system.add_entry(wait=False)
    time.sleep(system.options.seconds / 2)
    system.leave_entry(entry, wait=False)
    system.set_platform_mode("up")
    system.wait_in_effect()


def paused_agent(system):
    """Pauses an agent for five seconds."""
    upstream = system.upstreams[0]
    time.sleep(system.options.seconds / 4)
    system.pause_agent(upstream)
    time.sleep(5.0)
    system.resume_agent(upstream)


def killed_entry(system):
    time.sleep(system.options.seconds / 4)
    entry = system.entries[0]
    system.kill_entry(entry)
    time.sleep(NETWORK_DETECTION_S)
    system.update_map()
    system.add_entry(entry.zone)


def killed_agent(system):
    """Kills the agent of the strongest upstream and restarts it with the same settings."""
    time.sleep(system.options.seconds / 4)
    upstream = max(system.upstreams, key=lambda item: item.strength)
    system.kill_agent(upstream)
    time.sleep(3.0)
    system.start_agent(upstream)
    system.wait_ready([upstream])
    system.record_event("agent %d restarted" % upstream.number)


def zone_lost(system):
    """Kills all processes of one availability zone at once."""
    time.sleep(system.options.seconds / 4)
    zone = system.deployment.zones[0]
    for upstream in system.upstreams:
        if upstream.zone == zone:
            system.kill_agent(upstream)
            system.kill_server(upstream)
    for entry in system.entries:
        if entry.zone == zone:
            system.kill_entry(entry)
    time.sleep(NETWORK_DETECTION_S)
    system.update_map()


SCENARIOS = {
    "basic": Scenario(run_load_only),
    "rolling-entries": Scenario(rolling_entries),
    "rolling-upstreams": Scenario(rolling_upstreams),
    "everything-at-once": Scenario(everything_at_once, fabric=[
        "--loss", "0.005", "--duplicate", "0.01", "--reorder", "0.05"]),
    "platform-down": Scenario(platform_down),
    "paused-agent": Scenario(paused_agent),
    "killed-entry": Scenario(killed_entry),
    "killed-agent": Scenario(killed_agent, owner_loss=True),
    "zone-lost": Scenario(zone_lost, owner_loss=True),
    "crest": Scenario(run_load_only, caller=["--burst", "5,{third},{third}"],
                      orders_per_second=150),
    "stragglers": Scenario(run_load_only, caller=["--straggler-share", "0.005",
                                                 "--straggler-factor", "100"]),
    "duplicate-orders": Scenario(run_load_only, caller=["--duplicate-orders"],
                                 fabric=["--duplicate", "0.05", "--reorder", "0.05"]),
    "cancelled-callers": Scenario(run_load_only, caller=["--cancel-share", "0.2"]),
    # Distributes packets over the upstreams without a load balancer, to show that the checks detect
    # faults.
    "direct": Scenario(run_load_only),
}


def parse_options():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0, help="minimum duration of the load")
    parser.add_argument("--json", action="store_true", help="print a JSON summary as the last line")
    parser.add_argument("--scenario", choices=SCENARIOS, default="basic")
    parser.add_argument("--deployment", choices=DEPLOYMENTS, default="manao")
    parser.add_argument("--programs", default="build", help="build directory")
    parser.add_argument("--policy", help="balancing policy of the entries")
    parser.add_argument("--scheduler", help="slot scheduler of the agents")
    parser.add_argument("--orders-per-second", type=float, help="overrides the scenario's rate")
    parser.add_argument("--guides-per-second", type=float, default=8.0)
    parser.add_argument("--feeds", type=int, default=100)
    parser.add_argument("--work-us", type=int, default=40_000,
                        help="mean processing time of an order at strength 1")
    parser.add_argument("--list", action="store_true", help="list the scenarios and exit")
    parser.add_argument("--keep", action="store_true", help="keep settings, logs and records")
    return parser.parse_args()


def caller_arguments(options, scenario):
    third = "%g" % (options.seconds / 3)
    # run_load() ends the load with SIGUSR1 well before the 3600 s are over.
    return ["--seconds", 3600, "--feeds", options.feeds, "--callers", 200,
            "--orders-per-second", options.orders_per_second or scenario.orders_per_second,
            "--guides-per-second", options.guides_per_second, "--work-us", options.work_us,
            "--guide-work-us", 100_000, "--ack-timeout-ms", 1000,
            *[argument.format(third=third) for argument in scenario.caller]]


def run_load(system, scenario):
    """Runs the scenario under load. Returns start and end of the load in Unix microseconds."""
    system.start_fabric(*scenario.fabric)
    system.start_caller(*caller_arguments(system.options, scenario))
    start_us = system.start_us = now_us()
    scenario.run(system)
    time.sleep(max(0.0, system.options.seconds - (now_us() - start_us) / 1e6))
    end_us = now_us()
    system.record_event("load ends")
    system.caller.expected_to_run = False
    system.caller.signal(signal.SIGUSR1)
    if not system.caller.wait(PENDING_REQUESTS_TIMEOUT_S):
        raise DemoError("standin-caller did not exit after SIGUSR1")
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
          % ", ".join("%.0f" % value for value in evaluation.p99_per_interval_ms()))
    print("started after the deadline: %d orders" % len(evaluation.started_late()))
    print("refused by upstreams: %d jobs" % evaluation.log.sheds)
    for service, values in evaluation.imbalances().items():
        print("imbalance of %s: median %.3f, p99 %.3f over %d windows"
              % (service, percentile(values, 0.5), percentile(values, 0.99), len(values)))
    if system.balanced:
        print("slowest configuration: in effect after %.2f s, %d late"
              % (system.slowest_configuration_s, system.late_configurations))
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
    """Returns whether the run ended without faults."""
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
    # SystemExit runs the finally block that stops the processes.
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
