"""An entry of another writer that lacks a field names the address of a draining backend, which
then gets new flows again."""

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from deployment import DRAIN_S, TROUBLE, play  # noqa: E402
from ends import ClientFlow  # noqa: E402

SERVES_ON_S = 9.0  # after the acknowledgement of the drain, before the backend leaves


def case(deployment):
    host = deployment.hosts[0]
    route = deployment.routes["orders"]
    flows = []

    def visit():
        flow = ClientFlow(host, route, host.new_port())
        flow.request(f"q{len(flows)}", close=True)
        flows.append(flow)
        host.loop.after(0.05, visit)

    visit()
    deployment.run(3.0)
    leaving = deployment.backends[0]
    if TROUBLE:
        # "fields missing": there is no version.
        entry = {name: value for name, value in leaving.entry.items() if name != "version"}
        deployment.store.put("servers/other-writer-1",
                             entry | {"sequence": 1, "born": int(time.time() * 1000)})
        deployment.record.note("entry of another writer", leaving.ident)
        deployment.run(2.0)
    acknowledged = deployment.drain(leaving)
    deployment.run(SERVES_ON_S)
    late = [at for at, _ in leaving.openings if at > acknowledged + DRAIN_S]
    total = sum(len(backend.openings) for backend in deployment.backends)
    deployment.require(total > len(flows) / 2, "few flows opened")
    deployment.leave(leaving)
    deployment.run(1.0)
    lines = [f"{len(flows)} flows, {total} opening packets taken",
             f"{len(late)} opening packets reached {leaving.ident} later than drain_ms after the "
             "store had acknowledged that it drains"
             + (f", the last one {late[-1] - acknowledged:.1f} s after" if late else "")]
    return lines, ["DRAIN"] if late else []


play(FOLDER, case, entries=2, services={"orders": 3}, hosts=1)
