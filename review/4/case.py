"""Two of the three machines of a zone are stopped in turn while clients open connections. Judged are
requests that a stopping machine read, sent on and cut off, though they were sent later than 3 s after
its SIGTERM."""

import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from standins import (CannotRun, Host, Server, TROUBLE, call, configuration, request_fields,
                      run_case)

GRACE_S = 8.0
GAP_S = 1.3          # between the two stops (the site's own roll_term)
TAKEN_S = 3.0        # requests that are sent later aren't excused by the rule
PER_S = 150          # new connections a second, to the zone
LONG_PIECES, PAUSE = 60, 0.1


class Llm(Server):
    """Streams as many pieces as the request asks for."""

    async def work(self, reader, writer, method, target, fields, body):
        ident = fields.get("request-id", "")
        pieces = LONG_PIECES if ident.startswith("long") else 2
        lines = ["HTTP/1.1 200 OK"] + ["%s: %s" % field for field in self.stamp(ident)]
        lines += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        for number in range(1, pieces + 1):
            event = b"id: %d\ndata: x\n\n" % number
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(PAUSE if pieces > 2 else 0)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


class Balancer:
    """Asks each machine once a second; two misses take it out. Where fewer than half of the zone's
    machines are in, all of them are used."""

    def __init__(self, hosts):
        self.hosts = hosts
        self.misses = {host: 0 for host in hosts}
        self.next = 0

    async def ask(self, host):
        while True:
            answer = await call(host.ready, "GET", "/-/ready", {"Host": "ready"})
            self.misses[host] = 0 if answer.status == 200 else self.misses[host] + 1
            await asyncio.sleep(1.0)

    def pick(self):
        inside = [host for host in self.hosts if self.misses[host] < 2]
        used = inside if 2 * len(inside) >= len(self.hosts) else self.hosts
        self.next += 1
        return used[self.next % len(used)]


async def case(deployment):
    record = deployment.record
    servers = [Llm(lambda text: None, "i-llm-%d" % number, "llm", zone, deployment.ip(100 + number),
                   8340, 128) for number, zone in ((1, "z-a"), (2, "z-b"), (3, "z-c"))]
    for server in servers:
        await server.start()
        await deployment.list(server)
    await deployment.store.listen(*deployment.store_address)
    await deployment.configure(configuration(7))
    for number in (1, 2, 3):
        deployment.hosts.append(Host(deployment, "edge-%d" % number, "z-a", deployment.ip(number),
                                     deployment.store_address))
    for host in deployment.hosts:
        host.start()
    for host in deployment.hosts:
        await host.until_ready()
    tasks = [asyncio.create_task(deployment.beat(server)) for server in servers]
    balancer = Balancer(deployment.hosts)
    tasks += [asyncio.create_task(balancer.ask(host)) for host in deployment.hosts]
    await asyncio.sleep(3)

    stopped = {}      # host -> when it got SIGTERM (without trouble: when it would have)
    results = []      # (host, id, sent at, answer, ended at)
    running = set()

    async def stop_in_turn():
        for host in deployment.hosts[:2]:
            stopped[host] = time.monotonic()
            if TROUBLE:
                host.signal(signal.SIGTERM)
            await asyncio.sleep(GAP_S)

    async def ask(host, ident):
        sent = time.monotonic()
        answer = await call(host.front, "POST", "/chat/1",
                            request_fields(ident, 15000, "100,400"), b"hello")
        results.append((host, ident, sent, answer, time.monotonic()))

    begun = time.monotonic()
    stops = asyncio.create_task(stop_in_turn())
    number = 0
    while time.monotonic() < begun + GAP_S + 3.3:
        number += 1
        host = balancer.pick()
        now = time.monotonic()
        # Long answers are asked for where the stop is 2.9 s old or more.
        is_long = host in stopped and now > stopped[host] + 2.9
        task = asyncio.create_task(ask(host, "%s-%d" % ("long" if is_long else "short", number)))
        running.add(task)
        task.add_done_callback(running.discard)
        await asyncio.sleep(max(0.0, begun + number / PER_S - time.monotonic()))
    await stops
    await asyncio.gather(*running)
    for task in tasks:
        task.cancel()

    ran = {ident for server in servers for ident, _ in server.runs}
    lost = whole = 0
    for host, ident, sent, answer, ended in sorted(results, key=lambda result: result[2]):
        whole += answer.status == 200 and answer.whole
        if not ident.startswith("long") or host not in stopped:
            continue
        after = sent - stopped[host]
        record("%s sent to %s %.3f s after its stop: %s, %d of %d pieces, ended after %.2f s"
               % (ident, host.name, after, answer, len(answer.ids()), LONG_PIECES,
                  ended - stopped[host]))
        is_cut = ident in ran and not answer.whole
        if after > TAKEN_S and is_cut and ended < stopped[host] + GRACE_S + 1:
            lost += 1
    record("%d requests, %d whole answers" % (len(results), whole))
    if lost:
        record("BROKEN (LOST): %d requests that were sent later than 3 s after SIGTERM were read, sent "
               "on and cut off by the stopping machine" % lost)
    if not TROUBLE and whole != len(results):
        raise CannotRun("not all served without trouble")
    return bool(lost)


run_case(case, os.path.dirname(os.path.abspath(__file__)))
