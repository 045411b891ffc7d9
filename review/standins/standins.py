"""Small stand-ins of the platform for the cases of this review: the store, servers, links that can
be cut, and clients. They speak what PROTOCOL.md says, on loopback addresses alone, and need nothing
beside Python's own library.

A case is a coroutine that gets a Deployment; run_case() runs it, writes record.txt and turns its
result into the exit code (0: the rule held, 1: it was broken, 2: the case couldn't run).
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case couldn't be set up; says nothing about the rule."""


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, text):
        line = "%8.3f  %s" % (time.monotonic() - self.start, text)
        self.file.write(line + "\n")
        self.file.flush()
        print(line, flush=True)


# ---------------------------------------------------------------- HTTP, as little as is needed

async def read_head(reader):
    """The start line and the fields (names in lower case), or None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_request(reader):
    head = await read_head(reader)
    if head is None:
        return None
    start, fields = head
    method, target, _ = start.split(" ", 2)
    body = b""
    if "content-length" in fields:
        body = await reader.readexactly(int(fields["content-length"]))
    elif fields.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                break
    return method, target, fields, body


def response(status, body=b"", fields=(), keep=True):
    reasons = {200: "OK", 403: "Forbidden", 404: "Not Found", 409: "Conflict", 410: "Gone",
               421: "Misdirected Request", 503: "Service Unavailable"}
    lines = ["HTTP/1.1 %d %s" % (status, reasons.get(status, "Status"))]
    lines += ["%s: %s" % field for field in fields]
    lines.append("Content-Length: %d" % len(body))
    if not keep:
        lines.append("Connection: close")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def reset(writer):
    """Ends a connection by a reset."""
    sock = writer.get_extra_info("socket")
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    except (AttributeError, OSError):
        pass  # closed already
    writer.transport.abort()


# ---------------------------------------------------------------- the platform's store

class Topic:
    def __init__(self):
        self.records = []  # (key, value)
        self.newest = {}   # key -> offset

    def add(self, key, value):
        if value:
            self.newest[key] = len(self.records)
        else:
            self.newest.pop(key, None)
        self.records.append((key, value))


class Store:
    """The log of PROTOCOL.md, one partition a topic, reached at one address or at several: each
    address may show the entries of servers with other addresses, those of the links of one host."""

    def __init__(self, record):
        self.record = record
        self.topics = {}
        self.writers = {}
        self.changed = asyncio.Condition()
        self.servers = []
        self.tasks = set()

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    async def put(self, name, key, value):
        async with self.changed:
            self.topic(name).add(key, value if isinstance(value, bytes) else value.encode())
            self.changed.notify_all()

    async def listen(self, ip, port, view=None):
        async def serve(reader, writer):
            self.tasks.add(asyncio.current_task())
            try:
                await self.serve(reader, writer, view or (lambda topic, key, value: value))
            except (ConnectionError, asyncio.IncompleteReadError):
                pass
            finally:
                self.tasks.discard(asyncio.current_task())
                writer.close()
        self.servers.append(await asyncio.start_server(serve, ip, port))

    async def serve(self, reader, writer, view):
        while True:
            request = await read_request(reader)
            if request is None:
                return
            method, target, _, body = request
            path, _, query = target.partition("?")
            args = {}
            for part in query.split("&"):
                name, _, value = part.partition("=")
                args[name] = re.sub("%([0-9A-Fa-f]{2})", lambda m: chr(int(m.group(1), 16)), value)
            if (method, path) == ("GET", "/-/log-read"):
                answer = await self.read(args, view)
            elif (method, path) == ("GET", "/-/log-newest"):
                answer = self.newest(args, view)
            elif (method, path) == ("POST", "/-/log-append"):
                answer = await self.append(args, body)
            else:
                answer = response(404)
            writer.write(answer)
            await writer.drain()

    async def read(self, args, view):
        name, start = args["topic"], int(args["from"])
        deadline = time.monotonic() + int(args.get("wait-ms", "0")) / 1000
        async with self.changed:
            while len(self.topic(name).records) <= start:
                left = deadline - time.monotonic()
                if left <= 0:
                    break
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    break
        records = self.topic(name).records
        out = struct.pack(">QQ", len(records), 0)
        for key, value in records[start:]:
            shown = view(name, key, value)
            raw = key.encode()
            out += struct.pack(">IB", 1 + len(raw) + len(shown), len(raw)) + raw + shown
            if len(out) > 512 * 1024:
                break
        return response(200, out)

    def newest(self, args, view):
        name = args["topic"]
        topic = self.topic(name)
        keys = sorted(key for key in topic.newest if key > args.get("after", ""))
        items = []
        for key in keys[:500]:
            value = view(name, key, topic.records[topic.newest[key]][1])
            items.append({"key": key, "value": base64.b64encode(value).decode(),
                          "offset": topic.newest[key]})
        answer = {"items": items, "has-more": len(keys) > 500, "end": len(topic.records)}
        return response(200, json.dumps(answer).encode(), [("Content-Type", "application/json")])

    async def append(self, args, body):
        name = args["topic"]
        if name in ("keyed.op", "keyed.servers"):
            return response(403)
        writer = (name, args.get("producer", ""))
        seq = int(args.get("seq", "0"))
        if writer in self.writers:
            last, answers = self.writers[writer]
            if seq in answers:
                return response(200, answers[seq])
            if seq != last + 1:
                refusal = json.dumps({"reason": "seq", "seq": last + 1}).encode()
                return response(409, refusal, [("Content-Type", "application/json")])
        else:
            answers = {}
        async with self.changed:
            topic = self.topic(name)
            offset, at = len(topic.records), 0
            while at < len(body):
                length, = struct.unpack_from(">I", body, at)
                size = body[at + 4]
                topic.add(body[at + 5:at + 5 + size].decode(), body[at + 5 + size:at + 4 + length])
                at += 4 + length
            self.changed.notify_all()
            answer = json.dumps({"offset": offset, "end": len(topic.records)}).encode()
            answers[seq] = answer
            for old in sorted(answers)[:-5]:
                del answers[old]
            self.writers[writer] = (seq, answers)
        return response(200, answer)


# ---------------------------------------------------------------- links that can be cut

class Link:
    """Carries the connections of one host to one server. A cut resets those that are open, and
    refuses new ones."""

    def __init__(self, ip, port, target):
        self.ip, self.port, self.target = ip, port, target
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)

    async def serve(self, reader, writer):
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            reset(writer)
            return
        pair = {writer, far_writer}
        self.writers |= pair

        async def pump(source, sink):
            try:
                while data := await source.read(65536):
                    sink.write(data)
                    await sink.drain()
                sink.close()
            except (ConnectionError, asyncio.CancelledError, OSError):
                reset(sink)

        await asyncio.gather(pump(reader, far_writer), pump(far_reader, writer))
        self.writers -= pair

    async def cut(self):
        self.server.close()
        for writer in list(self.writers):
            reset(writer)


# ---------------------------------------------------------------- servers

class Server:
    """A server of a service. Subclasses answer in work(); the rest is as the pages say."""

    def __init__(self, record, ident, service, zone, ip, port, slots=8):
        self.record, self.id, self.service, self.zone = record, ident, service, zone
        self.ip, self.port, self.slots = ip, port, slots
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.server = None
        self.runs = []  # (request id, peer's address)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)

    def entry(self, state="ready"):
        self.seq += 1
        return json.dumps({"backend": self.service, "address": "%s:%d" % (self.ip, self.port),
                           "zone": self.zone, "version": "v1", "slots": self.slots,
                           "state": state, "cold-left-ms": 0, "seq": self.seq,
                           "born": self.born}).encode()

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                method, target, fields, body = request
                ident = fields.get("request-id", "")
                expected = fields.get("expect-instance")
                if expected is not None and expected != self.id:
                    self.record("server %s refuses %s (421)" % (self.id, ident))
                    writer.write(response(421, fields=[("Instance-Id", self.id),
                                                       ("Request-Id", ident)]))
                    continue
                peer = writer.get_extra_info("peername")
                self.runs.append((ident, peer))
                self.record("server %s runs %s %s %s, tenant %s"
                            % (self.id, ident, method, target, fields.get("tenant", "-")))
                if not await self.work(reader, writer, method, target, fields, body):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def work(self, reader, writer, method, target, fields, body):
        """Answers one request. Returns whether the connection is kept."""
        raise NotImplementedError

    def stamp(self, ident):
        return [("Request-Id", ident), ("Response-Stamp", "%s.%s" % (self.id, ident))]


# ---------------------------------------------------------------- clients

class Answer:
    def __init__(self):
        self.status, self.fields, self.body, self.whole, self.why = 0, {}, b"", False, ""

    def ids(self):
        return [int(found) for found in re.findall(rb"(?m)^id: (\d+)$", self.body)]

    def __str__(self):
        return "status %d, %d bytes, %s" % (self.status, len(self.body),
                                            "whole" if self.whole else "not whole: " + self.why)


async def call(address, method, target, fields, body=b"", on_data=None):
    """One client attempt on a new connection. The answer counts as whole only where its framing
    says so."""
    answer = Answer()
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), 1.0)
    except (OSError, asyncio.TimeoutError) as error:
        answer.why = "no connection: %r" % error
        return answer
    lines = ["%s %s HTTP/1.1" % (method, target)] + ["%s: %s" % field for field in fields.items()]
    if body or method == "POST":
        lines.append("Content-Length: %d" % len(body))
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
    try:
        head = await read_head(reader)
        if head is None:
            answer.why = "closed without an answer"
            return answer
        answer.status, answer.fields = int(head[0].split(" ")[1]), head[1]
        if answer.fields.get("transfer-encoding", "").lower() == "chunked":
            while True:
                line = await reader.readline()
                if not line.endswith(b"\n"):
                    answer.why = "closed before the last chunk"
                    return answer
                size = int(line.split(b";")[0], 16)
                answer.body += await reader.readexactly(size)
                await reader.readexactly(2)
                if size == 0:
                    answer.whole = True
                    return answer
                if on_data:
                    on_data(answer)
        elif "content-length" in answer.fields:
            answer.body = await reader.readexactly(int(answer.fields["content-length"]))
            answer.whole = True
        else:
            answer.body = await reader.read()
            answer.whole = True
    except (ConnectionError, asyncio.IncompleteReadError) as error:
        answer.why = repr(error)
    finally:
        writer.close()
    return answer


# ---------------------------------------------------------------- hosts and the deployment

def render(template, fields):
    """Fills in the placeholders that the project's template uses."""
    def value_of(name):
        value = fields
        for part in name.split("."):
            if isinstance(value, dict) and name in value:
                return value[name]
            value = value[int(part)] if isinstance(value, list) else value[part]
        return value

    def replace(match):
        name, _, form = match.group(1).partition("|")
        value = value_of(name)
        return json.dumps(value) if form == "json" or isinstance(value, dict) else str(value)

    return re.sub(r"\{\{([^{}]+)\}\}", replace, template)


