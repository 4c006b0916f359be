"""Stand-ins for the ends of flows and for the platform's routers, on one event loop."""

import hashlib
import heapq
import itertools
import os
import random
import selectors
import socket
import struct
import threading
import time
import urllib.request

SYN, FIN, BOUNCED, RST, ACK = 1, 2, 8, 16, 32
HEAD = struct.Struct(">B3sHIIHIIIHI")
SUM_KEY = os.urandom(16)
MAX_DATA = 1200
RESET_WINDOW = 76_800


def number(ip):
    return struct.unpack(">I", socket.inet_aton(ip))[0]


def text(value):
    return socket.inet_ntoa(struct.pack(">I", value))


class Packet:
    def __init__(self, src, sport, dst, dport, flags, seq=0, ack=0, data=b"", echo=0, pad=b"\0\0\0",
                 check=None):
        self.src, self.sport, self.dst, self.dport = src, sport, dst, dport
        self.flags, self.seq, self.ack, self.data = flags, seq & 0xFFFFFFFF, ack & 0xFFFFFFFF, data
        self.echo, self.pad, self.check = echo, pad, check

    @staticmethod
    def decode(raw):
        if len(raw) < HEAD.size:
            return None
        flags, pad, sport, dst, src, dport, seq, ack, echo, size, check = HEAD.unpack_from(raw)
        data = raw[HEAD.size:]
        if size != len(data):
            return None
        return Packet(src, sport, dst, dport, flags, seq, ack, data, echo, pad, check)

    def sum(self):
        head = struct.pack(">BHIIHIIH", self.flags & ~BOUNCED, self.sport, self.dst, self.src,
                           self.dport, self.seq, self.ack, len(self.data))
        digest = hashlib.blake2s(head + self.data, key=SUM_KEY, digest_size=4).digest()
        return struct.unpack(">I", digest)[0]

    def encode(self):
        return HEAD.pack(self.flags, self.pad, self.sport, self.dst, self.src, self.dport,
                         self.seq, self.ack, self.echo, len(self.data), self.sum()) + self.data

    def is_sound(self):
        return self.check == self.sum()

    def key(self):
        """The flow of a client's packet."""
        return self.src, self.sport, self.dst, self.dport


class Loop:
    """Sockets and timers on one thread."""

    def __init__(self):
        self._selector = selectors.DefaultSelector()
        self._timers = []
        self._order = itertools.count()

    def watch(self, sock, handler):
        sock.setblocking(False)
        self._selector.register(sock, selectors.EVENT_READ, handler)

    def unwatch(self, sock):
        self._selector.unregister(sock)

    def after(self, delay, handler):
        heapq.heappush(self._timers, (time.monotonic() + delay, next(self._order), handler))

    def run_until(self, end):
        while time.monotonic() < end:
            while self._timers and self._timers[0][0] <= time.monotonic():
                heapq.heappop(self._timers)[2]()
            due = min(end, self._timers[0][0] if self._timers else end)
            for key, _ in self._selector.select(max(0.0, min(due - time.monotonic(), 0.1))):
                for _ in range(64):
                    try:
                        raw, peer = key.fileobj.recvfrom(65536)
                    except (BlockingIOError, ConnectionError):
                        break
                    key.data(raw, peer)


def udp_socket(ip, port):
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
    sock.bind((ip, port))
    return sock


class Router:
    """Forwards the packets of clients to the entry instances that are in rotation, by mod hash."""

    def __init__(self, ip, port, entries, ready_port):
        self._sock = udp_socket(ip, 0)
        self._port = port
        self._ready_port = ready_port
        self._misses = {}
        self._stopped = False
        for entry in entries:
            self.add(entry)

    def add(self, entry):
        self._misses[entry] = 2
        threading.Thread(target=self._check, args=(entry,), daemon=True).start()

    def close(self):
        self._stopped = True
        self._sock.close()

    def in_rotation(self):
        ready = [entry for entry, misses in self._misses.items() if misses < 2]
        # With fewer than half of a zone in rotation all of its instances are used.
        return ready if 2 * len(ready) >= len(self._misses) else list(self._misses)

    def all_ready(self):
        return all(misses == 0 for misses in self._misses.values())

    def _check(self, entry):
        url = f"http://{entry}:{self._ready_port}/-/ready"
        opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
        while not self._stopped:
            begin = time.monotonic()
            try:
                with opener.open(url, timeout=0.45) as response:
                    ok = response.status == 200
            except OSError:
                ok = False
            self._misses[entry] = 0 if ok else self._misses[entry] + 1
            time.sleep(max(0.0, 0.5 - (time.monotonic() - begin)))

    def forward(self, packet):
        entries = self.in_rotation()
        digest = hashlib.blake2s(repr(packet.key()).encode(), digest_size=4).digest()
        entry = entries[struct.unpack(">I", digest)[0] % len(entries)]
        self._sock.sendto(packet.encode(), (entry, self._port))
        return entry


