"""An entry of another writer, with a later start time, hides a live backend; its open flows are
reset when an entry instance is added."""

import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from deployment import STABLE_S, TROUBLE, play  # noqa: E402
from ends import ClientFlow  # noqa: E402

FLOWS = 48
INTERVAL_S = 6.0  # between the requests of a flow; idle_timeout_ms is 15 s
RESTART_DELAY_S = 0.5
OBSERVED_S = 18.0  # after the addition


# With COPY=1 the entry is a copy of the backend's own, with the same start time, for another service
# that is routed, and lacks a field, and the backend's agent is restarted before the instance is added:
# entry 6 of KNOWN-RED.txt.
COPY = os.environ.get("COPY") == "1"
KEY = "a-other-writer" if COPY else "other-writer"


def foreign_entry(entry):
    if COPY:
        copy = {name: value for name, value in entry.items() if name != "version"}
        return copy | {"service": "catalog"}
    # "a state or service that isn't named here": no configuration names this service.
    return entry | {"service": "inventory-export", "sequence": 1, "born": int(time.time() * 1000)}


def case(deployment):
    host = deployment.hosts[0]
    route = deployment.routes["orders"]
    flows = [ClientFlow(host, route, host.new_port()) for _ in range(FLOWS)]
    counter = iter(range(1_000_000))

    def ask(flow):
        if flow.state == "open" and not flow.current:
            flow.request(f"q{next(counter)}")
        if flow.state == "open":
            host.loop.after(INTERVAL_S, lambda: ask(flow))

    for i, flow in enumerate(flows):
        host.loop.after(0.5 + INTERVAL_S * i / FLOWS, lambda item=flow: ask(item))
    deployment.run(8.0)
    holders = {key: backend for backend in deployment.backends for _, key in backend.opened}
    victim = deployment.backends[0]

    if TROUBLE:
        deployment.store.put("servers/" + KEY, foreign_entry(victim.entry))
        deployment.record.note("entry of another writer", victim.ident)
    deployment.run(STABLE_S + 1)

    if COPY:
        # So that the agent claims no flows that speak later.
        deployment.restart(deployment.agents[victim.ident], RESTART_DELAY_S)
    # Planned work: a machine is added (add_nodes).
    added = deployment.add_entry()
    added_at = time.monotonic()
    deployment.run(OBSERVED_S)

    deployment.require(len(holders) > FLOWS / 2, "few flows opened")
    opened = [flow for flow in flows if flow.key in holders]
    reset = [flow for flow in opened if flow.resets]
    in_touch = [flow for flow in reset
                if flow.resets[0][1] != added or flow.resets[0][0] - added_at > STABLE_S]
    at_victim = [flow for flow in opened if holders[flow.key] is victim]
    answered = sum(len(flow.answers) for flow in flows)
    lines = [f"{len(opened)} flows opened, {len(at_victim)} of them at {victim.ident}",
             f"{answered} requests answered, the last ones by all backends that live",
             f"{len(reset)} open flows got a reset that their backend did not send, "
             f"{sum(holders[flow.key] is victim for flow in reset)} of them at {victim.ident}, "
             f"{len(in_touch)} of them later than stable_window_ms after the start of the "
             "entry instance that sent it"]
    return lines, ["FLOW"] if reset else []


play(FOLDER, case, entries=2, spares=1, services={"orders": 3, "catalog": 1}, hosts=1)
