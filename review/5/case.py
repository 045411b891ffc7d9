"""A server leaves: its entry is removed, and it serves on for a while. A heartbeat that it wrote
before, and whose answer was lost, is carried out by the store after the removal."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from standins import (CannotRun, Host, Server, TROUBLE, call, configuration, request_fields,
                      response, run_case)

DRAIN_S = 2.0        # drain-ms
BEAT_S = 1.2         # beat-ms
BEFORE_S = 3.3       # from the lost heartbeat to the removal: over stable-ms
LATE_S = 5.8         # the store carries the lost call out so much later (1 to 6 s)
SERVES_ON_S = 5.0    # after the removal: drain-ms "and a little longer (at times many seconds)"
WORK_S = 0.3


class Desk(Server):
    def __init__(self, *args):
        super().__init__(*args)
        self.arrivals = []  # (time, id)
        self.ended = False

    async def work(self, reader, writer, method, target, fields, body):
        ident = fields.get("request-id", "")
        self.arrivals.append((time.monotonic(), ident))
        await asyncio.sleep(WORK_S)
        if self.ended:
            raise ConnectionError
        writer.write(response(200, b"booked " + ident.encode(), self.stamp(ident)))
        await writer.drain()
        return True


async def case(deployment):
    record, store = deployment.record, deployment.store
    leaving = Desk(record, "i-desk-1", "desk", "z-a", deployment.ip(101), 8340, 6)
    others = [Desk(record, "i-desk-2", "desk", "z-b", deployment.ip(102), 8340, 6),
              Desk(record, "i-desk-3", "desk", "z-c", deployment.ip(103), 8340, 6)]
    for server in [leaving] + others:
        await server.start()
        await deployment.list(server)
    await store.listen(*deployment.store_address)
    await deployment.configure(configuration(7))
    for number, zone in ((1, "z-a"), (2, "z-b")):
        deployment.hosts.append(Host(deployment, "edge-%d" % number, zone, deployment.ip(number),
                                     deployment.store_address))
    for host in deployment.hosts:
        host.start()
    for host in deployment.hosts:
        await host.until_ready()
    tasks = [asyncio.create_task(deployment.beat(server, BEAT_S)) for server in others]
    answers = {}
    stop = asyncio.Event()

    async def client(host):
        number = 0
        while not stop.is_set():
            number += 1
            ident = "%s-%d" % (host.name, number)

            async def attempt(ident=ident):
                answers[ident] = await call(host.front, "POST", "/commit/1",
                                            request_fields(ident, 1500), b"slot")
            tasks.append(asyncio.create_task(attempt()))
            await asyncio.sleep(0.1)

    clients = [asyncio.create_task(client(host)) for host in deployment.hosts]
    for _ in range(2):
        await asyncio.sleep(BEAT_S)
        await deployment.list(leaving)

    lost = leaving.entry()
    record("i-desk-1 writes a heartbeat (seq %d)%s" % (leaving.seq, "; it gets no answer, and the "
           "store will carry it out %.1f s later" % LATE_S if TROUBLE else ""))
    lost_at = time.monotonic()
    if not TROUBLE:
        await store.put("keyed.servers", leaving.id, lost)
    for _ in range(2):
        await asyncio.sleep(BEAT_S)
        await deployment.list(leaving)
    await asyncio.sleep(max(0.0, lost_at + BEFORE_S - time.monotonic()))
    await store.put("keyed.servers", leaving.id, b"")
    removed_at = time.monotonic()
    record("the entry of i-desk-1 (seq %d by now) is removed; the server serves on" % leaving.seq)
    await asyncio.sleep(max(0.0, lost_at + LATE_S - time.monotonic()))
    if TROUBLE:
        await store.put("keyed.servers", leaving.id, lost)
        record("the store carries out the lost heartbeat")
    await asyncio.sleep(max(0.0, removed_at + SERVES_ON_S - time.monotonic()))
    leaving.ended = True
    leaving.server.close()
    record("i-desk-1 ends")
    await asyncio.sleep(1.0)
    stop.set()
    await asyncio.sleep(2.0)
    for task in tasks + clients:
        task.cancel()

    before = [ident for at, ident in leaving.arrivals if at < removed_at]
    late = [(at - removed_at, ident) for at, ident in leaving.arrivals
            if at > removed_at + DRAIN_S]
    if not before:
        raise CannotRun("i-desk-1 was never used")
    record("i-desk-1 got %d requests before its removal" % len(before))
    for after, ident in late:
        record("%s reached i-desk-1 %.2f s after its removal: %s" % (ident, after,
                                                                  answers.get(ident, "no answer")))
    cut = [ident for _, ident in late if ident in answers and answers[ident].status != 200]
    if late:
        record("BROKEN (DRAIN): %d requests reached i-desk-1 later than drain-ms after the store had "
               "acknowledged that it is gone; %d of them were cut off by its end"
               % (len(late), len(cut)))
    return bool(late)


run_case(case, os.path.dirname(os.path.abspath(__file__)))
