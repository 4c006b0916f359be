"""An entry of another writer that names the address of a client."""

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


def case(fleet, trouble):
    fleet.configure(7, [(*ROUTE, "orders"), (*OTHER, "catalog")], ["orders", "catalog"])
    for index, service in enumerate(["orders"] * 4 + ["catalog"] * 2, 1):
        fleet.backend(index, f"i-{index}", service)
    for index in (1, 2):
        fleet.start_entry(index)
    fleet.start_router()
    fleet.wait_ready(["entry-1", "entry-2"])
    client, other = fleet.client(1), fleet.client(2)
    flows = [client.flow(ROUTE) for _ in range(FLOWS)]
    for number, flow in enumerate(flows):
        if not flow.open() or not flow.request(f"first-{number}"):
            raise stand_ins.CannotRun("a flow was not served before the disruption")
    if trouble:
        # Lacks "born", and names a machine without a backend.
        fleet.store.put("servers/monitor", {
            "service": "orders", "zone": "zone-a", "version": "v1", "slots": 2, "state": "ready",
            "warmup_left_ms": 0, "sequence": 1, "address": f"{other.address}:{fleet.app_port}"})
        fleet.record("another writer leaves an entry with the address of a client")
        time.sleep(2)
    # A backend leaves as planned; its machine goes with it.
    leaving = fleet.backends[0]
    orphans = [flow for flow in flows if fleet.holder(flow) is leaving]
    leaving.drain()
    time.sleep(stand_ins.DRAIN_S + 1)
    leaving.leave()
    fleet.kill("agent-1", stand_ins.signal.SIGTERM)
    time.sleep(3)
    # The clients of its idle flows send their next request.
    threads = [threading.Thread(target=flow.request, args=(f"order-{number}", 1.5))
               for number, flow in enumerate(orphans)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return []  # the clients of the fleet report packets that are not for them


sys.exit(stand_ins.main(case))
