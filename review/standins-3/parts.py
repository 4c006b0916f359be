"""Stand-ins for the systems around the balancer, and the start of its two programs.

A deployment has a store, entry instances, servers with an agent beside each, a router that spreads
the packets of clients over the ready instances, and clients. All of them use loopback addresses of
a run of their own. The stand-ins follow PROTOCOL.md; nothing else is assumed of the system.
"""

import base64
import http.client
import http.server
import json
import os
import random
import shutil
import signal
import socket
import socketserver
import struct
import subprocess
import tempfile
import threading
import time
import urllib.parse
import zlib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
SYN, FIN, BOUNCED, RST, ACK = 1, 2, 8, 16, 32
HEAD = struct.Struct(">B3sH4s4sHIIIHI")
SUM_KEY = b"key of the stand-ins"
STEADY = time.monotonic


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.begin = STEADY()
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()

    def now(self):
        return STEADY() - self.begin

    def line(self, text):
        with self.lock:
            self.file.write(f"{self.now():9.3f} {text}\n")
            self.file.flush()


class Packet:
    def __init__(self, flags, src, sport, dst, dport, seq, ack, data=b"", pad=b"\0\0\0", echo=0,
                 check=None):
        self.flags, self.src, self.sport, self.dst, self.dport = flags, src, sport, dst, dport
        self.seq, self.ack, self.data = seq & 0xffffffff, ack & 0xffffffff, data
        self.pad, self.echo = pad, echo
        self.sum = self.expected_sum() if check is None else check

    def expected_sum(self):
        covered = struct.pack(">B4sH4sHII", self.flags & ~BOUNCED, socket.inet_aton(self.src),
                              self.sport, socket.inet_aton(self.dst), self.dport, self.seq, self.ack)
        return zlib.crc32(SUM_KEY + covered + self.data)

    def encode(self):
        return HEAD.pack(self.flags, self.pad, self.sport, socket.inet_aton(self.dst),
                         socket.inet_aton(self.src), self.dport, self.seq, self.ack, self.echo,
                         len(self.data), self.sum) + self.data

    @staticmethod
    def decode(raw):
        if len(raw) < HEAD.size:
            return None
        flags, pad, sport, dst, src, dport, seq, ack, echo, length, check = HEAD.unpack(
            raw[:HEAD.size])
        if len(raw) != HEAD.size + length:
            return None
        return Packet(flags, socket.inet_ntoa(src), sport, socket.inet_ntoa(dst), dport, seq, ack,
                      raw[HEAD.size:], pad, echo, check)


class Store:
    """The platform's metadata store: items, a revision, watches and a history of some seconds."""

    ANSWER_S = 0.004

    def __init__(self, address, port, history_s, record):
        self.record, self.history_s = record, history_s
        self.lock = threading.Condition()
        self.items, self.events, self.revision, self.discarded = {}, [], 1, 1
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self):
                store.answer(self)

            def log_message(self, *_):
                pass

        class Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
            daemon_threads = True
            request_queue_size = 128

        self.calls, self.large_answers = 0, 0
        self.server = Server((address, port), Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def put(self, key, value):
        """Returns when the store has acknowledged the write, and its revision."""
        time.sleep(self.ANSWER_S)
        with self.lock:
            self.revision += 1
            old = self.items.get(key)
            item = {"key": key, "value": base64.b64encode(value).decode(),
                    "revision": self.revision,
                    "created": old["created"] if old else self.revision, "lease": 0}
            self.items[key] = item
            self.events.append((STEADY(), self.revision, item))
            self.lock.notify_all()
            return self.revision

    def remove(self, key):
        with self.lock:
            if self.items.pop(key, None) is None:
                return
            self.revision += 1
            self.events.append((STEADY(), self.revision,
                                {"key": key, "revision": self.revision, "removed": True}))
            self.lock.notify_all()

    def forget(self):
        limit = STEADY() - self.history_s
        while self.events and self.events[0][0] < limit:
            self.discarded = self.events.pop(0)[1]

    def answer(self, request):
        parts = urllib.parse.urlsplit(request.path)
        query = dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True))
        time.sleep(self.ANSWER_S)
        self.calls += 1
        status, body = 404, {}
        with self.lock:
            if parts.path == "/-/kv-key":
                item = self.items.get(query.get("key", ""))
                status = 200 if item else 404
                body = dict(item or {}, store_revision=self.revision)
            elif parts.path == "/-/kv-range":
                keys = sorted(key for key in self.items if key.startswith(query.get("prefix", ""))
                              and key > query.get("after", ""))
                status = 200
                body = {"items": [self.items[key] for key in keys[:500]],
                        "truncated": len(keys) > 500, "store_revision": self.revision}
            elif parts.path == "/-/kv-watch":
                status, body = self.watch(query)
        raw = json.dumps(body, separators=(",", ":")).encode()
        if len(raw) > 1 << 20:
            self.large_answers += 1
            self.record.line(f"store: answer of {len(raw)} bytes to {parts.path}?"
                             f"{parts.query}")
        try:
            request.send_response(status)
            request.send_header("Content-Type", "application/json")
            request.send_header("Content-Length", str(len(raw)))
            request.end_headers()
            request.wfile.write(raw)
        except OSError:
            request.close_connection = True

    def watch(self, query):
        after, prefix = int(query.get("after", "0")), query.get("prefix", "")
        end = STEADY() + min(int(query.get("wait_ms", "0")), 30000) / 1000
        while True:
            self.forget()
            if after < self.discarded:
                return 410, {}
            events = [event for _, revision, event in self.events
                      if revision > after and event["key"].startswith(prefix)]
            left = end - STEADY()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            self.lock.wait(left)


