"""Stand-ins for the platform, its backends and its clients, and the processes under test.

Everything runs on loopback addresses: each machine has an address of its own, and the ports are the
same on all machines. The addresses of routes, 127.10 and 127.11, only stand in packets. Only the standard library is used.
"""

import base64
import http.server
import json
import os
import random
import re
import signal
import socket
import socketserver
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.parse
import zlib

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
ENTRY, AGENT = "oriolehold-entry", "oriolehold-agent"  # roles of the deploy file
SETTINGS = "/etc/oriolehold/settings.toml"  # where the deploy file expects the settings

SYN, FIN, BOUNCED, RST, ACK = 1, 2, 8, 16, 32
HEADER = 34
MAX_DATA = 1200
KEY = b"stand-in"

# Bounds of the small deployments, in seconds.
DRAIN_S = 3.0
CONFIG_APPLY_S = 3.0
HEARTBEAT_S = 1.2

VALUE_BYTES = 1_048_576  # value_bytes of the store


class CannotRun(Exception):
    """The case could not be set up; it says nothing of the rule."""


# --- packets -----------------------------------------------------------------------------------


def ip_bytes(address):
    return socket.inet_aton(address)


def make_packet(flags, source, destination, seq=0, ack=0, data=b""):
    head = bytearray(HEADER)
    struct.pack_into(">BxxxH4s4sHIIIHI", head, 0, flags, source[1], ip_bytes(destination[0]),
                     ip_bytes(source[0]), destination[1], seq & 0xFFFFFFFF, ack & 0xFFFFFFFF, 0,
                     len(data), 0)
    packet = bytearray(bytes(head) + data)
    struct.pack_into(">I", packet, 30, checksum(packet))
    return bytes(packet)


def checksum(packet):
    """Keyed sum over all fields except echo, pad and BOUNCED."""
    return zlib.crc32(KEY + bytes([packet[0] & ~BOUNCED & 0xFF]) + bytes(packet[4:24])
                      + bytes(packet[28:30]) + bytes(packet[HEADER:])) or 1


class Packet:
    def __init__(self, raw):
        if len(raw) < HEADER:
            raise ValueError("short packet")
        (self.flags, sport, destination, source, dport, self.seq, self.ack, self.echo, self.length,
         self.sum) = struct.unpack_from(">BxxxH4s4sHIIIHI", raw, 0)
        self.source = (socket.inet_ntoa(source), sport)
        self.destination = (socket.inet_ntoa(destination), dport)
        self.data = raw[HEADER:]
        self.raw = raw
        if self.length != len(self.data):
            raise ValueError("wrong length")

    def valid(self):
        return self.sum == checksum(self.raw)

    def system_reset(self):
        return self.flags & RST and self.sum == 0 and not self.data


# --- record ------------------------------------------------------------------------------------


class Record:
    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.start:9.4f} {text}\n")
            self.file.flush()


# --- the platform's store ----------------------------------------------------------------------


