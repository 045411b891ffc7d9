"""What the scripts of the second review share: free ports, processes, the operator, clients."""

import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.request

HERE = os.path.dirname(os.path.abspath(__file__))
TOP = os.path.dirname(os.path.dirname(HERE))
EDGE = os.path.join(TOP, "target", "bin", "sequoia-edge")
IP = "127.0.0.1"
HELD, BROKEN, NOT_RUN = 0, 1, 2
LIMIT_S = 100  # for a whole case


TAKEN = set()


def free_ports(count, kind=socket.SOCK_STREAM):
    """Ports on which nobody listens, below those that the kernel gives to connections."""
    ports = []
    while len(ports) < count:
        port = random.randrange(20000, 32000)
        if port in TAKEN:
            continue
        with socket.socket(socket.AF_INET, kind) as one:
            try:
                one.bind((IP, port))
            except OSError:
                continue
        TAKEN.add(port)
        ports.append(port)
    return ports


class CannotRun(Exception):
    pass


class Deployment:
    """Processes on loopback: the store, servers, edges. Ends all that it started."""

    def __init__(self, record):
        self.record_path = record
        open(record, "w", encoding="utf-8").close()
        self.lock = threading.Lock()
        self.folder = tempfile.TemporaryDirectory(prefix="review-2-")
        self.processes = []
        self.store = f"{IP}:{free_ports(1)[0]}"
        self.edges = {}
        self.spawn([sys.executable, os.path.join(HERE, "store.py"), self.store])
        self.wait_for_port(self.store)

    def note(self, text):
        with self.lock, open(self.record_path, "a", encoding="utf-8") as record:
            record.write(f"{time.time():.3f} {text}\n")

    def spawn(self, command, log=None):
        out = open(log, "ab") if log else subprocess.DEVNULL
        process = subprocess.Popen(command, stdin=subprocess.DEVNULL, stdout=out, stderr=out, cwd=TOP)
        self.processes.append(process)
        return process

    @staticmethod
    def wait_for_port(address, seconds=10):
        host, port = address.rsplit(":", 1)
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            try:
                socket.create_connection((host, int(port)), 1).close()
                return
            except OSError:
                time.sleep(0.05)
        raise CannotRun(f"nothing listens at {address}")

    def put(self, topic, key, value):
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        url = f"http://{self.store}/standin/put?topic={topic}&key={key}"
        urllib.request.urlopen(urllib.request.Request(url, data=data, method="POST"), timeout=5).read()

    def configure(self, version, routes, services, tenants=None):
        config = {
            "version": version,
            "routes": routes,
            "backends": services,
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 1048576,
                       "header-timeout-ms": 5000, "idle-timeout-ms": 30000},
        }
        if tenants is not None:
            config["tenants"] = tenants
        self.put("keyed.op", "config", config)

    def start_server(self, name, service, address=None, announced=None):
        address = address or f"{IP}:{free_ports(1)[0]}"
        process = self.spawn([sys.executable, os.path.join(HERE, "server.py"), address, name, service,
                              self.store, self.record_path] + ([announced] if announced else []))
        self.wait_for_port(address)
        return process, address

    def settings(self, name, zone="z1"):
        """As deploy/settings.json.template makes them for a machine of a small deployment."""
        listen, ready, relay, metrics = free_ports(4)
        (peers,) = free_ports(1, socket.SOCK_DGRAM)
        return {
            "host": name, "domain": zone, "regions": {zone: "r1"},
            "listen": f"{IP}:{listen}", "listen_ready": f"{IP}:{ready}",
            "listen_peers": f"{IP}:{peers}", "listen_relay": f"{IP}:{relay}",
            "listen_metrics": f"{IP}:{metrics}", "store": self.store,
            "stop_grace_ms": 8e3, "link_mbps": 1000.0, "memory_mb": 260,
            "fleet_policies_from_hosts": 17, "token_allocation": "by_rank",
            "token_reserve": "peak_demand", "endpoint_rates": "shared", "placement": "adaptive",
            "retry_ratio": 0.2, "retry_slack": 58, "retry_window_ms": 10e3,
        }

    def start_edge(self, name, settings=None):
        settings = settings or self.edges.get(name) or self.settings(name)
        self.edges[name] = settings
        path = os.path.join(self.folder.name, f"{name}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        process = self.spawn([EDGE, "--settings", path], os.path.join(self.folder.name, f"{name}.log"))
        return process

    def wait_ready(self, name, seconds=15):
        address = self.edges[name]["listen_ready"]
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            try:
                with urllib.request.urlopen(f"http://{address}/-/ready", timeout=1) as response:
                    if response.status == 200:
                        return
            except OSError:
                pass
            time.sleep(0.05)
        raise CannotRun(f"{name} isn't ready")

    def edge_log(self, name):
        with open(os.path.join(self.folder.name, f"{name}.log"), encoding="utf-8") as file:
            return file.read()

    def end(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        self.folder.cleanup()


class Link:
    """The network between the edges and one server: a TCP proxy that can hold up all bytes and ends
    of connections for a time, and then lets them through, as a cut does that heals."""

    def __init__(self, target):
        self.target = target
        self.open = threading.Event()
        self.open.set()
        self.listener = socket.create_server((IP, 0), backlog=256)
        self.address = f"{IP}:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            near, _ = self.listener.accept()
            threading.Thread(target=self.carry, args=(near,), daemon=True).start()

    def carry(self, near):
        self.open.wait()
        host, port = self.target.rsplit(":", 1)
        try:
            far = socket.create_connection((host, int(port)), 2)
        except OSError:
            # Nobody listens there: the connection is reset.
            near.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            near.close()
            return
        for one in (near, far):
            one.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=self.pump, args=(near, far), daemon=True).start()
        self.pump(far, near)

    def pump(self, source, sink):
        try:
            while True:
                data = source.recv(65536)
                self.open.wait()
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(data)
        except OSError:
            # A reset at one side is passed on to the other.
            for one in (source, sink):
                try:
                    one.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                    one.close()
                except OSError:
                    pass


class Answer:
    """What a client saw: status, fields, body, and whether the answer was complete."""

    def __init__(self):
        self.status = 0
        self.fields = {}
        self.body = b""
        self.whole = False
        self.why = ""


def call(address, path, fields, body=b"", on_piece=None, timeout=30.0, method="POST"):
    """One request over a connection of its own. The end of the answer is seen as HTTP/1.1 has it."""
    answer = Answer()
    host, port = address.rsplit(":", 1)
    try:
        with socket.create_connection((host, int(port)), 1) as connection:
            connection.settimeout(timeout)
            head = f"{method} {path} HTTP/1.1\r\n"
            for name, value in fields.items():
                head += f"{name}: {value}\r\n"
            head += f"Content-Length: {len(body)}\r\n\r\n"
            connection.sendall(head.encode() + body)
            read_answer(connection, answer, on_piece)
    except OSError as error:
        answer.why = answer.why or str(error)
    return answer


def read_answer(connection, answer, on_piece):
    data = b""

    def more():
        nonlocal data
        got = connection.recv(65536)
        if not got:
            raise ConnectionError("the connection ended")
        data += got

    while b"\r\n\r\n" not in data:
        more()
    head, data = data.split(b"\r\n\r\n", 1)
    lines = head.decode("latin-1").split("\r\n")
    answer.status = int(lines[0].split(" ")[1])
    for line in lines[1:]:
        name, value = line.split(":", 1)
        answer.fields[name.strip().lower()] = value.strip()
    if answer.fields.get("transfer-encoding", "").lower() == "chunked":
        while True:
            while b"\r\n" not in data:
                more()
            line, data = data.split(b"\r\n", 1)
            size = int(line.split(b";")[0], 16)
            while len(data) < size + 2:
                more()
            answer.body += data[:size]
            data = data[size + 2:]
            if size == 0:
                answer.whole = True
                return
            if on_piece:
                on_piece(answer)
    length = int(answer.fields.get("content-length", "-1"))
    if length < 0:
        while True:
            got = connection.recv(65536)
            if not got:
                answer.body = data
                answer.whole = True
                return
            data += got
    while len(data) < length:
        more()
    answer.body = data[:length]
    answer.whole = True


def chat_route():
    """Like the route of `chat-turn` in the site file: it may not be resumed, and is sent once."""
    return {"name": "chat-turn", "host": "site.example", "path-prefix": "/chat/", "type": "streaming",
            "timeout-ms": 15000, "slo-ms": 400, "gap-target-ms": 300, "priority": 0,
            "backend": "luthier-llm", "max-attempts": 1, "resumable": False}


def engine_service():
    return {"name": "luthier-llm", "max-conns": 370, "health-path": "/healthz",
            "engine": {"stride": 4, "kv-tokens": 277892}}


class Stream(threading.Thread):
    """A client that asks for a stream of `events` events without a length, on a thread."""

    def __init__(self, deployment, edge, request, events, gap_ms):
        super().__init__(daemon=True)
        self.deployment = deployment
        self.address = deployment.edges[edge]["listen"]
        self.request = request
        self.events = events
        self.gap_ms = gap_ms
        self.answer = None
        self.server = ""

    def run(self):
        self.deployment.note(f"client: sends {self.request}")
        fields = {"Host": "site.example", "Request-Id": self.request, "Deadline-Ms": "15000",
                  "X-Length": "none", "X-Events": str(self.events), "X-Gap-Ms": str(self.gap_ms)}

        def on_piece(answer):
            self.server = answer.fields.get("response-stamp", "").split(".")[0]

        self.answer = call(self.address, "/chat/turn", fields, b"{}", on_piece, timeout=16.0)
        self.deployment.note(
            f"client: {self.request} got {self.answer.status} of {self.server}, {self.received()} of "
            f"{self.events} events, " + ("complete" if self.answer.whole else "broken off"))

    def received(self):
        return self.answer.body.count(b"\n\n")

    def looks_complete_but_is_not(self):
        return self.answer.status == 200 and self.answer.whole and self.received() < self.events


def run_streams(deployment, edge, count, events, gap_ms):
    """Starts `count` streams and waits until each has had its first event."""
    streams = [Stream(deployment, edge, f"q{n:03}", events, gap_ms) for n in range(1, count + 1)]
    for stream in streams:
        stream.start()
        time.sleep(0.02)
    until = time.monotonic() + 3
    while not all(stream.server for stream in streams):
        if time.monotonic() > until:
            raise CannotRun("a stream didn't begin")
        time.sleep(0.02)
    return streams


def verdict_of(deployment, streams):
    for stream in streams:
        stream.join(20)
        if stream.is_alive() or stream.answer is None:
            raise CannotRun(f"{stream.request} has no end")
    wrong = [stream.request for stream in streams if stream.looks_complete_but_is_not()]
    deployment.note(f"{len(wrong)} of {len(streams)} streams ended as complete before their last "
                    f"event: {' '.join(wrong)}")
    return BROKEN if wrong else HELD


def run_case(main):
    """Runs main(deployment, trouble) and exits with its verdict."""
    record = os.path.join(os.path.dirname(os.path.abspath(sys.argv[0])), "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    if not os.access(EDGE, os.X_OK):
        print("target/bin/sequoia-edge isn't built", file=sys.stderr)
        sys.exit(NOT_RUN)
    verdict = NOT_RUN
    deployment = None

    def give_up(number, _):
        raise CannotRun(f"ended by signal {number}")

    signal.signal(signal.SIGALRM, give_up)
    signal.signal(signal.SIGTERM, give_up)
    signal.alarm(LIMIT_S)
    try:
        deployment = Deployment(record)
        deployment.note(f"case begins, trouble {'on' if trouble else 'off'}")
        verdict = main(deployment, trouble)
        deployment.note({HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN",
                         NOT_RUN: "the case couldn't run"}[verdict])
    except Exception as error:  # whatever it is, the case hasn't shown anything
        print(f"{type(error).__name__}: {error}", file=sys.stderr)
        if deployment:
            deployment.note(f"the case couldn't run: {type(error).__name__}: {error}")
        verdict = NOT_RUN
    finally:
        if deployment:
            deployment.end()
    sys.exit(verdict)
