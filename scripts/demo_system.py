"""Starts, changes and stops the processes of a demo run: platform, upstreams, agents, entries,
fabric and callers."""

import ctypes
import json
import os
import random
import signal
import socket
import subprocess
import time
import urllib.error
import urllib.request

HOST = "127.0.0.1"
FIRST_PORT, LAST_PORT, PORTS_PER_RUN = 10000, 32000, 400
READY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 40.0  # must be greater than DRAIN_LIMIT_S
DRAIN_LIMIT_S = 30
PR_SET_PDEATHSIG = 1  # from linux/prctl.h


class DemoError(Exception):
    """A process of the demo did not start, stop or become ready as expected."""


class Deployment:
    """Names and sizes of the system of one tenant."""

    def __init__(self, tenant, zones, slots, order_service, guide_service, paths, classes,
                 strengths):
        self.tenant = tenant
        self.zones = zones
        self.slots = slots
        self.order_service = order_service
        self.guide_service = guide_service
        self.paths = paths  # order, feed, guide
        self.classes = classes  # order, feed, guide
        self.strengths = strengths  # service name: strength of each upstream


DEPLOYMENTS = {
    "manao": Deployment("manao", ["zone-a", "zone-b", "zone-c"], 2, "orders", "catalog",
                        ("orders", "stock", "guides"), ("order", "stock", "guide"),
                        {"orders": [1, 2, 3, 4, 2, 1, 4], "catalog": [1, 2, 4]}),
    "association": Deployment("association", ["zone-a", "zone-b", "zone-c", "zone-d"], 4,
                              "inspections", "reports", ("filings", "readings", "reports"),
                              ("filing", "reading", "report"),
                              {"inspections": [1, 2, 3, 4, 2, 1, 4], "reports": [1, 2, 3, 4]}),
}


class Ports:
    """Allocates free loopback ports. Concurrent runs use different blocks of ports: a run reserves
    its block by listening on the first port."""

    def __init__(self, seed):
        generator = random.Random("%d %d" % (seed, os.getpid()))
        bases = list(range(FIRST_PORT, LAST_PORT, PORTS_PER_RUN))
        generator.shuffle(bases)
        for base in bases:
            lock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            try:
                lock.bind((HOST, base))
                lock.listen(1)
            except OSError:
                lock.close()
                continue
            self._lock = lock
            self._next, self._end = base + 1, base + PORTS_PER_RUN
            return
        raise DemoError("no free block of ports")

    def address(self):
        while self._next < self._end:
            port, self._next = self._next, self._next + 1
            if all(self._is_free(kind, port) for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM)):
                return "%s:%d" % (HOST, port)
        raise DemoError("all ports of the block are in use")

    @staticmethod
    def _is_free(kind, port):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                return False
        return True


class Process:
    """A child process of this run."""

    def __init__(self, name, command, folder):
        self.name = name
        self.command = command
        self._folder = folder
        self.expected_to_run = True
        self.killed_us = None
        self.stuck = False  # did not end after SIGTERM
        self.started_us = now_us()
        # stdout goes to a file of its own because the stand-ins print their counters there on exit.
        with open(os.path.join(folder, name + ".out"), "ab") as out, \
                open(os.path.join(folder, name + ".log"), "ab") as log:
            self._popen = subprocess.Popen(command, stdin=subprocess.DEVNULL, stdout=out,
                                           stderr=log, preexec_fn=set_parent_death_signal)

    @property
    def pid(self):
        return self._popen.pid

    def running(self):
        return self._popen.poll() is None

    def exit_status(self):
        return self._popen.poll()

    def signal(self, number):
        if self.running():
            self._popen.send_signal(number)

    def terminate(self):
        self.expected_to_run = False
        self.signal(signal.SIGTERM)

    def kill(self):
        self.expected_to_run = False
        self.killed_us = now_us()
        self.signal(signal.SIGKILL)
        self._popen.wait()

    def pause(self):
        self.signal(signal.SIGSTOP)

    def resume(self):
        self.signal(signal.SIGCONT)

    def wait(self, timeout):
        """Returns whether the process has ended."""
        try:
            self._popen.wait(timeout)
        except subprocess.TimeoutExpired:
            return False
        return True

    def output(self):
        with open(os.path.join(self._folder, self.name + ".out"), encoding="utf-8") as lines:
            return lines.read()