class Store:
    """The platform's metadata store. It listens on one address for each machine that reads it, so
    that a machine can be turned away alone."""

    PAGE_ITEMS = 500
    PAGE_BYTES = 1_000_000

    def __init__(self, record, first_revision=100):
        self.record = record
        self.lock = threading.Lock()
        self.items = {}  # key: (value, revision, created)
        self.events = []  # (revision, key, value or None)
        self.revision = first_revision
        self.refused = {}  # server address: "busy", "silent" or "reset"
        self.servers = []
        self.on_read = None  # called with (server address, path) before a read is answered

    def put(self, key, value):
        if not isinstance(value, bytes):
            value = json.dumps(value, separators=(",", ":")).encode()
        with self.lock:
            self.revision += 1
            created = self.items[key][2] if key in self.items else self.revision
            self.items[key] = (value, self.revision, created)
            self.events.append((self.revision, key, value))
            return self.revision

    def remove(self, key):
        with self.lock:
            if key not in self.items:
                return
            del self.items[key]
            self.revision += 1
            self.events.append((self.revision, key, None))

    def item_json(self, key):
        value, revision, created = self.items[key]
        return {"key": key, "value": base64.b64encode(value).decode(), "revision": revision,
                "created": created, "lease": 0}

    def read(self, path, query):
        """Returns the status and the body of a reading call."""
        with self.lock:
            if path == "/-/kv-key":
                key = query.get("key", "")
                if key not in self.items:
                    return 404, {"store_revision": self.revision}
                return 200, dict(self.item_json(key), store_revision=self.revision)
            if path == "/-/kv-range":
                keys = sorted(k for k in self.items if k.startswith(query.get("prefix", ""))
                              and k > query.get("after", ""))
                items, size = [], 0
                for key in keys:
                    if items and (len(items) == self.PAGE_ITEMS or size > self.PAGE_BYTES):
                        break
                    items.append(self.item_json(key))
                    size += len(items[-1]["value"])
                return 200, {"items": items, "truncated": len(items) < len(keys),
                             "store_revision": self.revision}
        if path == "/-/kv-watch":
            return self.watch(query)
        return 404, {}

    def watch(self, query):
        prefix, after = query.get("prefix", ""), int(query.get("after", "0"))
        end = time.monotonic() + min(int(query.get("wait_ms", "0")), 30_000) / 1000
        while True:
            with self.lock:
                latest = {}
                for revision, key, value in self.events:
                    if revision > after and key.startswith(prefix):
                        latest[key] = (revision, value)
                events = []
                for key, (revision, value) in sorted(latest.items(), key=lambda i: i[1][0]):
                    if value is None:
                        events.append({"key": key, "revision": revision, "removed": True})
                    else:
                        events.append({"key": key, "value": base64.b64encode(value).decode(),
                                       "revision": revision, "created": revision, "lease": 0})
                body = {"events": events, "store_revision": self.revision}
            if events or time.monotonic() >= end:
                return 200, body
            time.sleep(0.001)

    def serve(self, address):
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self):
                parts = urllib.parse.urlsplit(self.path)
                query = dict(urllib.parse.parse_qsl(parts.query))
                how = store.refused.get(address)
                if how == "silent":
                    time.sleep(30)
                    return
                if how == "reset":
                    self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                               struct.pack("ii", 1, 0))
                    self.connection.close()
                    self.close_connection = True
                    return
                if how == "busy":
                    status, body = 503, {}
                else:
                    if store.on_read:
                        store.on_read(address, parts.path, query)
                    status, body = store.read(parts.path, query)
                data = json.dumps(body).encode()
                try:
                    self.send_response(status)
                    self.send_header("Content-Type", "application/json")
                    self.send_header("Content-Length", str(len(data)))
                    self.end_headers()
                    self.wfile.write(data)
                except OSError:
                    pass

            def log_message(self, *_):
                pass

        class Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
            daemon_threads = True
            allow_reuse_address = True

            def handle_error(self, *_):
                pass

        server = Server(address, Handler)
        self.servers.append(server)
        threading.Thread(target=server.serve_forever, daemon=True).start()


# --- backends ----------------------------------------------------------------------------------


