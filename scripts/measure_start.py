#!/usr/bin/env python3
"""Measures the startup time until ready and the resident memory of both daemons, idle and after
configuration updates, with the example documents and with a document of the goal size.
Usage: scripts/measure_start.py [--programs BUILD_DIR] [--runs N]"""

import argparse
import json
import os
import re
import statistics
import tempfile
import time
import urllib.error
import urllib.request

from demo_system import HOST, Ports, Process

UPSTREAMS, SERVICES, ENTRIES = 3600, 540, 620
READY_TIMEOUT_S = 20.0
SETTLE_TIME_S = 1.0  # before each memory measurement
UPDATE_COUNT = 5  # generations published after the daemon is ready
EXAMPLES = os.path.join(os.path.dirname(__file__), "..", "examples")


def read_example(deployment):
    with open(os.path.join(EXAMPLES, deployment, "document.json"), encoding="utf-8") as file:
        return json.loads(re.sub(r"^\s*//.*$", "", file.read(), flags=re.MULTILINE))


def goal_size_document():
    """Returns a document with 540 services, 3,600 upstreams and 620 entry instances in 8
    availability zones."""
    example = read_example("manao")
    classes = example["services"][0]["classes"]
    services = [{"id": i + 1, "name": "service-%d" % i, "tenant": "tenant-%d" % (i % 9),
                 "address": "10.%d.%d.1:5683" % (1 + i // 250, i % 250), "classes": classes}
                for i in range(SERVICES)]
    upstreams = [{"id": i + 1, "service": i % SERVICES + 1, "index": i // SERVICES,
                  "zone": "zone-%d" % (i % 8), "slots": 2 + i % 2 * 2, "strength": 1 + i % 4,
                  "agent": "10.%d.%d.2:7001" % (20 + i // 250, i % 250), "connections": 2000,
                  "state": "live"} for i in range(UPSTREAMS)]
    entries = [{"id": i + 1, "zone": "zone-%d" % (i % 8),
                "address": "10.%d.%d.3:7000" % (60 + i // 250, i % 250)} for i in range(ENTRIES)]
    return dict(example, services=services, upstreams=upstreams, entries=entries)


def memory_kib(pid, field):
    """Returns a field of /proc/PID/status, KiB."""
    with open("/proc/%d/status" % pid, encoding="ascii") as file:
        return int(re.search(r"^%s:\s+(\d+) kB" % field, file.read(), re.MULTILINE).group(1))


def wait_until_ready(process, admin):
    """Returns the seconds from the start of the process until /readyz answers 200."""
    end = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < end and process.running():
        try:
            with urllib.request.urlopen("http://%s/readyz" % admin, timeout=1):
                return time.time() - process.started_us / 1e6
        except (urllib.error.URLError, OSError):
            time.sleep(0.002)
    raise SystemExit("%s did not become ready" % process.name)


def daemon_settings(role, document, ports, platform):
    settings = {"id": 1, "zone": document["entries"][0]["zone"], "platform": platform,
                "envelope_address": ports.address(), "admin": ports.address(),
                "log": {"level": "warning"}}
    if role == "entry":
        settings["traffic_threads"] = 2
        settings["listeners"] = [{"service": service["id"], "address": ports.address()}
                                 for service in document["services"][:2]]
    else:
        settings["upstream"] = ports.address()
    return settings


def measure(programs, role, document, runs):
    """Returns the results of run_once() for each run, with one platform for all runs."""
    with tempfile.TemporaryDirectory() as folder:
        publish(folder, document)
        ports = Ports(1)
        platform_address = ports.address()
        platform = Process("platform", [os.path.join(programs, "standins/standin-platform"),
                                        "--listen", platform_address, "--directory", folder],
                           folder)
        try:
            wait_until_listening(platform_address)
            return [run_once(programs, role, document, ports, platform_address, folder)
                    for _ in range(runs)]
        finally:
            platform.kill()


def publish(folder, document):
    """Replaces the document atomically, so that the platform never reads a partial file."""
    name = os.path.join(folder, "configuration.json")
    with open(name + ".new", "w", encoding="utf-8") as file:
        json.dump(document, file, separators=(",", ":"))
    os.rename(name + ".new", name)


def publish_next_generation(folder, document, admin):
    """Publishes the next generation and waits until the daemon reports it as in effect."""
    document["generation"] += 1
    publish(folder, document)
    end = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < end:
        with urllib.request.urlopen("http://%s/state" % admin, timeout=2) as answer:
            if json.load(answer)["generation"] == document["generation"]:
                return
        time.sleep(0.01)
    raise SystemExit("generation %d did not take effect" % document["generation"])


def wait_until_listening(address):
    end = time.monotonic() + READY_TIMEOUT_S
    while time.monotonic() < end:
        try:
            with urllib.request.urlopen("http://%s/v1/configuration" % address, timeout=2):
                return
        except (urllib.error.URLError, OSError):
            time.sleep(0.01)
    raise SystemExit("standin-platform does not respond")


def run_once(programs, role, document, ports, platform, folder):
    """Returns the startup time in seconds and, in KiB, the resident memory when ready, after the
    updates and at its peak."""
    settings = daemon_settings(role, document, ports, platform)
    file_name = os.path.join(folder, role + ".json")
    with open(file_name, "w", encoding="utf-8") as file:
        json.dump(settings, file)
    program = os.path.join(programs, "packages", role, "oriolehold-" + role)
    process = Process(role, [program, "--config", file_name], folder)
    try:
        ready = wait_until_ready(process, settings["admin"])
        time.sleep(SETTLE_TIME_S)
        resident = memory_kib(process.pid, "VmRSS")
        for _ in range(UPDATE_COUNT):
            publish_next_generation(folder, document, settings["admin"])
        time.sleep(SETTLE_TIME_S)
        return (ready, resident, memory_kib(process.pid, "VmRSS"),
                memory_kib(process.pid, "VmHWM"))
    finally:
        process.kill()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--programs", default="build")
    parser.add_argument("--runs", type=int, default=5)
    options = parser.parse_args()
    documents = {"manao": read_example("manao"), "association": read_example("association"),
                 "goal size": goal_size_document()}
    print("medians of %d runs on %s, and the largest in parentheses" % (options.runs, HOST))
    for name, document in documents.items():
        size = len(json.dumps(document, separators=(",", ":")))
        for role in ("entry", "agent"):
            results = measure(options.programs, role, document, options.runs)
            columns = [list(column) for column in zip(*results)]
            text = ["%s %.1f %s (%.1f)" % (label, statistics.median(values) * scale, unit,
                                           max(values) * scale)
                    for label, values, scale, unit in zip(
                        ("ready", "resident", "after %d updates" % UPDATE_COUNT, "peak"), columns,
                        (1e3, 1 / 1024, 1 / 1024, 1 / 1024), ("ms", "MiB", "MiB", "MiB"))]
            print("%s (%d bytes) %s: %s" % (name, size, role, "; ".join(text)), flush=True)


if __name__ == "__main__":
    main()