class Entry:
    def __init__(self, number, zone, envelope, admin, listeners):
        self.number = number
        self.zone = zone
        self.envelope = envelope
        self.admin = admin
        self.listeners = listeners  # service name: address
        self.process = None


class Upstream:
    """An upstream server and its agent."""

    def __init__(self, number, service, index, zone, strength, slots):
        self.number = number
        self.service = service
        self.index = index
        self.zone = zone
        self.strength = strength
        self.slots = slots
        self.state = "live"
        self.address = self.envelope = self.admin = self.records = None
        self.server = self.agent = None
        self.agent_kills_us = []
        self.agent_pauses_us = []
        # Interval in which the upstream receives its full share of the load; the imbalance is
        # computed only inside it.
        self.serving_from_us = self.serving_until_us = None

    def end_serving(self):
        if self.serving_until_us is None:
            self.serving_until_us = now_us()


class System:
    """A running system and the operations that scenarios use to change it."""

    def __init__(self, options, deployment, folder):
        self.options = options
        self.deployment = deployment
        self.folder = folder
        self.ports = Ports(options.seed)
        self.random = random.Random(options.seed)
        self.services = {}  # name: {id, address}
        self.entries = []  # including those that have stopped
        self.upstreams = []
        self.processes = []
        self.generation = 0
        self.slowest_configuration_s = 0.0  # longest time until a document was in effect everywhere
        self.late_configurations = 0
        self.events = []
        self.fabric = self.caller = self.platform = None
        self.warm_up_ms = 2000
        self.start_us = now_us()
        self._entries_in_map = None

    # Processes

    def program(self, name):
        for folder in ("standins", "packages/entry", "packages/agent", "."):
            path = os.path.join(self.options.programs, folder, name)
            if os.access(path, os.X_OK) and os.path.isfile(path):
                return path
        raise DemoError("program not found: " + name)

    def start_process(self, name, program, *arguments):
        command = [self.program(program), *[str(argument) for argument in arguments]]
        process = Process(name, command, self.folder)
        self.processes.append(process)
        return process

    def path(self, name):
        return os.path.join(self.folder, name)

    def record_event(self, text):
        """Adds an event of the scenario to the report."""
        self.events.append(((now_us() - self.start_us) / 1e6, text))

    # Start

    def start(self):
        names = [self.deployment.order_service, self.deployment.guide_service]
        for number, name in enumerate(names, 1):
            self.services[name] = {"id": number, "address": self.ports.address()}
        os.makedirs(self.path("platform"))
        for name in names:
            for strength in self.deployment.strengths[name]:
                self.plan_upstream(name, strength)
        if self.balanced:
            for _ in range(3):
                self.plan_entry()
            self.publish(wait=False)
            address = self.ports.address()
            self.platform_address = address
            self.platform = self.start_process("platform", "standin-platform", "--listen",
                                               address, "--directory", self.path("platform"))
            wait_for(lambda: http_status(address, "/v1/configuration?after=0&wait=0") == 200,
                     "the platform")
        for upstream in self.upstreams:
            self.start_server(upstream)
        if self.balanced:
            for upstream in self.upstreams:
                self.start_agent(upstream)
            for entry in self.entries:
                self.start_entry(entry)
            self.wait_ready([*self.upstreams, *self.entries])
        now = now_us()
        for upstream in self.upstreams:
            upstream.serving_from_us = now
        self.update_map()

    @property
    def balanced(self):
        """Whether packets pass through oriolehold. False in the scenario that sends the callers'
        packets directly to the upstreams, to check the stand-ins alone."""
        return self.options.scenario != "direct"

    def plan_upstream(self, service, strength, zone=None):
        of_service = [upstream for upstream in self.upstreams if upstream.service == service]
        index = max([upstream.index for upstream in of_service], default=-1) + 1
        zones = self.deployment.zones
        upstream = Upstream(len(self.upstreams) + 1, service, index,
                            zone or zones[index % len(zones)], strength, self.deployment.slots)
        upstream.address = self.ports.address()
        upstream.envelope = self.ports.address()
        upstream.admin = self.ports.address()
        upstream.records = self.path("upstream-%d.records" % upstream.number)
        self.upstreams.append(upstream)
        return upstream

    def plan_entry(self, zone=None):
        number = len(self.entries) + 1
        zones = self.deployment.zones
        entry = Entry(number, zone or zones[(number - 1) % len(zones)], self.ports.address(),
                      self.ports.address(), {name: self.ports.address() for name in self.services})
        self.entries.append(entry)
        return entry

    def start_server(self, upstream):
        upstream.server = self.start_process(
            "upstream-%d" % upstream.number, "standin-upstream", "--listen", upstream.address,
            "--service", upstream.service, "--slots", upstream.slots, "--strength",
            upstream.strength, "--records", upstream.records, "--seed",
            self.options.seed + upstream.number)
        wait_for(lambda: answers_ping(upstream.address), "upstream %d" % upstream.number)

    def start_agent(self, upstream):
        settings = {"id": upstream.number, "upstream": upstream.address,
                    "scheduler": self.options.scheduler, "keep_alive_ms": 5000}
        if self.options.scheduler is None:
            del settings["scheduler"]
        file = self.write_settings("agent-%d" % upstream.number, upstream, settings)
        upstream.agent = self.start_process("agent-%d" % upstream.number, "oriolehold-agent",
                                            "--config", file)

    def start_entry(self, entry):
        settings = {"id": entry.number, "policy": self.options.policy,
                    "listeners": [{"service": self.services[name]["id"], "address": address}
                                  for name, address in entry.listeners.items()]}
        if self.options.policy is None:
            del settings["policy"]
        file = self.write_settings("entry-%d" % entry.number, entry, settings)
        entry.process = self.start_process("entry-%d" % entry.number, "oriolehold-entry",
                                           "--config", file)

    def write_settings(self, name, instance, settings):
        others = [other.admin for other in [*self.upstreams, *self.entries] if other is not instance]
        settings.update(zone=instance.zone, envelope_address=instance.envelope,
                        platform=self.platform_address, admin=instance.admin,
                        drain_key="demo-drain-key", peers=others[-8:],
                        drain_limit_s=DRAIN_LIMIT_S, warm_up_ms=self.warm_up_ms,
                        log={"level": "info", "format": "json"})
        file = self.path(name + ".json")
        write_file(file, json.dumps(settings, indent=2))
        return file

    def wait_ready(self, instances):
        for instance in instances:
            wait_for(lambda admin=instance.admin: http_status(admin, "/readyz") == 200,
                     "readiness of " + self.name_of(instance))

    @staticmethod
    def name_of(instance):
        kind = "entry" if isinstance(instance, Entry) else "agent"
        return "%s %d" % (kind, instance.number)

    def start_fabric(self, *arguments):
        self.fabric = self.start_process("fabric", "standin-fabric", "--map",
                                         self.path("map.json"), "--seed", self.options.seed,
                                         "--delay-us", 1000, *arguments)
        time.sleep(0.2)

    def start_caller(self, *arguments):
        service_map = ",".join("%s=%s" % (name, service["address"])
                               for name, service in self.services.items())
        self.caller = self.start_process(
            "caller", "standin-caller", "--service-map", service_map, "--deployment",
            self.options.deployment, "--seed", self.options.seed, "--records",
            self.path("caller.records"), *arguments)

    # Document and network map

    def document(self):
        order, feed, guide = self.deployment.classes
        order_path, feed_path, guide_path = self.deployment.paths
        classes = {
            self.deployment.order_service: [
                {"name": order, "kind": "request", "method": "POST", "path": order_path,
                 "idempotent": False, "priority": 0, "deadline_ms": 2000},
                {"name": feed, "kind": "feed", "method": "GET", "path": feed_path,
                 "idempotent": True, "priority": 0, "deadline_ms": 2000}],
            self.deployment.guide_service: [
                {"name": guide, "kind": "download", "method": "GET", "path": guide_path,
                 "idempotent": True, "priority": 1, "deadline_ms": 10000}]}
        return {
            "generation": self.generation,
            "keys": [{"id": 1, "secret": "%032x" % random.Random(self.options.seed).getrandbits(128)}],
            "signing_key": 1, "token_lifetime_s": 86400, "ticket_lifetime_s": 120,
            "services": [{"id": service["id"], "name": name, "tenant": self.deployment.tenant,
                          "address": service["address"], "classes": classes[name]}
                         for name, service in self.services.items()],
            "upstreams": [{"id": upstream.number, "service": self.services[upstream.service]["id"],
                           "index": upstream.index, "zone": upstream.zone,
                           "agent": upstream.envelope, "slots": upstream.slots,
                           "strength": upstream.strength, "connections": 2000,
                           "state": upstream.state}
                          for upstream in self.upstreams if upstream.state != "gone"],
            "entries": [{"id": entry.number, "zone": entry.zone, "address": entry.envelope}
                        for entry in self.entries if entry.process is None
                        or entry.process.expected_to_run]}

    def publish(self, wait=True):
        """Publishes the current state of the system as the next generation."""
        self.generation += 1
        file = self.path("platform/configuration.json")
        if os.path.exists(file):
            with open(file, encoding="utf-8") as old:
                write_file(self.path("platform/configuration.old.json"), old.read())
        document = self.document()
        instances = [{"id": "upstream-%d" % item["id"], "zone": item["zone"],
                      "state": item["state"]} for item in document["upstreams"]]
        instances += [{"id": "entry-%d" % item["id"], "zone": item["zone"], "state": "live"}
                      for item in document["entries"]]
        write_file(self.path("platform/instances.json"), json.dumps({"instances": instances}))
        write_file(file, json.dumps(document, indent=2))
        if wait:
            self.wait_in_effect()

    def wait_in_effect(self, limit=8.0):
        """Waits until all daemons that should be running report the current generation."""
        start = time.monotonic()
        waiting = {instance.admin for instance in self.running_instances()}
        while waiting and time.monotonic() < start + limit:
            waiting = {admin for admin in waiting if generation_of(admin) < self.generation}
            time.sleep(0.02)
        self.slowest_configuration_s = max(self.slowest_configuration_s, time.monotonic() - start)
        if waiting:
            self.late_configurations += 1
            self.record_event("generation %d not in effect at %s"
                              % (self.generation, sorted(waiting)))

    def running_instances(self):
        for entry in self.entries:
            if entry.process and entry.process.running() and entry.process.expected_to_run:
                yield entry
        for upstream in self.upstreams:
            if upstream.agent and upstream.agent.running() and upstream.agent.expected_to_run:
                yield upstream

    def set_platform_mode(self, mode):
        self.record_event("platform mode " + mode)
        write_file(self.path("platform/mode"), mode)

    def update_map(self, entries=None):
        """Sets the entries to which the fabric sends packets; by default all that should be
        running."""
        if entries is None:
            entries = [entry for entry in self.entries
                       if entry.process is not None and entry.process.expected_to_run]
        targets = {name: [entry.listeners[name] for entry in entries] for name in self.services}
        if not self.balanced:
            targets = {name: [upstream.address for upstream in self.upstreams
                              if upstream.service == name] for name in self.services}
        services = [{"name": name, "address": service["address"], "entries": targets[name]}
                    for name, service in self.services.items()]
        write_file(self.path("map.json"), json.dumps({"services": services}))

    # Changes to the running system

    def add_entry(self, zone=None, wait=True):
        entry = self.plan_entry(zone)
        self.start_entry(entry)
        self.wait_ready([entry])
        self.record_event("entry %d joined" % entry.number)
        self.publish(wait)
        self.update_map()
        return entry

    def leave_entry(self, entry, wait=True):
        """Stops an entry as planned: removes it from the network map, sends SIGTERM, which starts
        its drain, and publishes a document without it."""
        self.record_event("entry %d leaving" % entry.number)
        self.update_map([other for other in self.entries if other is not entry
                         and other.process.expected_to_run])
        entry.process.terminate()
        self.publish(wait)

    def kill_entry(self, entry):
        self.record_event("entry %d killed" % entry.number)
        entry.process.kill()

    def join_upstream(self, service, strength, zone=None):
        upstream = self.plan_upstream(service, strength, zone)
        self.start_server(upstream)
        self.start_agent(upstream)
        self.record_event("upstream %d (%s) starts" % (upstream.number, service))
        return upstream

    def wait_joined(self, upstreams, wait=True):
        """Publishes the new upstreams and waits until their agents are ready."""
        self.publish(wait)
        self.wait_ready(upstreams)
        for upstream in upstreams:
            upstream.serving_from_us = now_us() + self.warm_up_ms * 1000

    def mark_leaving(self, upstreams, wait=True):
        for upstream in upstreams:
            self.record_event("upstream %d (%s) marked as leaving"
                              % (upstream.number, upstream.service))
            upstream.state = "leaving"
            upstream.end_serving()
        self.publish(wait)

    def terminate_agent(self, upstream):
        self.record_event("SIGTERM sent to agent %d" % upstream.number)
        upstream.agent.terminate()

    def finish_leaving(self, upstreams):
        """Waits for the agents to drain, then stops the upstreams and removes them from the
        document."""
        for upstream in upstreams:
            start = time.monotonic()
            if not upstream.agent.wait(STOP_TIMEOUT_S):
                raise DemoError("agent %d did not finish draining" % upstream.number)
            self.record_event("agent %d exited after a wait of %.1f s"
                              % (upstream.number, time.monotonic() - start))
            upstream.server.terminate()
            upstream.state = "gone"
        self.publish()

    def kill_agent(self, upstream):
        self.record_event("agent %d (%s) killed" % (upstream.number, upstream.service))
        upstream.agent.kill()
        upstream.agent_kills_us.append(upstream.agent.killed_us)
        upstream.end_serving()

    def pause_agent(self, upstream):
        self.record_event("agent %d (%s) paused" % (upstream.number, upstream.service))
        upstream.agent_pauses_us.append(now_us())
        upstream.agent.pause()

    def resume_agent(self, upstream):
        upstream.agent.resume()
        self.record_event("agent %d resumed" % upstream.number)

    def kill_server(self, upstream):
        self.record_event("upstream %d (%s) killed" % (upstream.number, upstream.service))
        upstream.server.kill()

    # Stop

    def failures(self):
        """Returns the processes that exited unexpectedly, did not exit after SIGTERM or exited with
        an error."""
        return [process for process in self.processes
                if process.stuck or (process.killed_us is None and not process.running()
                                     and (process.expected_to_run or process.exit_status() != 0))]

    def stop(self):
        """Stops all processes of this run, callers first."""
        groups = [[self.caller], [entry.process for entry in self.entries],
                  [upstream.agent for upstream in self.upstreams],
                  [upstream.server for upstream in self.upstreams], [self.fabric],
                  [self.platform]]
        for group in groups:
            running = [process for process in group if process is not None and process.running()]
            for process in running:
                process.resume()
                process.terminate()
            limit = time.monotonic() + STOP_TIMEOUT_S
            for process in running:
                if not process.wait(max(0.0, limit - time.monotonic())):
                    self.record_event("%s did not stop in %d s" % (process.name, STOP_TIMEOUT_S))
                    process.stuck = True
                    process.kill()