class Server:
    """A server of a service: holds flows, runs the requests on them, and reports to the store."""

    def __init__(self, deployment, name, service, zone, machine):
        self.deployment, self.name, self.service, self.zone = deployment, name, service, zone
        self.machine = machine
        self.born, self.sequence, self.state = int(time.time() * 1000), 0, "ready"
        self.flows, self.runs, self.openings = {}, 0, []
        self.ended, self.resets = set(), []
        self.stopped = threading.Event()
        self.socket = deployment.udp(machine, deployment.app_port)
        self.threads = [threading.Thread(target=target, daemon=True)
                        for target in (self.serve, self.beat)]

    def start(self):
        for thread in self.threads:
            thread.start()

    def report(self):
        self.sequence += 1
        entry = {"service": self.service, "address": f"{self.machine}:{self.deployment.app_port}",
                 "zone": self.zone, "version": "v1", "slots": 2, "state": self.state,
                 "warmup_left_ms": 0, "sequence": self.sequence, "born": self.born}
        self.deployment.store.put("servers/" + self.name, json.dumps(entry).encode())

    def beat(self):
        while not self.stopped.is_set():
            self.report()
            self.stopped.wait(self.deployment.heartbeat_s)

    def stop(self):
        self.stopped.set()
        self.socket.close()

    def send(self, packet):
        self.socket.sendto(packet.encode(), (self.machine, self.deployment.outbound_port))

    def serve(self):
        while not self.stopped.is_set():
            try:
                raw, _ = self.socket.recvfrom(4096)
            except socket.timeout:
                continue
            except OSError:
                return
            packet = Packet.decode(raw)
            if packet is not None:
                self.receive(packet)

    def bounce(self, packet):
        self.send(Packet(packet.flags | BOUNCED, packet.src, packet.sport, packet.dst, packet.dport,
                         packet.seq, packet.ack, packet.data, b"\0\0\0", packet.echo, packet.sum))

    def reply(self, packet, flags, seq, ack, data=b""):
        self.send(Packet(flags, packet.dst, packet.dport, packet.src, packet.sport, seq, ack, data))

    def receive(self, packet):
        if packet.sum != packet.expected_sum():
            self.deployment.record.line(f"server {self.name}: UNASKED packet that was changed")
            self.deployment.broken.append("UNASKED")
            return
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if flow is None or flow["client"] != packet.seq:
                flow = {"client": packet.seq, "seq": random.getrandbits(32), "open": False,
                        "next": (packet.seq + 1) & 0xffffffff, "answer": None}
                self.flows[key] = flow
                self.ended.discard(key)
                self.openings.append((STEADY(), key))
                self.deployment.record.line(
                    f"server {self.name}: takes opening packet of {key[0]}:{key[1]} to "
                    f"{key[2]}:{key[3]}")
            self.reply(packet, SYN | ACK, flow["seq"], flow["next"])
            return
        if flow is None and key in self.ended:
            self.answer_on_ended(packet, key)
            return
        if flow is None or (not flow["open"]
                            and packet.ack != (flow["seq"] + 1) & 0xffffffff):
            self.bounce(packet)
            return
        flow["open"] = True
        if packet.data and packet.seq == flow["next"]:
            flow["next"] = (packet.seq + len(packet.data)) & 0xffffffff
            flow["answer"] = b"200 " + self.name.encode() + b" " + packet.data[:60]
            self.runs += 1
            self.deployment.record.line(f"server {self.name}: runs {packet.data[:60].decode()}")
        if packet.data and flow["answer"] is not None:
            # "Connection: close": the server ends the flow with its answer.
            flow["closing"] = packet.data.startswith(self.deployment.closed_requests)
            self.reply(packet, ACK | (FIN if flow["closing"] else 0), flow["seq"] + 1, flow["next"],
                       flow["answer"])
        if packet.flags & FIN:
            end = flow["seq"] + 1 + len(flow["answer"] or b"")
            if flow.get("closing"):
                self.reply(packet, ACK, end + 1, packet.seq + 1)
            else:
                self.reply(packet, ACK | FIN, end, packet.seq + 1)
            self.flows.pop(key, None)
            self.ended.add(key)

    def answer_on_ended(self, packet, key):
        """PROTOCOL.md: on a flow that has ended, a FIN is answered with an ACK, data with an RST."""
        if packet.data:
            self.resets.append((STEADY(), key))
            self.deployment.record.line(f"server {self.name}: resets {key[0]}:{key[1]}, data on a "
                                        "flow that has ended")
            self.reply(packet, RST, packet.ack, 0)
        elif packet.flags & FIN:
            self.reply(packet, ACK, packet.ack, packet.seq + 1)


