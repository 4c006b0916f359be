"""A configuration sends the new flows of two routes to another service; an entry instance that is
added afterwards resets the open flows, which the former service still holds."""

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from deployment import STABLE_S, TROUBLE, play  # noqa: E402
from ends import ClientFlow  # noqa: E402

FLOWS = 16  # of each route
INTERVAL_S = 6.0  # between the requests of a flow; idle_timeout_ms is 15 s
OBSERVED_S = 18.0  # after the addition


def split(former, present):
    return {"traffic_split": [{"service": "orders", "weight": former},
                              {"service": "orders-next", "weight": present}]}


FORMER = {"feed": {"service": "orders"}, "reorder": split(90, 10)}
PRESENT = {"feed": {"service": "orders-next"}, "reorder": split(0, 100)}


def case(deployment):
    host = deployment.hosts[0]
    flows = {name: [ClientFlow(host, route, host.new_port()) for _ in range(FLOWS)]
             for name, route in deployment.routes.items()}
    all_flows = [flow for items in flows.values() for flow in items]
    counter = iter(range(1_000_000))

    def ask(flow):
        if flow.state == "open" and not flow.current:
            flow.request(f"q{next(counter)}")
        if flow.state == "open":
            host.loop.after(INTERVAL_S, lambda: ask(flow))

    for i, flow in enumerate(all_flows):
        host.loop.after(0.5 + INTERVAL_S * i / len(all_flows), lambda item=flow: ask(item))
    deployment.run(8.0)
    holders = {key: backend for backend in deployment.backends for _, key in backend.opened}
    if TROUBLE:
        deployment.put_configuration(PRESENT)
        deployment.record.note("configuration acknowledged", deployment.config_version)
    deployment.run(STABLE_S + 1)
    # Planned work: a machine is added (add_nodes).
    added = deployment.add_entry()
    added_at = time.monotonic()
    deployment.run(OBSERVED_S)

    deployment.require(len(holders) > len(all_flows) / 2, "few flows opened")
    lines, broken = [], []
    for name, items in flows.items():
        opened = [flow for flow in items if flow.key in holders]
        reset = [flow for flow in opened if flow.resets]
        former = sum(holders[flow.key].entry["service"] == "orders" for flow in reset)
        late = sum(flow.resets[0][1] != added or flow.resets[0][0] - added_at > STABLE_S
                   for flow in reset)
        lines.append(f"route {name}: {len(opened)} flows opened; {len(reset)} got a reset that their "
                     f"backend did not send, {former} of them held by the former service, {late} "
                     "later than stable_window_ms after the start of the added entry instance")
        broken += ["FLOW"] * bool(reset)
    lines.append(f"{sum(len(flow.answers) for flow in all_flows)} requests answered")
    return lines, broken


play(FOLDER, case, entries=2, spares=1, services={"orders": 3, "orders-next": 2}, hosts=1,
     targets=FORMER)