class Backend:
    """A backend beside an agent. It runs the requests of its flows and registers in the store."""

    def __init__(self, fleet, name, service, address, work_s=0.005, slots=2):
        self.fleet, self.name, self.service, self.address = fleet, name, service, address
        self.work_s, self.slots = work_s, slots
        self.app = (address, fleet.app_port)
        self.born = int(time.time() * 1000)
        self.state, self.sequence = "ready", 0
        self.flows = {}
        self.ended = {}
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind(self.app)
        self.socket.settimeout(0.05)
        self.running = True
        self.registered = False
        threading.Thread(target=self.receive, daemon=True).start()

    def entry(self):
        return {"service": self.service, "address": f"{self.address}:{self.fleet.app_port}",
                "zone": "zone-a", "version": "v1", "slots": self.slots, "state": self.state,
                "warmup_left_ms": 0, "sequence": self.sequence, "born": self.born}

    def register(self):
        """Writes the entry, and again at each heartbeat."""
        self.registered = True
        self.beat()
        threading.Thread(target=self.beats, daemon=True).start()

    def beat(self):
        self.sequence += 1
        self.fleet.store.put("servers/" + self.name, self.entry())

    def beats(self):
        while self.running and self.registered:
            time.sleep(HEARTBEAT_S)
            if self.running and self.registered:
                self.beat()

    def drain(self):
        self.state = "draining"
        self.beat()
        self.fleet.record(f"store acknowledges that {self.name} is draining")

    def leave(self):
        """Ends after a drain; the entry goes with the backend."""
        self.stop()
        self.registered = False
        self.fleet.store.remove("servers/" + self.name)
        self.fleet.record(f"backend {self.name} has left")

    def crash(self):
        """Ends without a word; the entry lapses after three heartbeat intervals."""
        self.stop()
        self.registered = False
        self.fleet.record(f"backend {self.name} has crashed")

        def lapse():
            time.sleep(3 * HEARTBEAT_S)
            self.fleet.store.remove("servers/" + self.name)
        threading.Thread(target=lapse, daemon=True).start()

    def stop(self):
        self.running = False
        time.sleep(0.06)
        self.socket.close()

    def send(self, raw):
        try:
            self.socket.sendto(raw, (self.address, self.fleet.outbound_port))
        except OSError:
            pass

    def bounce(self, packet):
        raw = bytearray(packet.raw)
        raw[0] |= BOUNCED
        raw[1:4] = bytes(3)
        self.send(bytes(raw))

    def receive(self):
        while self.running:
            try:
                raw, _ = self.socket.recvfrom(4096)
            except socket.timeout:
                continue
            except OSError:
                return
            try:
                packet = Packet(raw)
            except ValueError:
                self.fleet.forged(f"backend {self.name} got a malformed packet")
                continue
            if not packet.valid():
                self.fleet.forged(f"backend {self.name} got a packet that its sender did not write")
                continue
            self.handle(packet)

    def handle(self, packet):
        key = (packet.source, packet.destination)
        self.fleet.packet_reached(self, packet)
        if packet.flags & SYN:
            flow = self.flows.get(key)
            if flow is None or flow["client_isn"] != packet.seq:
                self.ended.pop(key, None)
                flow = {"client_isn": packet.seq, "isn": random.getrandbits(32), "open": False,
                        "received": (packet.seq + 1) & 0xFFFFFFFF, "buffer": b"", "fin": False,
                        "syn_at": time.monotonic(), "sent": 0, "finished": False}
                self.flows[key] = flow
                self.fleet.syn_taken(self, packet)
            self.send(make_packet(SYN | ACK, packet.destination, packet.source, flow["isn"],
                                  flow["received"]))
            return
        flow = self.flows.get(key)
        if flow is not None and not flow["open"]:
            if packet.flags & ACK and packet.ack == (flow["isn"] + 1) & 0xFFFFFFFF:
                flow["open"] = True
                self.fleet.flow_opened(self, key)
            else:
                flow = None
        if flow is None:
            if key in self.ended:
                flags = RST if packet.data else ACK
                if packet.data or packet.flags & FIN:
                    self.send(make_packet(flags, packet.destination, packet.source, packet.ack,
                                          packet.seq + len(packet.data) + 1))
                return
            self.bounce(packet)
            return
        if packet.flags & RST:
            del self.flows[key]
            return
        if packet.data and packet.seq == flow["received"]:
            flow["received"] = (packet.seq + len(packet.data)) & 0xFFFFFFFF
            flow["buffer"] += packet.data
        if packet.data:
            self.send(make_packet(ACK, packet.destination, packet.source,
                                  flow["isn"] + 1 + flow["sent"], flow["received"]))
        if packet.flags & FIN and (packet.seq + len(packet.data)) & 0xFFFFFFFF == flow["received"]:
            self.send(make_packet(FIN | ACK, packet.destination, packet.source,
                                  flow["isn"] + 1 + flow["sent"], flow["received"] + 1))
            self.ended[key] = True
            del self.flows[key]
            return
        while b"\r\n\r\n" in flow["buffer"]:
            head, flow["buffer"] = flow["buffer"].split(b"\r\n\r\n", 1)
            self.run(key, packet, flow, head)

    def run(self, key, packet, flow, head):
        lines = head.decode().split("\r\n")
        fields = dict(line.split(": ", 1) for line in lines[1:])
        request = fields.get("X-Request-Id", "")
        self.fleet.request_run(self, request, packet)

        def answer():
            body = f"{request} run by {self.name} of {self.service}\n".encode()
            data = (f"HTTP/1.1 200 OK\r\nX-Server-Stamp: {self.name}\r\nX-Request-Id: {request}\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n").encode() + body
            self.send(make_packet(ACK, packet.destination, packet.source,
                                  flow["isn"] + 1 + flow["sent"], flow["received"], data))
            flow["sent"] += len(data)
        timer = threading.Timer(self.work_s, answer)
        timer.daemon = True
        timer.start()