class Host:
    def __init__(self, deployment, name, zone, ip, store):
        self.deployment, self.name, self.zone, self.ip = deployment, name, zone, ip
        self.front, self.ready = (ip, 8740), (ip, 8749)
        self.process = None
        self.starts = 0
        with open(os.path.join(ROOT, "deploy/settings.json.template"), encoding="utf-8") as file:
            template = file.read()
        fields = {"node-name": name, "zone": zone, "zones": deployment.zones, "ip": ip,
                  "listen": {"front": "%s:%d" % self.front, "ready": "%s:%d" % self.ready},
                  "port-range": [7200, 7215], "provider": {"address": "%s:%d" % store},
                  "limits": {"link-mbps": 1000.0, "memory-mb": 260},
                  "bounds": {"grace-s": 8, "retry-ratio": 0.2, "retry-slack": 52,
                             "retry-window-s": 10}}
        self.settings = os.path.join(deployment.folder, name + ".conf")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(render(template, fields))

    def start(self):
        self.starts += 1
        log = open(os.path.join(self.deployment.folder, "%s-%d.log" % (self.name, self.starts)),
                   "wb")
        # The run command of deploy/system.toml, with the settings in this run's own folder.
        command = [word if word != "/etc/sequoiagate/local.conf" else self.settings
                   for word in self.deployment.command]
        self.process = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=subprocess.STDOUT,
                                        stdin=subprocess.DEVNULL)
        log.close()
        self.deployment.record("%s starts" % self.name)

    def signal(self, number):
        self.deployment.record("%s gets %s" % (self.name, signal.Signals(number).name))
        self.process.send_signal(number)

    async def until_ready(self, limit=20.0):
        deadline = time.monotonic() + limit
        while time.monotonic() < deadline:
            if self.process.poll() is not None:
                raise CannotRun("%s ended with %d" % (self.name, self.process.returncode))
            answer = await call(self.ready, "GET", "/-/ready", {"Host": "ready"})
            if answer.status == 200:
                return
            await asyncio.sleep(0.1)
        raise CannotRun("%s isn't ready" % self.name)

    def log(self, number=None):
        path = os.path.join(self.deployment.folder,
                            "%s-%d.log" % (self.name, number or self.starts))
        events = []
        with open(path, encoding="utf-8", errors="replace") as file:
            for line in file:
                try:
                    events.append(json.loads(line))
                except ValueError:
                    pass
        return events


