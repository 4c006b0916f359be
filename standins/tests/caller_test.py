"""Tests standin-caller against a CoAP server that challenges every request without Echo."""

import collections
import json
import os
import socket
import subprocess
import sys
import tempfile
import threading
import unittest

from coap_messages import ACK, ECHO, OBSERVE, PATH, QUERY, encode, parse

CHALLENGE, CHANGED, CONTENT = 0x81, 0x44, 0x45

CALLER = sys.argv.pop(1)


class ChallengingServer(threading.Thread):
    """Answers each request without Echo with a new Echo value, and all others with success."""

    def __init__(self):
        super().__init__(daemon=True)
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind(("127.0.0.1", 0))
        self.requests = []  # (path, id, [echo values])
        self.issued = 0

    @property
    def address(self):
        return "127.0.0.1:%d" % self.socket.getsockname()[1]

    def run(self):
        while True:
            data, peer = self.socket.recvfrom(2048)
            _, code, message_id, token, options = parse(data)
            if code == 0 or code >= 0x40:
                continue
            echoes = [value for number, value in options if number == ECHO]
            queries = dict(value.decode().split("=", 1)
                           for number, value in options if number == QUERY)
            path = b"/".join(value for number, value in options if number == PATH).decode()
            self.requests.append((path, queries.get("id"), echoes))
            if not echoes:
                self.issued += 1
                answer = encode(ACK, CHALLENGE, message_id, token,
                                [(ECHO, b"echo-%d" % self.issued)])
            elif path == "stock":
                answer = encode(ACK, CONTENT, message_id, token, [(OBSERVE, b"\x01")],
                                b'{"service":"orders","upstream":"u"}')
            else:
                body = json.dumps({"id": queries["id"], "service": "orders"}).encode()
                answer = encode(ACK, CHANGED, message_id, token, [(ECHO, b"fresh")], body)
            self.socket.sendto(answer, peer)


class CallerTest(unittest.TestCase):
    def run_caller(self, *options):
        server = ChallengingServer()
        server.start()
        with tempfile.TemporaryDirectory() as folder:
            records = os.path.join(folder, "records")
            subprocess.run([CALLER, "--service-map", "orders=" + server.address, "--records",
                            records, "--seconds", "1", "--callers", "3", *options],
                           check=True, timeout=60)
            with open(records, encoding="utf-8") as lines:
                return server, [json.loads(line) for line in lines]

    def test_order_carries_exactly_one_echo_after_the_challenge(self):
        # libcoap may add an Echo option itself; a request with two would be ambiguous.
        server, records = self.run_caller("--orders-per-second", "50")
        by_id = collections.defaultdict(list)
        for _, order, echoes in server.requests:
            by_id[order].append(echoes)
        self.assertGreater(len(by_id), 10)
        for echoes in by_id.values():
            self.assertEqual([len(values) for values in echoes], [0, 1])
        self.assertEqual({record["outcome"] for record in records}, {"done"})

    def test_order_with_duplicated_packets_uses_one_echo_only(self):
        # Each challenge issues a ticket; a caller that answers both could run the order twice.
        server, records = self.run_caller("--orders-per-second", "50", "--duplicate-orders")
        echoes_by_id = collections.defaultdict(set)
        for _, order, echoes in server.requests:
            echoes_by_id[order].update(echoes)
        self.assertGreater(len(echoes_by_id), 10)
        self.assertEqual({len(echoes) for echoes in echoes_by_id.values()}, {1})
        self.assertTrue(all(record["right_answer"] for record in records))

    def test_feed_is_established_after_the_challenge(self):
        _, records = self.run_caller("--feeds", "3")
        self.assertEqual([record["outcome"] for record in records], ["done"] * 3)
        self.assertFalse(any(record["broken"] for record in records))


if __name__ == "__main__":
    unittest.main()
