"""Copies of the entries of all backends, each without one field, say that the backends drain. After
all processes were killed and started again no new flow is served."""

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from deployment import TROUBLE, play  # noqa: E402
from ends import ClientFlow  # noqa: E402

DOWN_S = 1.0
RECOVERY_S = 12.0  # recovery_s
OBSERVED_S = 10.0
LAST_ATTEMPT_S = 2.0  # time for the answers to the last requests


def case(deployment):
    host = deployment.hosts[0]
    route = deployment.routes["orders"]
    flows = []

    def visit():
        flow = ClientFlow(host, route, host.new_port())
        flow.request(f"q{len(flows)}", close=True)
        flows.append(flow)
        host.loop.after(0.05, visit)

    def served(begin, end):
        """The share of the requests sent in this time that were answered, and their number."""
        sent = [flow for flow in flows if begin <= flow.begun_at < end]
        return sum(bool(flow.answers) for flow in sent) / len(sent), len(sent)

    visit()
    begun = time.monotonic()
    deployment.run(8.0)
    if TROUBLE:
        for i, backend in enumerate(deployment.backends):
            # "fields missing": there is no version.
            entry = {name: value for name, value in backend.entry.items() if name != "version"}
            deployment.store.put(f"servers/other-writer-{i}", entry | {"state": "draining"})
            deployment.record.note("entry of another writer", backend.ident)
    killed = time.monotonic()
    back = deployment.kill_all(DOWN_S)
    deployment.run(RECOVERY_S + OBSERVED_S + LAST_ATTEMPT_S)
    before, count_before = served(begun, killed)
    after, count_after = served(back + RECOVERY_S, back + RECOVERY_S + OBSERVED_S)
    lines = [f"{before:.0%} of {count_before} requests were served before the final fault",
             f"{after:.0%} of {count_after} requests were served that were sent later than "
             "recovery_s after the processes were back"]
    return lines, ["RECOVER"] if before >= 0.25 > after else []


play(FOLDER, case, entries=2, services={"orders": 3}, hosts=1)
