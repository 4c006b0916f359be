"""An entry of another writer that names the address of an entry instance."""

import os
import sys
import threading
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import fleet as stand_ins

ROUTE = ("127.10.0.1", 8443)
OTHER = ("127.10.0.2", 8443)
FLOWS = 24
ENTRIES = ["entry-1", "entry-2", "entry-3", "entry-4"]
# Share of a core over the time in which no client sends anything. An idle instance uses less than
# 0.01; the machines of the site have 0.055 of a core.
MOST_IDLE_SHARE = 0.5
QUIET_S = 10


def case(fleet, trouble):
    fleet.configure(7, [(*ROUTE, "orders"), (*OTHER, "catalog")], ["orders", "catalog"])
    for index, service in enumerate(["orders"] * 4 + ["catalog"] * 2, 1):
        fleet.backend(index, f"i-{index}", service)
    for index in range(1, 5):
        fleet.start_entry(index)
    fleet.start_router()
    fleet.wait_ready(ENTRIES)
    client = fleet.client()
    flows = [client.flow(ROUTE) for _ in range(FLOWS)]
    for number, flow in enumerate(flows):
        if not flow.open() or not flow.request(f"first-{number}"):
            raise stand_ins.CannotRun("a flow was not served before the disruption")
    if trouble:
        # Lacks "born", and names a machine without a backend.
        for index in range(1, 1 + int(os.environ.get("ODD_ENTRIES", "4"))):
            fleet.store.put(f"servers/monitor-{index}", {
                "service": "orders", "zone": "zone-a", "version": "v1", "slots": 2,
                "state": "ready", "warmup_left_ms": 0, "sequence": 1,
                "address": f"{fleet.entry_address(index)}:{fleet.app_port}"})
            fleet.record(f"another writer leaves an entry with the address of entry-{index}")
        time.sleep(2)
    # A backend leaves as planned; its machine goes with it.
    leaving = fleet.backends[0]
    orphans = [flow for flow in flows if fleet.holder(flow) is leaving]
    leaving.drain()
    time.sleep(stand_ins.DRAIN_S + 1)
    leaving.leave()
    fleet.kill("agent-1", stand_ins.signal.SIGTERM)
    time.sleep(3)
    # The clients of its idle flows send their next request, until their deadline of 1.5 s.
    threads = [threading.Thread(target=flow.request, args=(f"next-{number}", 1.5))
               for number, flow in enumerate(orphans)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    fleet.record(f"{len(orphans)} clients have given up or were reset; no client sends anything")
    time.sleep(5)
    before = {name: fleet.processor_time(name) for name in ENTRIES}
    time.sleep(QUIET_S)
    broken = []
    for name in ENTRIES:
        share = (fleet.processor_time(name) - before[name]) / QUIET_S
        fleet.record(f"{name} uses {share:.2f} of a core while no client sends anything")
        if share > MOST_IDLE_SHARE:
            broken.append(f"Fault: {name} does not hand back the processor: {share:.2f} of a core "
                          f"for {QUIET_S} s without a packet of a client")
    unanswered = 0
    for number in range(20):
        flow = client.flow(ROUTE)
        unanswered += not (flow.open() and flow.request(f"later-{number}", 1.5))
    fleet.record(f"{unanswered} of 20 later requests are not answered")
    return broken


sys.exit(stand_ins.main(case))