class Clients:
    """Clients at one address. Each request opens a flow from a port of its own."""

    def __init__(self, deployment, address):
        self.deployment, self.address = deployment, address
        self.socket = deployment.udp(address, deployment.packet_port)
        self.waiting, self.lock = {}, threading.Lock()
        self.port, self.number = 20000, 0
        threading.Thread(target=self.serve, daemon=True).start()

    def serve(self):
        while not self.deployment.ended:
            try:
                raw, _ = self.socket.recvfrom(4096)
            except socket.timeout:
                continue
            except OSError:
                return
            packet = Packet.decode(raw)
            if packet is None:
                continue
            with self.lock:
                state = self.waiting.get((packet.dport, packet.src, packet.sport))
            if state is not None:
                state["inbox"].append(packet)
                state["event"].set()

    def request(self, host, port, label, deadline_s=3.0):
        """Sends a request in a thread of its own; the outcome is in the returned dictionary."""
        with self.lock:
            self.port = 20000 + (self.port - 19999) % 40000
            self.number += 1
            state = {"port": self.port, "host": host, "to": port, "inbox": [],
                     "event": threading.Event(), "sent": STEADY(), "outcome": None,
                     "id": f"{label}-{self.number}"}
            self.waiting[(self.port, host, port)] = state
        threading.Thread(target=self.run, args=(state, deadline_s), daemon=True).start()
        return state

    def send(self, state, flags, seq, ack, data=b""):
        packet = Packet(flags, self.address, state["port"], state["host"], state["to"], seq, ack,
                        data)
        target = self.deployment.router.choose(packet)
        if target is not None:
            self.socket.sendto(packet.encode(), (target, self.deployment.packet_port))

    def receive(self, state, until):
        while True:
            if state["inbox"]:
                return state["inbox"].pop(0)
            state["event"].clear()
            if state["inbox"]:
                continue
            left = until - STEADY()
            if left <= 0 or not state["event"].wait(left):
                if not state["inbox"]:
                    return None

    def run(self, state, deadline_s):
        record, begin = self.deployment.record, state["sent"]
        first = random.getrandbits(32)
        record.line(f"client {self.address}:{state['port']}: sends {state['id']} to "
                    f"{state['host']}:{state['to']}")
        answer = None
        for copy, until in ((0, 0.2), (1, 0.6), (2, 1.4)):
            self.send(state, SYN, first, copy)
            answer = self.receive(state, begin + until)
            if answer is not None:
                break
        if answer is None or answer.flags & RST:
            self.end(state, "reset" if answer else "no answer to its opening packets")
            return
        seq, ack = first + 1, answer.seq + 1
        data = state["id"].encode()
        wait = 0.2
        while True:
            self.send(state, ACK, seq, ack, data)
            until = min(STEADY() + wait, begin + deadline_s)
            answer = self.receive(state, until)
            while answer is not None and answer.flags & SYN:
                answer = self.receive(state, until)
            if answer is not None:
                break
            if STEADY() >= begin + deadline_s:
                self.end(state, "no answer until its deadline")
                return
            wait = min(wait * 2, 1.6)
        if answer.flags & RST:
            self.end(state, "reset after it had opened its flow")
            return
        self.end(state, answer.data.decode())
        self.send(state, ACK | FIN, seq + len(data), ack + len(answer.data))

    def flow(self, port, host, to):
        """A flow that the caller opens, uses and closes."""
        state = {"port": port, "host": host, "to": to, "inbox": [], "event": threading.Event()}
        with self.lock:
            self.waiting[(port, host, to)] = state
        return state

    def open(self, state):
        """Returns whether the flow is open."""
        first, begin = random.getrandbits(32), STEADY()
        for copy, until in ((0, 0.2), (1, 0.6), (2, 1.4)):
            self.send(state, SYN, first, copy)
            answer = self.receive(state, begin + until)
            if answer is not None and answer.flags & SYN:
                state["seq"], state["ack"] = first + 1, answer.seq + 1
                self.send(state, ACK, state["seq"], state["ack"])
                return True
        return False

    def ask(self, state, text, deadline_s=1.5):
        """Sends a request on an open flow; returns the packet that answers it, or None."""
        data, wait, begin = text.encode(), 0.2, STEADY()
        while STEADY() < begin + deadline_s:
            self.send(state, ACK, state["seq"], state["ack"], data)
            answer = self.receive(state, min(STEADY() + wait, begin + deadline_s))
            while answer is not None and not answer.data and not answer.flags & RST:
                answer = self.receive(state, min(STEADY() + wait, begin + deadline_s))
            if answer is not None:
                if answer.data:
                    state["finished"] = bool(answer.flags & FIN)
                    state["seq"] += len(data)
                    state["ack"] += len(answer.data) + (1 if state["finished"] else 0)
                    self.send(state, ACK, state["seq"], state["ack"])
                return answer
            wait = min(wait * 2, 1.6)
        return None

    def close(self, state):
        """Ends the flow from both sides; returns whether the server has acknowledged the end."""
        closed = False
        for _ in range(4):
            self.send(state, ACK | FIN, state["seq"], state["ack"])
            answer = self.receive(state, STEADY() + 0.2)
            closed = answer is not None and answer.ack == (state["seq"] + 1) & 0xffffffff
            if closed and not state.get("finished"):
                self.send(state, ACK, state["seq"] + 1, state["ack"] + 1)
            if closed:
                break
        with self.lock:
            self.waiting.pop((state["port"], state["host"], state["to"]), None)
        return closed

    def end(self, state, outcome):
        state["outcome"] = outcome
        state["ended"] = STEADY()
        self.deployment.record.line(
            f"client {self.address}:{state['port']}: {state['id']}: {outcome}")
        with self.lock:
            self.waiting.pop((state["port"], state["host"], state["to"]), None)