# --- clients -----------------------------------------------------------------------------------


class Flow:
    """One flow of a client. The answers are collected by the receiving thread."""

    def __init__(self, client, port, service):
        self.client, self.local, self.service = client, (client.address, port), service
        self.isn = random.getrandbits(32)
        self.sent = 0
        self.peer_isn = None
        self.received = b""
        self.expected = None
        self.acknowledged = 0
        self.opened = threading.Event()
        self.changed = threading.Condition()
        self.reset = None  # "system" or "backend"
        self.opened_at = None

    def position(self):
        return (self.isn + 1 + self.sent) & 0xFFFFFFFF

    def packet(self, flags, seq, ack=0, data=b""):
        return make_packet(flags, self.local, self.service, seq, ack, data)

    def open(self):
        """Opens the flow as PROTOCOL.md says; returns whether it is open."""
        fleet = self.client.fleet
        begin = time.monotonic()
        for copy, at in enumerate((0.0, 0.2, 0.6)):
            self.wait(begin + at)
            if self.opened.is_set() or self.reset:
                break
            fleet.route(self.packet(SYN, self.isn, copy))
        self.wait(begin + 1.4)
        return self.opened.is_set() and not self.reset

    def wait(self, until):
        with self.changed:
            while not self.opened.is_set() and not self.reset:
                left = until - time.monotonic()
                if left <= 0:
                    return
                self.changed.wait(left)

    def request(self, name, deadline=2.0):
        """Sends a request on the open flow. Returns the body of the answer, "reset" or None."""
        fleet = self.client.fleet
        data = f"GET / HTTP/1.1\r\nHost: x\r\nX-Request-Id: {name}\r\n\r\n".encode()
        seq = self.position()
        self.sent += len(data)
        fleet.record(f"client sends request {name} on {self.local[0]}:{self.local[1]} to "
                     f"{self.service[0]}:{self.service[1]}")
        end = time.monotonic() + deadline
        pause, mark = 0.2, len(self.received)
        next_send = time.monotonic()
        while time.monotonic() < end:
            if time.monotonic() >= next_send and self.acknowledged < self.sent:
                fleet.route(self.packet(ACK, seq, self.expected, data))
                next_send = time.monotonic() + pause
                pause = min(pause * 2, 1.6)
            with self.changed:
                if self.reset:
                    break
                if b"\r\n\r\n" in self.received[mark:] and self.received.endswith(b"\n"):
                    body = self.received[mark:].split(b"\r\n\r\n", 1)[1].decode().strip()
                    fleet.record(f"client gets the answer: {body}")
                    return body
                self.changed.wait(0.02)
        fleet.record(f"request {name}: " + ("reset by the " + self.reset if self.reset
                                           else "no answer"))
        return "reset" if self.reset else None

    def close(self):
        self.client.fleet.route(self.packet(FIN | ACK, self.position(), self.expected or 0))
        self.sent += 1

    def receive(self, packet):
        fleet = self.client.fleet
        with self.changed:
            if packet.system_reset() or packet.flags & RST:
                near = (packet.seq - (self.expected or 0) + 76_800) & 0xFFFFFFFF <= 153_600
                if self.opened.is_set() and not near:
                    return
                self.reset = "system" if packet.system_reset() else "backend"
                fleet.record(f"client {self.local[0]}:{self.local[1]} gets a reset by the "
                             f"{self.reset}" + (" on an open flow" if self.opened.is_set() else ""))
            elif packet.flags & SYN:
                if self.peer_isn is None:
                    self.peer_isn = packet.seq
                    self.expected = (packet.seq + 1) & 0xFFFFFFFF
                    self.opened_at = time.monotonic()
                    self.opened.set()
                    fleet.route(self.packet(ACK, self.position(), self.expected))
            elif self.expected is not None:
                self.acknowledged = max(self.acknowledged,
                                        (packet.ack - self.isn - 1) & 0x7FFFFFFF
                                        if packet.flags & ACK else 0)
                if packet.data and packet.seq == self.expected:
                    self.received += packet.data
                    self.expected = (self.expected + len(packet.data)) & 0xFFFFFFFF
                if packet.data:
                    fleet.route(self.packet(ACK, self.position(), self.expected))
            self.changed.notify_all()