class Backend:
    """Serves requests on flows, SLOTS at a time; the others wait."""

    SLOTS = 2
    WORK_S = (0.005, 0.03)  # of a request

    class Flow:
        def __init__(self, iss, expected):
            self.iss, self.expected = iss, expected
            self.sent = iss + 1  # next sequence number
            self.opened = self.finished = self.peer_finished = False
            self.unacknowledged = []  # (end, packet arguments)
            self.request = b""

        def ended(self):
            return self.finished and self.peer_finished

    def __init__(self, loop, record, ident, ip, app_port, outbound_port):
        self.ident, self.ip, self.draining = ident, ip, False
        self._loop, self._record = loop, record
        self._outbound = (ip, outbound_port)
        self._flows = {}
        self.openings = []  # (arrival, flow key) of the opening packets that were taken
        self.opened = []  # (time, flow key)
        self.runs = []  # (time, request ID, flow key)
        self._waiting = []  # (flow key, flow, head of the request)
        self._working = 0
        self._sock = udp_socket(ip, app_port)
        loop.watch(self._sock, self._receive)

    def close(self):
        if self._sock is not None:
            self._loop.unwatch(self._sock)
            self._sock.close()
            self._sock = None
            self._flows.clear()

    def _send(self, key, flow, flags, data=b"", seq=None):
        src, sport, dst, dport = key
        packet = Packet(dst, dport, src, sport, flags, flow.sent if seq is None else seq,
                        flow.expected, data)
        self._sock.sendto(packet.encode(), self._outbound)

    def _receive(self, raw, _):
        packet = Packet.decode(raw)
        if packet is None or not packet.is_sound():
            self._record.note("UNASKED: a packet that its sender did not write", self.ident)
            self._record.fault("UNASKED")
            return
        key = packet.key()
        flow = self._flows.get(key)
        if packet.flags & SYN:
            self._receive_opening(key, flow, packet)
        elif flow is None or (not flow.opened and not self._opens(flow, packet)):
            # Not one of its flows: back to the daemon, for another backend.
            returned = bytearray(raw)
            returned[0] |= BOUNCED
            returned[1:4] = b"\0\0\0"
            self._sock.sendto(bytes(returned), self._outbound)
        else:
            self._receive_in_flow(key, flow, packet)

    def _receive_opening(self, key, flow, packet):
        if flow is None or flow.ended() or flow.expected != packet.seq + 1:
            flow = self._flows[key] = Backend.Flow(random.getrandbits(32), packet.seq + 1)
            self.openings.append((time.monotonic(), key))
            self._record.note("opening packet taken", self.ident, key)
        self._send(key, flow, SYN | ACK, seq=flow.iss)

    @staticmethod
    def _opens(flow, packet):
        return bool(packet.flags & ACK) and packet.ack == (flow.iss + 1) & 0xFFFFFFFF

    def _receive_in_flow(self, key, flow, packet):
        if packet.flags & RST:
            del self._flows[key]
            return
        if not flow.opened:
            flow.opened = True
            self.opened.append((time.monotonic(), key))
            self._record.note("flow opened", self.ident, key)
        if flow.ended():
            self._send(key, flow, ACK if packet.flags & FIN else RST)
            return
        flow.unacknowledged = [item for item in flow.unacknowledged
                               if ((packet.ack - item[0]) & 0xFFFFFFFF) >= 1 << 31]
        if packet.data and packet.seq == flow.expected & 0xFFFFFFFF:
            flow.expected += len(packet.data)
            flow.request += packet.data
        fin_at = (packet.seq + len(packet.data)) & 0xFFFFFFFF
        if packet.flags & FIN and fin_at == flow.expected & 0xFFFFFFFF and not flow.peer_finished:
            flow.expected += 1
            flow.peer_finished = True
        if b"\r\n\r\n" in flow.request:
            head, flow.request = flow.request.split(b"\r\n\r\n", 1)
            self._waiting.append((key, flow, head.decode()))
            self._work()
            self._send(key, flow, ACK)
        elif packet.data or packet.flags & FIN:
            self._send(key, flow, ACK)
        if flow.peer_finished and not flow.finished:
            self._finish(key, flow)

    def _work(self):
        while self._waiting and self._working < Backend.SLOTS:
            key, flow, head = self._waiting.pop(0)
            fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:])
            self._working += 1
            self.runs.append((time.monotonic(), fields["X-Request-Id"], key))
            self._record.note("request run", self.ident, key, fields["X-Request-Id"])
            self._loop.after(random.uniform(*Backend.WORK_S),
                             lambda item=(key, flow, fields): self._end_work(*item))

    def _end_work(self, key, flow, fields):
        self._working -= 1
        if self._sock is not None and self._flows.get(key) is flow:
            self._answer(key, flow, fields)
        self._work()

    def _answer(self, key, flow, fields):
        ident = fields["X-Request-Id"]
        body = f"{self.ident} {ident}"
        # A draining backend closes each flow after its next response.
        closes = self.draining or fields.get("Connection") == "close"
        answer = (f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\nX-Server-Stamp: {self.ident}"
                  f"\r\nX-Request-Id: {ident}\r\n\r\n{body}").encode()
        self._transmit(key, flow, ACK, answer)
        if closes:
            self._finish(key, flow)

    def _finish(self, key, flow):
        flow.finished = True
        self._transmit(key, flow, FIN | ACK, b"")

    def _transmit(self, key, flow, flags, data):
        seq = flow.sent
        flow.sent += len(data) + (1 if flags & FIN else 0)
        item = (flow.sent & 0xFFFFFFFF, flags, data, seq)
        flow.unacknowledged.append(item)
        self._repeat(key, flow, item, 0, 0.2)

    def _repeat(self, key, flow, item, count, delay):
        if self._sock is None or self._flows.get(key) is not flow or item not in flow.unacknowledged:
            return
        if count > 8:
            del self._flows[key]
            return
        self._send(key, flow, item[1], item[2], item[3])
        self._loop.after(delay, lambda: self._repeat(key, flow, item, count + 1,
                                                     min(delay * 2, 1.6)))