def now_us():
    return time.time_ns() // 1000


def set_parent_death_signal():
    """Makes the kernel kill the child process when this script dies without stopping it."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def write_file(path, text):
    """Replaces the file atomically, so that readers never see a partial file."""
    with open(path + ".new", "w", encoding="utf-8") as file:
        file.write(text)
    os.replace(path + ".new", path)


def wait_for(condition, description, timeout=READY_TIMEOUT_S):
    limit = time.monotonic() + timeout
    while not condition():
        if time.monotonic() > limit:
            raise DemoError("timed out waiting for " + description)
        time.sleep(0.02)


def http_get(address, path):
    with urllib.request.urlopen("http://%s%s" % (address, path), timeout=1.0) as answer:
        return answer.status, answer.read()


def http_status(address, path):
    try:
        return http_get(address, path)[0]
    except urllib.error.HTTPError as error:
        return error.code
    except OSError:
        return 0


def generation_of(admin):
    try:
        return json.loads(http_get(admin, "/v1/configuration")[1])["generation"]
    except (OSError, ValueError, KeyError):
        return 0


def answers_ping(address):
    """Returns whether the server responds to a CoAP ping: an empty confirmable message, to which
    the response is RST (RFC 7252, section 4.3)."""
    host, port = address.split(":")
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.settimeout(0.2)
        probe.connect((host, int(port)))
        try:
            probe.send(b"\x40\x00\x12\x34")
            return probe.recv(16)[:1] == b"\x70"
        except OSError:
            return False
