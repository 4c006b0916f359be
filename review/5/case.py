"""A client opens a new flow from the port of a closed one; the entry instance still sends it to the
backend of the closed flow, which drains."""

import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from deployment import CONFIG_S, DRAIN_S, TROUBLE, play  # noqa: E402
from ends import ClientFlow  # noqa: E402

PORTS = 24
INTERVAL_S = 4.0  # between the flows of a port
COPIES_S = 0.6  # time in which a client sends the copies of an opening packet
# With DROP=1 the route is removed instead; the rule is CONFIG then.
DROP = os.environ.get("DROP") == "1"
SERVES_ON_S = 9.0  # after the acknowledgement of the drain, before the backend leaves


def case(deployment):
    host = deployment.hosts[0]
    route = deployment.routes["orders"]
    counter = iter(range(1_000_000))
    latest = {}

    def visit(port):
        former = latest.get(port)
        # The port is free again: the backend has closed the flow first, and the client's last
        # packet is acknowledged.
        if former is None or former.state == "closed":
            latest[port] = ClientFlow(host, route, port)
            latest[port].request(f"q{next(counter)}", close=True)
        host.loop.after(INTERVAL_S, lambda: visit(port))

    def visit_from_new_port():
        flow = ClientFlow(host, route, host.new_port())
        flow.request(f"n{next(counter)}", close=True)
        host.loop.after(0.1, visit_from_new_port)

    ports = [host.new_port() for _ in range(PORTS)]
    for i, port in enumerate(ports):
        host.loop.after(INTERVAL_S * i / PORTS, lambda item=port: visit(item))
    visit_from_new_port()
    deployment.run(6.0)
    if DROP:
        return drop_route(deployment, ports)
    leaving = deployment.backends[0]
    acknowledged = deployment.drain(leaving) if TROUBLE else None
    deployment.run(SERVES_ON_S)
    late = [] if acknowledged is None else [
        (at, key) for at, key in leaving.openings if at > acknowledged + DRAIN_S]
    reused = [item for item in late if item[1][1] in ports]
    if TROUBLE:
        deployment.leave(leaving)
    deployment.run(1.0)
    runs = sum(len(backend.runs) for backend in deployment.backends)
    deployment.require(runs > PORTS, "few requests run")
    lines = [f"{runs} requests run",
             f"{len(late)} opening packets reached {leaving.ident} later than drain_ms after the "
             f"store had acknowledged that it drains, {len(reused)} of them from a port with an "
             "earlier flow"]
    return lines, ["DRAIN"] if late else []


def drop_route(deployment, ports):
    """The rule CONFIG: a version without the route takes the place of the drain."""
    acknowledged = None
    if TROUBLE:
        acknowledged = deployment.put_configuration({"orders": None})
        deployment.record.note("configuration without the route acknowledged",
                               deployment.config_version)
    deployment.run(SERVES_ON_S)
    taken = [(at, key) for backend in deployment.backends for at, key in backend.openings]
    # The packets are sent at most 0.6 s before; that is left out of the count.
    late = [] if acknowledged is None else [
        item for item in taken if item[0] > acknowledged + CONFIG_S + COPIES_S]
    runs = sum(len(backend.runs) for backend in deployment.backends)
    deployment.require(runs > PORTS, "few requests run")
    lines = [f"{runs} requests run",
             f"{len(late)} flows were opened later than config_apply_ms after the acknowledgement of a "
             f"version without their route, {sum(key[1] in ports for _, key in late)} of them from a "
             "port with an earlier flow"]
    return lines, ["CONFIG"] if late else []


play(FOLDER, case, entries=2, services={"orders": 3}, hosts=1)