class ClientHost:
    """One client address. Its attempts use ports of their own."""

    def __init__(self, loop, router, record, ip, port):
        self.loop, self.router, self.record, self.ip = loop, router, record, ip
        self.attempts = {}  # by port
        self._next_port = 20_000
        self._sock = udp_socket(ip, port)
        loop.watch(self._sock, self._receive)

    def close(self):
        self.loop.unwatch(self._sock)
        self._sock.close()

    def new_port(self):
        self._next_port += 1
        return self._next_port

    def _receive(self, raw, _):
        packet = Packet.decode(raw)
        if packet is None:
            return
        flow = self.attempts.get(packet.dport)
        is_own_reset = packet.flags == RST and not packet.data and packet.check == 0
        if not is_own_reset and not packet.is_sound():
            self.record.note("MIXED: a packet that its sender did not write", self.ip)
            self.record.fault("MIXED")
            return
        if flow is not None:
            flow.receive(packet, is_own_reset)


class ClientFlow:
    """A flow of a client: opens, sends requests one after the other, closes."""

    def __init__(self, host, route, port):
        self.host, self.route, self.port = host, route, port
        self.key = (number(host.ip), port, number(route[0]), route[1])
        self.iss = random.getrandbits(32)
        self.sent = self.iss + 1
        self.expected = 0
        self.state = "opening"  # then open, closed, failed or reset
        self.begun_at = self.opened_at = self.used_at = time.monotonic()
        self.reset_at = None
        self.resets = []  # of the system, on the open flow
        self.entries = []  # entry instances that took its packets
        self.answers = []
        self.pending = []  # requests that wait for the flow to open, or for the one before
        self.current = None
        self._on_answer = None
        self._finished = False
        host.attempts[port] = self
        host.record.note("opening packet sent", host.ip, self.key)
        for count, delay in enumerate((0.0, 0.2, 0.6)):
            host.loop.after(delay, lambda copy=count: self._send_opening(copy))
        host.loop.after(1.4, self._give_up_opening)

    def _send(self, flags, seq, ack, data=b""):
        self.used_at = time.monotonic()
        packet = Packet(*self.key, flags, seq, ack, data)
        self.entries.append((self.used_at, self.host.router.forward(packet)))

    def _send_opening(self, copy):
        if self.state == "opening":
            self._send(SYN, self.iss, copy)

    def _give_up_opening(self):
        if self.state == "opening":
            self.state = "failed"
            self.host.record.note("flow did not open", self.host.ip, self.key)

    def request(self, ident, close=False, on_answer=None):
        self.pending.append((ident, close, on_answer))
        self._next()

    def _next(self):
        if self.state != "open" or self.current or not self.pending:
            return
        ident, close, self._on_answer = self.pending.pop(0)
        head = f"GET /feed HTTP/1.1\r\nHost: service\r\nX-Request-Id: {ident}\r\n"
        data = (head + ("Connection: close\r\n" if close else "") + "\r\n").encode()
        self.current = (ident, self.sent, data)
        self.sent += len(data)
        self.host.record.note("request sent", self.host.ip, self.key, ident)
        self._repeat(self.current, time.monotonic() + 8.0, 0.2)

    def _repeat(self, item, deadline, delay):
        if self.state != "open" or self.current is not item:
            return
        if time.monotonic() > deadline:
            self.state = "failed"
            self.host.record.note("request without an answer", self.host.ip, self.key, item[0])
            return
        self._send(ACK, item[1], self.expected, item[2])
        self.host.loop.after(delay, lambda: self._repeat(item, deadline, min(delay * 2, 1.6)))

    def receive(self, packet, is_own_reset):
        if packet.src != self.key[2] or packet.sport != self.key[3]:
            return
        if packet.flags & RST:
            self._receive_reset(packet, is_own_reset)
        elif packet.flags & SYN:
            if self.state == "opening":
                self.state = "open"
                self.opened_at = time.monotonic()
                self.expected = packet.seq + 1
                self._send(ACK, self.sent, self.expected)
                self._next()
        elif self.state == "open" or self.state == "closed":
            self._receive_data(packet)

    def _receive_reset(self, packet, is_own_reset):
        if self.state == "opening":
            self.state = "reset"
            self.host.record.note("reset before the flow opened", self.host.ip, self.key)
        elif self.state == "open":
            distance = (packet.seq - self.expected) & 0xFFFFFFFF
            if min(distance, (1 << 32) - distance) > RESET_WINDOW:
                return
            self.state = "reset"
            self.reset_at = time.monotonic()
            if is_own_reset:
                self.resets.append((self.reset_at, self.entries[-1][1]))
            self.host.record.note("open flow reset " + ("by the system" if is_own_reset
                                                        else "by the backend"),
                                  self.host.ip, self.key)

    def _receive_data(self, packet):
        if packet.data and packet.seq == self.expected & 0xFFFFFFFF:
            self.expected += len(packet.data)
            self._receive_answer(packet.data.decode())
        fin_at = (packet.seq + len(packet.data)) & 0xFFFFFFFF
        if packet.flags & FIN and fin_at == self.expected & 0xFFFFFFFF and self.state == "open":
            self.expected += 1
            self.state = "closed"
            self.host.record.note("flow closed by the backend", self.host.ip, self.key)
            self._send_finish(0)
        elif packet.data or packet.flags & FIN:
            self._send(ACK, self.sent + (1 if self._finished else 0), self.expected)
        elif self._finished and packet.ack == (self.sent + 1) & 0xFFFFFFFF:
            self._finished = False

    def _send_finish(self, count):
        if count == 0:
            self._finished = True
        if self._finished and count < 4 and self.host.attempts.get(self.port) is self:
            self._send(FIN | ACK, self.sent, self.expected)
            self.host.loop.after(0.2 * 2 ** count, lambda: self._send_finish(count + 1))

    def _receive_answer(self, answer):
        head, body = answer.split("\r\n\r\n", 1)
        fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:])
        ident = self.current[0] if self.current else None
        if fields["X-Request-Id"] != ident or body != f"{fields['X-Server-Stamp']} {ident}":
            self.host.record.note("MIXED: a foreign answer", self.host.ip, self.key)
            self.host.record.fault("MIXED")
        self.answers.append((time.monotonic(), ident, fields["X-Server-Stamp"]))
        self.host.record.note("answer received", self.host.ip, self.key, ident)
        self.current = None
        if self._on_answer:
            self._on_answer()
        self._next()