class Client:
    def __init__(self, fleet, address):
        self.fleet, self.address = fleet, address
        self.flows = {}
        self.next_port = random.randrange(20_000, 40_000)
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((address, fleet.packet_port))
        threading.Thread(target=self.receive, daemon=True).start()

    def flow(self, service, port=None):
        if port is None:
            self.next_port += 1
            port = self.next_port
        flow = Flow(self, port, service)
        self.flows[(port, service)] = flow
        return flow

    def receive(self):
        while True:
            try:
                raw, _ = self.socket.recvfrom(4096)
                packet = Packet(raw)
            except ValueError:
                self.fleet.forged(f"client {self.address} got a malformed packet")
                continue
            except OSError:
                return
            if not packet.valid() and not packet.system_reset():
                self.fleet.forged(f"client {self.address} got a packet that its sender did not "
                                  "write")
                continue
            if packet.destination[0] != self.address:
                self.fleet.foreign(self, packet)
                continue
            flow = self.flows.get((packet.destination[1], packet.source))
            if flow:
                flow.receive(packet)


# --- the processes under test ------------------------------------------------------------------


def render(template, fields):
    """Fills in a template of settings: values, and sections for values that are present."""

    def value(path):
        found = fields
        for name in path.split("."):
            if isinstance(found, list):
                found = found[int(name)]
            else:
                found = found.get(name) if isinstance(found, dict) else None
        return found

    text = re.sub(r"{{#([\w.]+)}}(.*?){{/\1}}",
                  lambda m: m[2] if value(m[1]) not in (None, False) else "", template)
    text = re.sub(r"{{([\w.]+)\|json}}", lambda m: json.dumps(value(m[1])), text)
    return re.sub(r"{{([\w.]+)}}", lambda m: str(value(m[1])), text)


def free_ports(count, address="127.0.0.1"):
    sockets = []
    for _ in range(count):
        item = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        item.bind((address, 0))
        sockets.append(item)
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