class Router:
    """Checks the readiness of the entry instances and spreads packets by a hash over them."""

    def __init__(self, deployment):
        self.deployment, self.misses = deployment, {}
        self.rotation = []
        threading.Thread(target=self.check, daemon=True).start()

    def check(self):
        while not self.deployment.ended:
            for machine in list(self.deployment.entries):
                good = self.deployment.ready(machine)
                self.misses[machine] = 0 if good else self.misses.get(machine, 2) + 1
            self.rotation = [machine for machine in self.deployment.entries
                             if self.misses.get(machine, 2) < 2]
            time.sleep(0.5)

    def choose(self, packet):
        machines = self.rotation or self.deployment.entries
        value = zlib.crc32(f"{packet.src}{packet.sport}{packet.dst}{packet.dport}".encode())
        return machines[value % len(machines)] if machines else None


class Deployment:
    def __init__(self, record_path, history_s=20, heartbeat_s=1.2, extra_entry=None,
                 extra_agent=None):
        self.record = Record(record_path)
        self.heartbeat_s, self.broken, self.ended = heartbeat_s, [], False
        self.extra_entry, self.extra_agent = extra_entry or {}, extra_agent or {}
        self.net = f"127.{random.randrange(16, 250)}"
        self.folder = tempfile.mkdtemp(prefix="oriolehold-review-")
        ports = random.sample(range(21000, 31000, 10), 1)[0]
        (self.packet_port, self.app_port, self.outbound_port, self.ready_port, self.peer_port,
         self.metrics_port, self.store_port) = range(ports, ports + 7)
        self.store_address = f"{self.net}.200.7"
        self.store = Store(self.store_address, self.store_port, history_s, self.record)
        self.entries, self.servers, self.processes, self.commands = [], [], {}, {}
        self.router = Router(self)
        self.closed_requests = b"close "  # requests with which the server ends the flow

    def udp(self, address, port):
        result = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        result.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 22)
        result.bind((address, port))
        result.settimeout(0.5)
        return result

    def settings(self, name, zone, machine):
        return {"instance": name, "zone": zone, "packets": f"{machine}:{self.packet_port}",
                "peer_port": self.peer_port, "admin": f"{machine}:{self.ready_port}",
                "metrics": f"{machine}:{self.metrics_port}", "ready_path": "/-/ready",
                "drain_limit_s": 5,
                "log": {"level": "info", "format": "json", "output": "stdout"}}

    def start(self, program, name, settings):
        path = os.path.join(self.folder, name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        log = open(os.path.join(self.folder, name + ".log"), "ab")
        self.commands[name] = [os.path.join(ROOT, "target/bin", program), "flows", "--config", path]
        process = subprocess.Popen(self.commands[name], stdout=log, stderr=log,
                                   stdin=subprocess.DEVNULL, cwd=ROOT)
        log.close()
        self.processes[name] = process
        self.record.line(f"started {name}, process {process.pid}")
        return process

    def add_entry(self, name, zone, number):
        machine = f"{self.net}.1.{number}"
        seeds = [f"{self.net}.1.{i}:{self.ready_port}" for i in (1, 2, 3)]
        self.start("oriolehold-entry", name,
                   dict(self.settings(name, zone, machine), seeds=seeds, first_use_delay_ms=700,
                        store=f"{self.store_address}:{self.store_port}", **self.extra_entry))
        if machine not in self.entries:
            self.entries.append(machine)
        return machine

    def add_server(self, name, service, zone, number):
        machine = f"{self.net}.2.{number}"
        server = Server(self, name, service, zone, machine)
        self.start("oriolehold-agent", "agent-" + name,
                   dict(self.settings("side-" + name, zone, machine), service=service,
                        upstream=f"{machine}:{self.app_port}",
                        upstream_packets=f"{machine}:{self.outbound_port}", **self.extra_agent))
        server.start()
        self.servers.append(server)
        return server

    def clients(self, address):
        return Clients(self, address)

    def ready(self, machine):
        try:
            connection = http.client.HTTPConnection(machine, self.ready_port, timeout=0.4)
            connection.request("GET", "/-/ready")
            status = connection.getresponse().status
            connection.close()
            return status == 200
        except (OSError, http.client.HTTPException):
            return False

    def wait_ready(self, limit_s=10):
        end = STEADY() + limit_s
        while STEADY() < end:
            if self.entries and all(self.misses_none(machine) for machine in self.entries):
                return True
            time.sleep(0.1)
        return False

    def misses_none(self, machine):
        return machine in self.router.rotation

    def restart(self, name, wait_s=5.0):
        """SIGTERM, and a new start as soon as the process has ended."""
        process = self.processes[name]
        process.send_signal(signal.SIGTERM)
        process.wait(wait_s)
        arguments = self.commands[name]
        log = open(os.path.join(self.folder, name + ".log"), "ab")
        self.processes[name] = subprocess.Popen(arguments, stdout=log, stderr=log,
                                                stdin=subprocess.DEVNULL, cwd=ROOT)
        log.close()
        self.record.line(f"stopped {name} and started it again")

    def log_lines(self, name, word):
        with open(os.path.join(self.folder, name + ".log"), encoding="utf-8",
                  errors="replace") as file:
            return [line.strip() for line in file if word in line]

    def end(self):
        self.ended = True
        for server in self.servers:
            server.stop()
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        self.store.server.shutdown()
        shutil.rmtree(self.folder, ignore_errors=True)


def route(name, host, port, service, timeout_ms=1500, kind="idempotent"):
    return {"name": name, "host": host, "prefix": f"/{port}/", "type": kind,
            "timeout_ms": timeout_ms, "target_latency_ms": 100, "priority": 2, "service": service,
            "max_attempts": 2}


def configuration(version, routes, services, idle_timeout_ms=15000):
    return json.dumps(
        {"version": version, "routes": routes,
         "services": [{"name": name, "health_path": "/health", "max_connections": 2000,
                       "protocol": "h1", "tls": False} for name in services],
         "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                    "header_timeout_ms": 3000, "idle_timeout_ms": idle_timeout_ms}},
        separators=(",", ":")).encode()
