"""An added entry instance and a configuration that has moved a route to another service."""

import os
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import fleet as stand_ins

ROUTE = ("127.10.0.1", 8443)
OTHER = ("127.10.0.2", 8443)
FLOWS = 30


def case(fleet, trouble):
    fleet.configure(7, [(*ROUTE, [("orders", 90), ("orders-next", 10)]), (*OTHER, "catalog")],
                    ["orders", "orders-next", "catalog"])
    for index, service in enumerate(["orders", "orders", "orders-next", "orders-next", "catalog"],
                                    1):
        fleet.backend(index, f"i-{index}", service)
    fleet.start_entry(1)
    fleet.start_entry(2)
    fleet.start_router()
    fleet.wait_ready(["entry-1", "entry-2"])
    client = fleet.client()
    flows = [client.flow(ROUTE) for _ in range(FLOWS)]
    for number, flow in enumerate(flows):
        if not flow.open() or not flow.request(f"first-{number}"):
            raise stand_ins.CannotRun("a flow was not served before the disruption")
    if trouble:
        # The route stays; all of its new flows go to one of its services.
        fleet.configure(12, [(*ROUTE, "orders-next"), (*OTHER, "catalog")],
                        ["orders-next", "catalog"])
    time.sleep(4)
    for number, flow in enumerate(flows):
        if not flow.request(f"second-{number}"):
            raise stand_ins.CannotRun("a flow was not served before the machine was added")
    fleet.start_entry(3)
    fleet.wait_ready(["entry-1", "entry-2", "entry-3"])
    time.sleep(5)  # longer than stable_window_ms
    broken = []
    for number, flow in enumerate(flows):
        flow.request(f"third-{number}")
        holder = fleet.holder(flow)
        if flow.reset == "system" and holder:
            broken.append(f"FLOW: the system reset the open flow of first-{number}, which "
                          f"{holder.name} of {holder.service} holds")
    return broken


sys.exit(stand_ins.main(case))
