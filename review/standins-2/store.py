#!/usr/bin/env python3
"""A stand-in of the platform's metadata store, by PROTOCOL.md: a log of keyed topics.

Usage: store.py ADDRESS:PORT

It serves log-read, log-newest and log-append. The operator and the servers write with
POST /standin/put?topic=T&key=K (an empty body removes the key), as the pages say that they write
"there". Each topic has one partition. It is a sound store: it answers each call at once.
"""

import base64
import json
import struct
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit


class Topic:
    def __init__(self):
        self.records = []  # (key, value)
        self.newest = {}  # key: (offset, value)


class Store:
    def __init__(self):
        self.changed = threading.Condition()
        self.topics = {}
        self.writers = {}  # (topic, producer): [next seq, {seq: answer}]

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def add(self, name, key, value):
        topic = self.topic(name)
        offset = len(topic.records)
        topic.records.append((key, value))
        if value:
            topic.newest[key] = (offset, value)
        else:
            topic.newest.pop(key, None)
        return offset

    def put(self, name, key, value):
        with self.changed:
            offset = self.add(name, key, value)
            self.changed.notify_all()
            return offset

    def read(self, name, start, wait_s):
        until = time.monotonic() + wait_s
        with self.changed:
            topic = self.topic(name)
            while start >= len(topic.records):
                left = until - time.monotonic()
                if left <= 0 or not self.changed.wait(left):
                    break
            body = struct.pack(">QQ", len(topic.records), 0)
            for key, value in topic.records[start:]:
                body += struct.pack(">IB", 1 + len(key) + len(value), len(key)) + key + value
            return body

    def newest_rows(self, name, after):
        with self.changed:
            topic = self.topic(name)
            rows = [(key, row) for key, row in sorted(topic.newest.items()) if key > after]
            return {
                "items": [
                    {"key": key.decode(), "value": base64.b64encode(value).decode(), "offset": offset}
                    for key, (offset, value) in rows[:500]
                ],
                "has-more": len(rows) > 500,
                "end": len(topic.records),
            }

    def append(self, name, body, producer, seq):
        rows = []
        at = 0
        while at < len(body):
            (length,) = struct.unpack_from(">I", body, at)
            content = body[at + 4 : at + 4 + length]
            at += 4 + length
            size = content[0]
            rows.append((content[1 : 1 + size], content[1 + size :]))
        with self.changed:
            if producer is not None:
                writer = self.writers.setdefault((name, producer), [None, {}])
                if seq in writer[1]:
                    return 200, writer[1][seq]
                if writer[0] is not None and seq != writer[0]:
                    return 409, {"reason": "seq", "seq": writer[0]}
            offset = len(self.topic(name).records)
            for key, value in rows:
                self.add(name, key, value)
            answer = {"offset": offset, "end": len(self.topic(name).records)}
            if producer is not None:
                writer[0] = seq + 1
                writer[1][seq] = answer
                for old in sorted(writer[1])[:-5]:
                    del writer[1][old]
            self.changed.notify_all()
            return 200, answer


STORE = Store()


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *_):
        pass

    def answer(self, status, body, kind="application/json"):
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        self.send_response(status)
        self.send_header("Content-Type", kind)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def query(self):
        url = urlsplit(self.path)
        return url.path, {key: values[0] for key, values in parse_qs(url.query).items()}

    def do_GET(self):
        path, query = self.query()
        if path == "/-/log-read":
            wait_s = int(query.get("wait-ms", "0")) / 1000
            body = STORE.read(query["topic"], int(query["from"]), wait_s)
            self.answer(200, body, "application/octet-stream")
        elif path == "/-/log-newest":
            self.answer(200, STORE.newest_rows(query["topic"], query.get("after", "").encode()))
        else:
            self.answer(404, {})

    def do_POST(self):
        path, query = self.query()
        body = self.rfile.read(int(self.headers.get("Content-Length", "0")))
        if path == "/-/log-append":
            producer = query.get("producer")
            seq = int(query["seq"]) if producer is not None else None
            self.answer(*STORE.append(query["topic"], body, producer, seq))
        elif path == "/standin/put":
            offset = STORE.put(query["topic"], query["key"].encode(), body)
            self.answer(200, {"offset": offset})
        else:
            self.answer(404, {})


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        pass  # a caller that ends a call


if __name__ == "__main__":
    host, port = sys.argv[1].rsplit(":", 1)
    Server((host, int(port)), Handler).serve_forever()