class MessageProxy:
    """Passes the messages between one entry instance and the agents, and drops a share of them.

    The instance has a message port of its own; the proxy holds that port on the machines of the
    agents, and the agents' port on the machine of the instance, so that each side sees the address
    of the other one."""

    def __init__(self, entry, entry_port, agent_port):
        self.entry, self.entry_port, self.agent_port = entry, entry_port, agent_port
        self.loss = 0.0
        self.agents = {}
        self.here = self.socket(entry, agent_port)
        threading.Thread(target=self.from_agents, daemon=True).start()

    @staticmethod
    def socket(address, port):
        result = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        result.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 << 20)
        result.bind((address, port))
        return result

    def add(self, agent):
        self.agents[agent] = self.socket(agent, self.entry_port)
        threading.Thread(target=self.from_entry, args=(agent,), daemon=True).start()

    def from_entry(self, agent):
        while True:
            data = self.agents[agent].recv(4096)
            if random.random() >= self.loss:
                self.here.sendto(data, (agent, self.agent_port))

    def from_agents(self):
        while True:
            data, (agent, _) = self.here.recvfrom(4096)
            if agent in self.agents and random.random() >= self.loss:
                self.agents[agent].sendto(data, (self.entry, self.entry_port))


class Fleet:
    """All machines of a small deployment."""

    def __init__(self, folder, name="record.txt"):
        self.folder = folder
        self.record = Record(os.path.join(folder, name))
        self.temporary = tempfile.TemporaryDirectory()
        # 127.N.x.x, so that cases may run side by side; the addresses of routes are below.
        self.network = random.randrange(16, 250)
        (self.packet_port, self.peer_port, self.app_port, self.outbound_port, self.admin_port,
         self.metrics_port, self.store_port, self.control_port) = free_ports(8)
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        self.store = Store(self.record)
        self.processes = {}
        self.entries = {}  # name: address
        self.ready = {}  # name: missed readiness checks
        self.rotation = []
        self.broken = []
        self.lock = threading.Lock()
        self.watched = None
        self.on_syn = None
        self.on_run = None
        self.on_packet = None
        self.stopped = False
        self.clients = []
        self.backends = []
        self.foreign_packets = []
        self.proxied = False  # whether entries that start get a proxy for their messages
        self.proxies = {}  # by the index of the entry

    # Loopback addresses.
    def address(self, group, index):
        return f"127.{self.network}.{group}.{index}"

    def entry_address(self, index):
        return self.address(1, index)

    def side_address(self, index):
        return self.address(2, index)

    def store_address(self, index):
        return (self.address(3, index), self.store_port)

    def client_address(self, index):
        return self.address(4, index)

    # Events that the rules look at.
    def forged(self, text):
        self.record("UNASKED or MIXED: " + text)
        self.broken.append(text)

    def foreign(self, client, packet):
        text = (f"client {client.address} got a packet from {packet.source[0]}:{packet.source[1]} "
                f"to {packet.destination[0]}:{packet.destination[1]}, echo {packet.echo:#x}, with "
                f"the data {packet.data!r}")
        self.record("MIXED: " + text)
        self.foreign_packets.append(text)

    def packet_reached(self, backend, packet):
        if self.on_packet:
            self.on_packet(backend, packet)

    def syn_taken(self, backend, packet):
        self.record(f"backend {backend.name} of {backend.service} takes the opening packet of "
                    f"{packet.source[0]}:{packet.source[1]} to "
                    f"{packet.destination[0]}:{packet.destination[1]}")
        if self.on_syn:
            self.on_syn(backend, packet)

    def flow_opened(self, backend, key):
        self.record(f"flow {key[0][0]}:{key[0][1]} is open at {backend.name}")

    def request_run(self, backend, request, packet):
        self.record(f"backend {backend.name} of {backend.service} runs {request}")
        if self.on_run:
            self.on_run(backend, request, packet)

    # Processes.
    def fields(self, name, address):
        """The fields of a process's settings, as DEPLOY.md lists them."""
        return {"node": name, "zone": "zone-a", "ip": address,
                "internal_ports": [self.peer_port, self.peer_port + 15],
                "listen": {"datagram_addr": f"{address}:{self.packet_port}",
                           "ready": f"{address}:{self.admin_port}",
                           "control": f"{address}:{self.control_port}"},
                "bounds": {"recovery_s": 12}}

    def entry_fields(self, index, seeds):
        fields = self.fields(f"entry-{index}", self.entry_address(index))
        fields["platform"] = {"address": "%s:%d" % self.store_address(index)}
        fields["seeds"] = [f"{self.entry_address(i)}:{self.control_port}" for i in seeds]
        return fields

    def agent_fields(self, index, service):
        address = self.side_address(index)
        fields = self.fields(f"agent-{index}", address)
        fields["listen"]["outbound"] = f"{address}:{self.outbound_port}"
        fields.update(service=service, app=f"{address}:{self.app_port}")
        return fields

    def write_settings(self, name, role, fields):
        """Renders the template of the role."""
        with open(os.path.join(ROOT, self.roles[role]["template"]), encoding="utf-8") as file:
            text = file.read()
        # Two processes of this machine must not share a port; the template fixes that of metrics.
        text = text.replace(":9464", f":{self.metrics_port}")
        with open(self.settings_path(name) + ".new", "w", encoding="utf-8") as file:
            file.write(render(text, fields))
        os.replace(self.settings_path(name) + ".new", self.settings_path(name))

    def settings_path(self, name):
        return os.path.join(self.temporary.name, name + ".json")

    def spawn(self, name, role):
        command = [self.settings_path(name) if word == SETTINGS else word
                   for word in self.roles[role]["run"].split()]
        if not os.path.exists(os.path.join(ROOT, command[0])):
            raise CannotRun(command[0] + " is missing: build the deploy file first")
        log = open(os.path.join(self.temporary.name, name + ".log"), "ab")
        process = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=subprocess.STDOUT,
                                   stdin=subprocess.DEVNULL)
        log.close()
        self.processes[name] = process
        self.record(f"{name} is started")
        return process

    def start_entry(self, index, seeds=(1, 2, 3)):
        name = f"entry-{index}"
        if name not in self.entries:
            self.store.serve(self.store_address(index))
            fields = self.entry_fields(index, seeds)
            if self.proxied:
                fields["internal_ports"] = [self.peer_port + index, self.peer_port + 15]
                proxy = MessageProxy(self.entry_address(index), self.peer_port + index,
                                     self.peer_port)
                for agent in {backend.address for backend in self.backends}:
                    proxy.add(agent)
                self.proxies[index] = proxy
            self.write_settings(name, ENTRY, fields)
        self.entries[name] = self.entry_address(index)
        self.ready[name] = 99
        return self.spawn(name, ENTRY)

    def start_agent(self, index, service):
        name = f"agent-{index}"
        self.write_settings(name, AGENT, self.agent_fields(index, service))
        return self.spawn(name, AGENT)

    def backend(self, index, name, service, **options):
        """A backend with its agent, registered in the store."""
        self.start_agent(index, service)
        for proxy in self.proxies.values():
            if self.side_address(index) not in proxy.agents:
                proxy.add(self.side_address(index))
        backend = Backend(self, name, service, self.side_address(index), **options)
        self.backends.append(backend)
        backend.register()
        return backend

    def holder(self, flow):
        """The living backend that holds the open flow, or None."""
        for backend in self.backends:
            state = backend.flows.get((flow.local, flow.service))
            if backend.running and state and state["open"]:
                return backend
        return None

    def processor_time(self, name):
        """Seconds of processor time that the process has used."""
        with open(f"/proc/{self.processes[name].pid}/stat", encoding="ascii") as file:
            fields = file.read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def kill(self, name, number=signal.SIGKILL):
        self.processes[name].send_signal(number)
        self.record(f"{name} gets {signal.Signals(number).name}")

    def log_of(self, name):
        with open(os.path.join(self.temporary.name, name + ".log"), encoding="utf-8") as file:
            return file.read()

    # The routers: readiness checks twice a second, and a hash over the daemons in rotation.
    def start_router(self):
        threading.Thread(target=self.check_readiness, daemon=True).start()

    def is_ready(self, address):
        try:
            with socket.create_connection((address, self.admin_port), 0.4) as link:
                link.settimeout(0.4)
                link.sendall(b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                return b" 200 " in link.recv(256).split(b"\r\n", 1)[0]
        except OSError:
            return False

    def check_readiness(self):
        while not self.stopped:
            for name, address in list(self.entries.items()):
                self.ready[name] = 0 if self.is_ready(address) else self.ready.get(name, 99) + 1
            rotation = [name for name in self.entries if self.ready[name] < 2]
            if rotation != self.rotation:
                self.record("in rotation: " + " ".join(rotation))
            self.rotation = rotation
            time.sleep(0.5)

    def wait_ready(self, names, timeout=10.0):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if set(names) <= set(self.rotation):
                return
            time.sleep(0.05)
        raise CannotRun("not ready: " + " ".join(set(names) - set(self.rotation)))

    def choose(self, raw):
        """The daemon for a packet of a client."""
        names = sorted(self.rotation) or sorted(self.entries)
        return names[zlib.crc32(raw[4:16]) % len(names)]

    def route(self, raw):
        self.send_to(self.choose(raw), raw)

    def send_to(self, name, raw):
        """The router's packet for one daemon."""
        address = self.entries[name]
        with self.lock:
            if self.watched is None:
                self.watched = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                self.watched.bind((self.address(5, 1), 0))
            self.watched.sendto(raw, (address, self.packet_port))

    def client(self, index=1):
        client = Client(self, self.client_address(index))
        self.clients.append(client)
        return client

    def configure(self, version, routes, services, **limits):
        """routes: list of (host, port, service) or (host, port, split)."""
        document = {"version": version, "routes": [], "services": [], "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000, **limits}}
        for host, port, target in routes:
            route = {"name": f"r-{host}-{port}", "host": host, "prefix": f"/{port}/",
                     "type": "idempotent", "timeout_ms": 1500, "target_latency_ms": 100,
                     "priority": 2, "max_attempts": 2}
            if isinstance(target, str):
                route["service"] = target
            else:
                route["traffic_split"] = [{"service": s, "weight": w} for s, w in target]
            document["routes"].append(route)
        for service in services:
            document["services"].append({"name": service, "health_path": "/health",
                                         "max_connections": 2000, "protocol": "h1", "tls": False})
        if len(json.dumps(document, separators=(",", ":"))) > VALUE_BYTES:
            raise CannotRun("the configuration is larger than the store takes")
        self.store.put("op/config", document)
        self.record(f"store acknowledges version {version}: {len(routes)} routes, the last ones: "
                    + ", ".join(f"{h}:{p} to {t}" for h, p, t in routes[-3:]))

    def stop(self):
        self.stopped = True
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        for server in self.store.servers:
            server.shutdown()
        self.temporary.cleanup()


def main(case):
    """Runs a case: case(fleet, trouble) returns a text for each broken rule."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    fleet = None
    try:
        fleet = Fleet(os.environ.get("RECORD_FOLDER", folder))
        fleet.record("with the disruption" if trouble else "without the disruption")
        broken = case(fleet, trouble) + fleet.broken
        if fleet.foreign_packets:
            broken.append(f"MIXED: {len(fleet.foreign_packets)} packets that are not for the client; "
                          f"the first: {fleet.foreign_packets[0]}")
        for text in broken:
            fleet.record("BROKEN: " + text)
            print("BROKEN: " + text)
        if not broken:
            fleet.record("the rule held")
            print("the rule held")
        return 1 if broken else 0
    except (CannotRun, OSError) as error:
        print(f"cannot run: {error!r}")
        if fleet:
            fleet.record(f"cannot run: {error!r}")
        return 2
    finally:
        if fleet:
            fleet.stop()
