"""Stand-in for the platform's store: items, pages and a history that can be watched.

The operator and the upstreams write through put() and remove(); their return is the store's
acknowledgement. The system under test can only read, over HTTP/1.1.
"""

import base64
import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

HISTORY_S = 20.0
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
VALUE_BYTES = 1_048_576


class Store:
    def __init__(self, address, watch_bytes=None):
        """watch_bytes limits the values in one response to a watch; None: no limit."""
        self._lock = threading.Condition()
        self._items = {}
        self._events = []  # (time, revision, event)
        self._dropped = 0  # newest revision that is not in the history any more
        self._revision = 1
        self._watch_bytes = watch_bytes
        self.reads = []  # (time, path, status, bytes)
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self):
                store._respond(self)

            def log_message(self, *_):
                pass

        class Server(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, *_):
                pass  # a reader that closes its connection early

        self._server = Server(address, Handler)
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def close(self):
        self._server.shutdown()
        self._server.server_close()

    def put(self, key, value):
        """Writes an item and returns the time of the acknowledgement."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        assert len(key) <= 200 and len(data) <= VALUE_BYTES
        with self._lock:
            self._revision += 1
            known = self._items.get(key)
            item = {"key": key, "value": base64.b64encode(data).decode(),
                    "revision": self._revision,
                    "created": known["created"] if known else self._revision, "lease": 0}
            self._items[key] = item
            self._add_event(item)
        return time.monotonic()

    def remove(self, key):
        with self._lock:
            if self._items.pop(key, None) is not None:
                self._revision += 1
                self._add_event({"key": key, "revision": self._revision, "removed": True})
        return time.monotonic()

    def _add_event(self, event):
        self._events.append((time.monotonic(), self._revision, event))
        self._drop_history()
        self._lock.notify_all()

    def _drop_history(self):
        oldest = time.monotonic() - HISTORY_S
        while self._events and self._events[0][0] < oldest:
            self._dropped = self._events.pop(0)[1]

    def _respond(self, handler):
        url = urlsplit(handler.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        calls = {"/-/kv-key": self._key, "/-/kv-range": self._range, "/-/kv-watch": self._watch}
        status, body = calls.get(url.path, lambda _: (404, {}))(query)
        data = json.dumps(body).encode()
        self.reads.append((time.monotonic(), handler.path, status, len(data)))
        handler.send_response(status)
        handler.send_header("Content-Type", "application/json")
        handler.send_header("Content-Length", str(len(data)))
        handler.end_headers()
        handler.wfile.write(data)

    def _key(self, query):
        with self._lock:
            item = self._items.get(query["key"])
            return (200, {**item, "store_revision": self._revision}) if item else (404, {})

    def _range(self, query):
        with self._lock:
            keys = sorted(key for key in self._items
                          if key.startswith(query["prefix"]) and key > query.get("after", ""))
            page, size = [], 0
            for key in keys:
                if page and (len(page) == PAGE_ITEMS
                             or size + len(self._items[key]["value"]) > PAGE_BYTES):
                    break
                page.append(self._items[key])
                size += len(self._items[key]["value"])
            return 200, {"items": page, "truncated": len(page) < len(keys),
                         "store_revision": self._revision}

    def _watch(self, query):
        after = int(query["after"])
        end = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        with self._lock:
            while True:
                self._drop_history()
                if after < self._dropped:
                    return 410, {}
                events = [event for _, revision, event in self._events
                          if revision > after and event["key"].startswith(query["prefix"])]
                left = end - time.monotonic()
                if events or left <= 0:
                    break
                self._lock.wait(left)
            revision = self._revision
            size = 0
            for count, event in enumerate(events):
                size += len(event.get("value", ""))
                if self._watch_bytes is not None and count > 0 and size > self._watch_bytes:
                    events = events[:count]
                    revision = events[-1]["revision"]
                    break
            return 200, {"events": events, "store_revision": revision}