class Deployment:
    def __init__(self, record):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="sequoiagate-review-")
        self.hosts, self.servers, self.links = [], [], []
        self.zones = {"z-a": "r", "z-b": "r", "z-c": "r"}
        with open(os.path.join(ROOT, "deploy/system.toml"), encoding="utf-8") as file:
            self.command = re.search(r'(?m)^run = "(.*)"$', file.read()).group(1).split(" ")
        if not os.access(os.path.join(ROOT, self.command[0]), os.X_OK):
            raise CannotRun("%s isn't built" % self.command[0])
        self.net = self.free_net()
        self.store = Store(record)
        self.store_address = (self.ip(200), 8742)

    @staticmethod
    def free_net():
        """Loopback addresses that nobody listens on."""
        for _ in range(50):
            net = "127.%d.%d" % (random.randint(20, 250), random.randint(1, 250))
            try:
                with socket.socket() as probe:
                    probe.bind((net + ".1", 8740))
                return net
            except OSError:
                continue
        raise CannotRun("no free loopback addresses")

    def ip(self, number):
        return "%s.%d" % (self.net, number)

    async def configure(self, config):
        await self.store.put("keyed.op", "config", json.dumps(config))
        self.record("the operator writes configuration %d" % config["version"])

    async def list(self, server, state="ready"):
        await self.store.put("keyed.servers", server.id, server.entry(state))

    async def beat(self, server, every=1.2):
        while True:
            await asyncio.sleep(every)
            await self.list(server)

    def end(self):
        for host in self.hosts:
            if host.process is not None and host.process.poll() is None:
                host.process.kill()
                host.process.wait()
        if os.environ.get("KEEP"):
            print("kept:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def configuration(version, prepaid=100_000_000, **changes):
    """A small configuration: streams and calls of a model service, calls of a plain one."""
    def route(name, kind, backend, **more):
        return {"name": name, "host": "a.example", "path-prefix": "/%s/" % name, "type": kind,
                "backend": backend, "priority": 1, **more}
    config = {
        "version": version,
        "routes": [
            route("chat", "streaming", "llm", **{"timeout-ms": 15000, "slo-ms": 400,
                                                 "gap-target-ms": 300, "max-attempts": 1,
                                                 "sticky": True}),
            route("digest", "streaming", "llm", **{"timeout-ms": 5000, "slo-ms": 800,
                                                   "gap-target-ms": 300, "max-attempts": 2,
                                                   "resumable": True, "sticky": True}),
            route("commit", "non_idempotent", "desk", **{"timeout-ms": 1500, "slo-ms": 300,
                                                         "max-attempts": 1}),
            route("lookup", "idempotent", "desk", **{"timeout-ms": 5000, "slo-ms": 300,
                                                     "max-attempts": 2}),
        ],
        "backends": [
            {"name": "llm", "max-conns": 370, "health-path": "/healthz",
             "engine": {"stride": 4, "kv-tokens": 277892}},
            {"name": "desk", "max-conns": 110, "health-path": "/healthz"},
        ],
        "tenants": [{"name": "tenant-1", "api-keys": ["key-1"], "prepaid": prepaid}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                   "header-timeout-ms": 5000, "idle-timeout-ms": 15000},
    }
    config.update(changes)
    return config


def request_fields(ident, deadline_ms, tokens=None, **more):
    fields = {"Host": "a.example", "Request-Id": ident, "Deadline-Ms": str(deadline_ms),
              "Authorization": "Token key-1"}
    if tokens:
        fields.update({"Model": "m", "Token-Count": tokens,
                       "Prompt-Prefix": "5c1e07a2:%s" % tokens.split(",")[0]})
    fields.update(more)
    return fields


def run_case(case, folder, limit=110):
    record = Record(os.path.join(folder, "record.txt"))
    record("TROUBLE=%d" % TROUBLE)
    code = 2
    deployment = None

    async def main():
        nonlocal deployment
        deployment = Deployment(record)
        return await asyncio.wait_for(case(deployment), limit)

    def give_up():
        record("can't run: not over in time")
        if deployment is not None:
            deployment.end()
        os._exit(2)

    watchdog = threading.Timer(limit + 6, give_up)
    watchdog.daemon = True
    watchdog.start()
    # A case that is stopped ends its processes as well.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(2))
    try:
        code = 1 if asyncio.run(main()) else 0
    except CannotRun as error:
        record("can't run: %s" % error)
    except Exception as error:  # the case itself failed: that is no result
        record("can't run: %r" % error)
    finally:
        if deployment is not None:
            deployment.end()
    record({0: "the rule held", 1: "the rule is broken", 2: "no result"}[code])
    sys.exit(code)
