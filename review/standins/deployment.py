"""Starts the programs of the deploy file on loopback addresses, with stand-ins around them."""

import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback
from pathlib import Path

from ends import Backend, ClientHost, Loop, Router, text
from store import Store

ROOT = Path(__file__).resolve().parents[2]
DRAIN_S = 3.0  # drain_ms
CONFIG_S = 3.0  # config_apply_ms
STABLE_S = 4.0  # stable_window_ms
GRACE_S = 6.0  # grace_s
RECOVERY_S = 12  # recovery_s
IDLE_TIMEOUT_MS = 15_000  # idle_timeout_ms
FLOW_TTL_S = 60  # flow_ttl_s
READY_LIMIT_S = 20.0

TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    pass


class Record:
    """What was sent, answered and run, in the order of time."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._start = time.monotonic()
        self._lock = threading.Lock()
        self.faults = []

    def note(self, what, *details):
        with self._lock:
            line = " ".join(self._text(item) for item in details)
            self._file.write(f"{time.monotonic() - self._start:9.3f} {what}: {line}\n")

    def fault(self, rule):
        self.faults.append(rule)

    def close(self):
        self._file.close()

    @staticmethod
    def _text(item):
        if isinstance(item, tuple) and len(item) == 4:
            return f"{text(item[0])}:{item[1]}>{text(item[2])}:{item[3]}"
        return str(item)


class Program:
    """A process of the system on one machine."""

    def __init__(self, role, settings, files, name):
        self.name = name
        self._settings = files / f"{name}.json"
        self._settings.write_text(settings)
        self._log = files / f"{name}.log"
        self._command = [word.replace("/etc/oriolehold/settings.toml", str(self._settings))
                         for word in role["run"].split()]
        self._process = None
        self.started_at = 0.0

    def start(self):
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["ORIOLEHOLD_SETTINGS"] = str(self._settings)
        with open(self._log, "ab") as log:
            self._process = subprocess.Popen(self._command, cwd=ROOT, env=env, stdout=log,
                                             stderr=log, stdin=subprocess.DEVNULL)
        self.started_at = time.monotonic()

    def running(self):
        return self._process is not None and self._process.poll() is None

    def terminate(self):
        if self.running():
            self._process.send_signal(signal.SIGTERM)

    def kill(self):
        if self.running():
            self._process.kill()
            self._process.wait()

    def wait(self, seconds):
        try:
            self._process.wait(seconds)
        except subprocess.TimeoutExpired:
            self._process.kill()
            self._process.wait()


def render(template, fields):
    """Fills in a template of settings; understands the placeholders and sections that this project
    uses. A section is rendered if its field is present and true."""
    def item_at(path):
        item = fields
        for part in path.split("."):
            item = item[int(part)] if isinstance(item, list) else item[part]
        return item

    def section(match):
        try:
            return match[2] if item_at(match[1]) else ""
        except KeyError:
            return ""

    def value(match):
        path, _, form = match[1].partition("|")
        return json.dumps(item_at(path)) if form == "json" else str(item_at(path))

    template = re.sub(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([^}]+)\}\}", value, template)


def deployed_roles():
    """The roles of the deploy file, each with the texts of its fields."""
    roles = {}
    for line in (ROOT / "deploy/system.toml").read_text().splitlines():
        if match := re.fullmatch(r"\[roles\.([\w-]+)\]", line.strip()):
            fields = roles[match[1]] = {}
        elif roles and (match := re.fullmatch(r'(\w+) = "(.*)"', line.strip())):
            fields[match[1]] = match[2]
    return roles


class Deployment:
    """entries: number of entry instances, and spares of those that are added later. services:
    number of backends by service name. items: what the store holds at the start besides. targets:
    see put_configuration(); by default there is one route for each service."""

    def __init__(self, folder, entries, services, spares=0, hosts=1, watch_bytes=None, items=None,
                 targets=None):
        self.record = Record(folder / "record.txt")
        self.loop = Loop()
        self._files = Path(tempfile.mkdtemp(prefix="oriolehold-review-"))
        self._programs, self.backends, self.agents, self.hosts = [], [], {}, []
        self.router = self.store = None
        deploy = deployed_roles()
        for role in deploy.values():
            if not (ROOT / role["run"].split()[0]).exists():
                raise CannotRun("the programs are not built")
        machines = entries + spares + sum(services.values()) + hosts
        self._net = self._free_network(machines)
        ip = [f"127.{self._net}.1.{i + 1}" for i in range(machines)]
        ports = self._ports
        self.store_address = (f"127.{self._net}.0.1", ports["store"])
        self.store = Store(self.store_address, watch_bytes)
        self.services = list(services)
        self.routes = {}
        self.config_version = 7
        for i, name in enumerate(targets or services):
            self.routes[name] = (f"127.{self._net}.9.{i + 1}", 443)
        self.put_configuration(targets)
        for key, value in (items or {}).items():
            self.store.put(key, value)
            self.record.note("item of another writer, in bytes", key, len(value))
        self.entry_ips = ip[:entries]
        self.entries = {}
        for i, address in enumerate(ip[:entries + spares]):
            fields = self._fields(f"frontend-bkk-a-{i + 1}", address)
            role = deploy["oriolehold-entry"]
            self.entries[address] = self._add_program(role, fields)
        born = int(time.time() * 1000) - 5000
        rest = ip[entries + spares:]
        for service, count in services.items():
            for _ in range(count):
                address = rest.pop(0)
                name = f"i-{random.getrandbits(32):08x}"
                backend = Backend(self.loop, self.record, name, address, ports["app"],
                                  ports["outbound"])
                backend.entry = {"service": service, "address": f"{address}:{ports['app']}",
                                 "zone": "bkk-a", "version": "v1", "slots": 2, "state": "ready",
                                 "warmup_left_ms": 0, "sequence": 1, "born": born}
                self.store.put("servers/" + name, backend.entry)
                self.backends.append(backend)
                fields = self._fields(f"side-bkk-a-{len(self.backends)}", address)
                fields |= {"service": service, "app": f"{address}:{ports['app']}"}
                self.agents[name] = self._add_program(deploy["oriolehold-agent"], fields)
        self.spares = ip[entries:entries + spares]
        for program in self._programs:
            if program not in [self.entries[address] for address in self.spares]:
                program.start()
        self.router = Router(f"127.{self._net}.0.2", ports["datagram"], self.entry_ips,
                             ports["ready"])
        for address in rest:
            self.hosts.append(ClientHost(self.loop, self.router, self.record, address,
                                         ports["datagram"]))
        self._wait_until_ready()

    def put_configuration(self, targets=None):
        """Writes the next version. targets: fields that say where a route's new flows go, by the
        name of the route; by default its service; None: the version does not have the route. Returns
        the time of the acknowledgement."""
        self.config_version += 3
        routes = [{"name": f"r-{name}", "host": host, "prefix": f"/{port}/",
                   "type": "idempotent", "timeout_ms": 2500, "target_latency_ms": 150,
                   "priority": 2, "max_attempts": 2, **(targets or {}).get(name, {"service": name})}
                  for name, (host, port) in self.routes.items()
                  if (targets or {}).get(name, {}) is not None]
        names = [{"name": service, "health_path": "/health", "max_connections": 2000,
                  "protocol": "h1", "tls": False} for service in self.services]
        limits = {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                  "idle_timeout_ms": IDLE_TIMEOUT_MS}
        return self.store.put("op/config", {"version": self.config_version, "routes": routes,
                                            "services": names, "limits": limits})

    def add_entry(self):
        """Starts a spare entry instance. Returns its address."""
        address = self.spares.pop(0)
        self.entries[address].start()
        self.router.add(address)
        self.record.note("entry instance added", self.entries[address].name)
        return address

    def restart(self, program, down_s):
        """Planned work: the program gets SIGTERM and is started again after its end (roll_term)."""
        program.terminate()
        self.record.note("SIGTERM", program.name)
        end = time.monotonic() + GRACE_S
        while program.running() and time.monotonic() < end:
            self.run(0.02)
        program.wait(0.1)
        self.run(down_s)
        program.start()
        self.record.note("started again", program.name)

    def kill_all(self, down_s):
        """Kills all processes of the system at once, and starts them again. Returns when."""
        running = [program for program in self._programs if program.running()]
        for program in running:
            program.kill()
        self.record.note("all processes are killed")
        self.run(down_s)
        for program in running:
            program.start()
        self.record.note("all processes are started again")
        return time.monotonic()

    def drain(self, backend):
        """The backend reports that it drains. Returns the time of the acknowledgement."""
        backend.draining = True
        backend.entry = backend.entry | {"state": "draining", "sequence": 9}
        acknowledged = self.store.put("servers/" + backend.ident, backend.entry)
        self.record.note("draining, acknowledged by the store", backend.ident)
        return acknowledged

    def leave(self, backend):
        self.store.remove("servers/" + backend.ident)
        self.record.note("backend leaves", backend.ident)
        backend.close()

    @staticmethod
    def require(condition, what):
        if not condition:
            raise CannotRun(what)

    def run(self, seconds):
        self.loop.run_until(time.monotonic() + seconds)

    def close(self):
        for program in self._programs:
            program.terminate()
        for program in self._programs:
            if program.running():
                program.wait(GRACE_S)
        if self.router:
            self.router.close()
        for backend in self.backends:
            backend.close()
        for host in self.hosts:
            host.close()
        if self.store:
            self.store.close()
        if "KEEP" in os.environ:
            shutil.copytree(self._files, os.environ["KEEP"], dirs_exist_ok=True)
        shutil.rmtree(self._files, ignore_errors=True)
        self.record.close()

    def _add_program(self, role, fields):
        settings = render((ROOT / role["template"]).read_text(), fields)
        program = Program(role, settings, self._files, fields["node"])
        self._programs.append(program)
        return program

    def _fields(self, node, ip):
        ports = self._ports
        seeds = [f"{address}:{ports['control']}" for address in self.entry_ips[:3]]
        return {"node": node, "zone": "bkk-a", "ip": ip, "seeds": seeds,
                "internal_ports": [ports["peer"], ports["peer"]],
                "listen": {"datagram_addr": f"{ip}:{ports['datagram']}",
                           "ready": f"{ip}:{ports['ready']}",
                           "outbound": f"{ip}:{ports['outbound']}"},
                "bounds": {"recovery_s": RECOVERY_S},
                "platform": {"address": "%s:%d" % self.store_address}}

    def _free_network(self, machines):
        """Draws a loopback network and ports that are free on its first addresses."""
        for _ in range(50):
            net = random.randrange(16, 250)
            numbers = random.sample(range(12_000, 30_000), 7)
            names = ("datagram", "ready", "outbound", "app", "peer", "control", "store")
            self._ports = dict(zip(names, numbers))
            addresses = [f"127.{net}.0.1"] + [f"127.{net}.1.{i + 1}" for i in range(machines)]
            if all(self._is_free(ip, port) for ip in addresses for port in numbers + [9464]):
                return net
        raise CannotRun("no free ports")

    @staticmethod
    def _is_free(ip, port):
        for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
            with socket.socket(socket.AF_INET, kind) as sock:
                try:
                    sock.bind((ip, port))
                except OSError:
                    return False
        return True

    def _wait_until_ready(self):
        end = time.monotonic() + READY_LIMIT_S
        while time.monotonic() < end:
            self.run(0.2)
            if self.router.all_ready():
                self.record.note("all entry instances are ready")
                self.run(STABLE_S + 1)
                return
        raise CannotRun("the entry instances did not become ready")


def play(folder, case, **options):
    """Runs a case. case(deployment) returns what it saw as lines and the rules that broke."""
    def stop(*_):
        raise SystemExit(2)
    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    deployment = None
    status = 2
    try:
        deployment = Deployment.__new__(Deployment)
        deployment.__init__(folder, **options)
        lines, broken = case(deployment)
        broken = broken + deployment.record.faults
        for line in lines:
            deployment.record.note("result", line)
            print(line)
        print("broken: " + ", ".join(sorted(set(broken))) if broken else "no rule was broken")
        status = 1 if broken else 0
    except CannotRun as reason:
        print(f"the case could not run: {reason}", file=sys.stderr)
    except Exception:  # an error of the case itself must not look like a broken rule
        traceback.print_exc()
    finally:
        if deployment is not None and hasattr(deployment, "_files"):
            deployment.close()
    sys.exit(status)
