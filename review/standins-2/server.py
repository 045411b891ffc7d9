#!/usr/bin/env python3
"""A stand-in of a model server, by PROTOCOL.md.

Usage: server.py ADDRESS:PORT ID SERVICE STORE RECORD [ANNOUNCED-ADDRESS:PORT]

It lists itself in the store and writes there every 1.2 s, answers only requests that name its id,
and streams --- one event each `X-Gap-Ms`, `X-Events` in all. Each answer has its Response-Stamp and
the request's id. With `X-Length: none` in the request the answer has no length and ends with its
connection, as RULES.md allows a server's answer; else it is chunked. With `X-Size: N` the answer is
a plain one of N bytes, in pieces, in place of a stream. It writes each run and each piece that it
sent to RECORD.

SIGUSR1 lets it report `draining`; it serves on.
"""

import json
import os
import signal
import socket
import sys
import threading
import time
import urllib.request

ADDRESS, ID, SERVICE, STORE, RECORD = sys.argv[1:6]
ANNOUNCED = sys.argv[6] if len(sys.argv) > 6 else ADDRESS
HOST, PORT = ADDRESS.rsplit(":", 1)
BORN = int(time.time() * 1000)
STATE = {"state": "ready", "seq": 0}
LOCK = threading.Lock()


def note(text):
    with LOCK:
        with open(RECORD, "a", encoding="utf-8") as record:
            record.write(f"{time.time():.3f} server {ID}: {text}\n")


def write_entry():
    with LOCK:
        STATE["seq"] += 1
        entry = {
            "backend": SERVICE,
            "address": ANNOUNCED,
            "zone": "z1",
            "version": "v1",
            "slots": 64,
            "state": STATE["state"],
            "cold-left-ms": 0,
            "seq": STATE["seq"],
            "born": BORN,
        }
    request = urllib.request.Request(
        f"http://{STORE}/standin/put?topic=keyed.servers&key={ID}",
        data=json.dumps(entry).encode(),
        method="POST",
    )
    try:
        urllib.request.urlopen(request, timeout=2).read()
    except OSError:
        pass


def beat():
    while True:
        write_entry()
        time.sleep(1.2)


def drain(*_):
    STATE["state"] = "draining"
    threading.Thread(target=lambda: (write_entry(), note("reports draining")), daemon=True).start()


def read_request(connection):
    data = b""
    while b"\r\n\r\n" not in data:
        more = connection.recv(65536)
        if not more:
            return None
        data += more
    head, body = data.split(b"\r\n\r\n", 1)
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, value = line.split(":", 1)
        fields[name.strip().lower()] = value.strip()
    length = int(fields.get("content-length", "0"))
    while len(body) < length:
        body += connection.recv(65536)
    return fields


def serve(connection):
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    try:
        while True:
            fields = read_request(connection)
            if fields is None:
                return
            if not answer(connection, fields):
                return
    except OSError:
        pass
    finally:
        connection.close()


def answer(connection, fields):
    request = fields.get("request-id", "")
    head = f"Request-Id: {request}\r\n"
    if fields.get("expect-instance", ID) != ID:
        connection.sendall(
            f"HTTP/1.1 421 Misdirected Request\r\n{head}Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            .encode())
        return True
    unframed = fields.get("x-length") == "none"
    size = int(fields.get("x-size", "0"))
    events = int(fields.get("x-events", "5"))
    gap = int(fields.get("x-gap-ms", "50")) / 1000
    after = int(fields.get("last-event-id", "0"))
    note(f"runs {request}" + (f" behind event {after}" if after else ""))
    kind = "application/octet-stream" if size else "text/event-stream"
    framing = "Connection: close" if unframed else "Transfer-Encoding: chunked"
    connection.sendall(
        f"HTTP/1.1 200 OK\r\n{head}Response-Stamp: {ID}.{request}\r\nContent-Type: {kind}\r\n"
        f"{framing}\r\n\r\n".encode())
    if size:
        step = 100
        pieces = [b"x" * min(step, size - at) for at in range(0, size, step)]
    else:
        pieces = [f"id: {n}\ndata: piece {n} of {events}\n\n".encode()
                  for n in range(after + 1, events + 1)]
    for number, piece in enumerate(pieces, 1):
        time.sleep(gap)
        data = piece if unframed else f"{len(piece):x}\r\n".encode() + piece + b"\r\n"
        connection.sendall(data)
        note(f"sent piece {number} of {len(pieces)} of {request}")
    if not unframed:
        connection.sendall(b"0\r\n\r\n")
    note(f"ends {request}")
    return not unframed


def main():
    signal.signal(signal.SIGUSR1, drain)
    listener = socket.create_server((HOST, int(PORT)), backlog=128)
    threading.Thread(target=beat, daemon=True).start()
    note(f"starts as process {os.getpid()} at {ADDRESS}")
    while True:
        connection, _ = listener.accept()
        threading.Thread(target=serve, args=(connection,), daemon=True).start()


main()
