"""A small deployment on loopback addresses: daemons, a store, engines and clients.

The daemons are the program of deploy/system.toml, each a process with settings from the template of
that file. Engines are processes of this file. The store and the clients run in the process of the case.
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
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "release", "cornelwharf-edge")
HOST = "wharf.example"
KEY = "k1parent"
TENANT = "parents"
LLM, PLAIN = "wharf-llm", "swap-ledger"
LAYERS = 8
# The bounds of the site threadbare-swap.
BOUNDS = dict(
    seedLagS=3, reuseAfterS=2, contactMs=3000, ackMs=4000, catchUpS=4, drainMs=2000, graceS=8,
    lossSlackMs=200, configApplyMs=2000, downgradeSlackMs=250, outerBoundMs=5000,
    strictRevocation=False, revokeMs=5000, retryBudgetRatio=0.2, budgetWindowS=10,
    retryBudgetExtra=425, recoverS=12, passMs=120, retryAfterS=0, stall_ms=2500,
    fencingEnforced=True, ttl_max_s=5,
)
HEARTBEAT_S = 1.2
ENTRY_TTL_S = 3 * HEARTBEAT_S
ZONES = ["zone-portland", "zone-worcester", "zone-hartford"]


class CannotRun(Exception):
    """The case cannot run here, which says nothing about the rule."""


def now_ms():
    return int(time.time() * 1000)


# HTTP, as far as the stand-ins need it.


async def read_head(reader):
    """Returns the first line and the headers, or None if the peer closed the connection."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = text.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, found, value = line.partition(":")
        if found:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Returns the body of a message and whether it is whole."""
    body = b""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                part = await reader.readexactly(size + 2)
                if size == 0:
                    return body, True
                body += part[:-2]
        if "content-length" in headers:
            length = int(headers["content-length"])
            while len(body) < length:
                part = await reader.read(length - len(body))
                if not part:
                    return body, False
                body += part
            return body, True
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return body, False
    return body, True


def response(status, body=b"", headers=()):
    reason = {200: "OK", 202: "Accepted", 404: "Not Found", 421: "Misdirected Request",
              503: "Service Unavailable", 410: "Gone", 409: "Conflict", 500: "Internal Server Error"}
    head = [f"HTTP/1.1 {status} {reason.get(status, 'Status')}"]
    head += [f"{name}: {value}" for name, value in headers]
    head.append(f"content-length: {len(body)}")
    return ("\r\n".join(head) + "\r\n\r\n").encode() + body


def query(target):
    path, _, text = target.partition("?")
    pairs = [pair.partition("=") for pair in text.split("&") if pair]
    return path, {name: value for name, _, value in pairs}


# The platform's store.


class Store:
    """Keyed topics with one partition each, which keep all records."""

    def __init__(self):
        self.topics = {}
        self.news = asyncio.Event()
        self.server = None

    async def listen(self, ip, port):
        self.server = await asyncio.start_server(self.serve, ip, port)

    def put(self, topic, key, value):
        records = self.topics.setdefault(topic, [])
        records.append((key, value))
        news, self.news = self.news, asyncio.Event()
        news.set()
        return len(records) - 1

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                method, target, _ = head[0].split(" ", 2)
                body, whole = await read_body(reader, head[1])
                if not whole:
                    return
                writer.write(await self.answer(method, target, body))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        path, args = query(target)
        topic = args.get("topic", "")
        era = [("store-era", "0")]
        if path == "/v1/log-newest":
            newest = {}
            for offset, (key, value) in enumerate(self.topics.get(topic, [])):
                newest[key] = (offset, value)
            entries = [
                {"key": key, "data": base64.b64encode(value).decode(), "offset": offset}
                for key, (offset, value) in sorted(newest.items()) if value
            ]
            end = len(self.topics.get(topic, []))
            text = json.dumps({"entries": entries, "hasMore": False, "endOffset": end})
            return response(200, text.encode(), era + [("content-type", "application/json")])
        if path == "/v1/log-read":
            source = int(args.get("source", 0))
            until = time.monotonic() + int(args.get("waitMs", 0)) / 1000
            while len(self.topics.get(topic, [])) <= source and time.monotonic() < until:
                try:
                    left = max(until - time.monotonic(), 0.001)
                    await asyncio.wait_for(asyncio.shield(self.news.wait()), left)
                except asyncio.TimeoutError:
                    pass
            records = self.topics.get(topic, [])
            data = struct.pack(">QQ", len(records), 0)
            for key, value in records[source:]:
                key = key.encode()
                data += struct.pack(">IB", 1 + len(key) + len(value), len(key)) + key + value
            return response(200, data, era)
        if path == "/v1/log-append":
            first = None
            while body:
                size = struct.unpack(">I", body[:4])[0]
                record, body = body[4:4 + size], body[4 + size:]
                key = record[1:1 + record[0]].decode()
                offset = self.put(topic, key, record[1 + record[0]:])
                first = offset if first is None else first
            end = len(self.topics.get(topic, []))
            text = json.dumps({"offset": first if first is not None else end, "endOffset": end})
            return response(200, text.encode(), era + [("content-type", "application/json")])
        return response(404, b"", era)


def config(routes):
    """The operator's configuration; the figures are those of threadbare-swap, with a model of 8 layers."""

    def route(name, kind, service, timeout, target, **more):
        base = dict(
            name=name, hostname=HOST, pathPrefix=f"/{name}/", routeType=kind, timeoutMs=timeout,
            targetLatencyMs=target, priority=2, service=service, maxAttempts=2, public=False,
            sessionAffinity=service == LLM, streamResume=False,
        )
        if kind == "streaming":
            base["targetGapMs"] = 200
        base.update(more)
        return base

    engine = dict(
        slots=192, kvCapacityTokens=100000, kvTokenBytes=459000, linkMbps=480000.0, stride=2,
        models=[dict(name="m", pace=1.0, loadS=14.0, warmS=1.0)], step_ms=0.85, per_seq_ms=0.00297,
        context_per_k=0.00398, read_per_s=252000.0, pairs_per_m=0.129, chunk=512,
        report_lag_ms=200.0, loadsPerS=0.0, loads_at_once=6, delays=[],
        usual=dict(prompt=760, answer=77), layers=LAYERS, layerMb=1750.0, activationBytes=22900,
        pipeMbps=7900.0, types=[dict(name="a100s", sizeMb=36000.0, pace=3.1, readFactor=3.2)],
    )
    plain = dict(name=PLAIN, healthPath="/healthz", maxConnections=208, protocol="h1", tls=False)
    model = dict(name=LLM, healthPath="/healthz", maxConnections=2292, protocol="h1", tls=False,
                 engine=engine)
    return dict(
        version=1,
        routes=[route(*args, **more) for args, more in routes],
        services=[plain, model],
        limits=dict(maxHeaderBytes=16384, maxBodyBytes=65536, headerTimeoutMs=3000,
                    idleTimeoutMs=15000),
        tenants=[dict(name=TENANT, apiKeys=[KEY])],
    )


# Engines: a process each.


class Engine:
    """The process of one engine. What it does is in the JSON on its command line."""

    def __init__(self, plan):
        self.plan = plan
        self.active = 0
        self.log = open(plan["log"], "a", buffering=1)

    def note(self, what, request):
        self.log.write(f"{now_ms()} {what} {request} {self.plan['id']}\n")

    async def run(self):
        host, port = self.plan["addr"].split(":")
        server = await asyncio.start_server(self.serve, host, int(port), backlog=256)
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, lambda: os._exit(0))
        async with server:
            await server.serve_forever()

    async def serve(self, reader, writer):
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                method, target, _ = head[0].split(" ", 2)
                body, whole = await read_body(reader, head[1])
                if not whole or not await self.handle(reader, writer, method, target, head[1], body):
                    return
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def report(self):
        spans = [dict(source=0, target=LAYERS, version=1)] if self.plan["service"] == LLM else []
        return dict(phase="all", models=[], layers=spans, busy=False, sequence=0, queued=0,
                    active=self.active, kvUsed=0, kvTotal=100000 * LAYERS, handlers=0, pace=1.0,
                    born=self.plan["born"], stalledServers=[])

    async def handle(self, reader, writer, method, target, headers, body):
        """Answers a request; returns whether the connection may carry another."""
        path, _ = query(target)
        ask = headers.get("x-request-id", "")
        expected = headers.get("x-expect-instance")
        if expected is not None and expected != self.plan["id"]:
            writer.write(response(421, b"", [("x-request-id", ask)]))
            return True
        if path == "/v1/report":
            text = json.dumps(self.report()).encode()
            writer.write(response(200, text, [("content-type", "application/json")]))
            return True
        if path == "/healthz":
            writer.write(response(200, b"", [("x-instance-id", self.plan["id"])]))
            return True
        if path == "/v1/order":
            writer.write(response(200))
            return True
        if self.active >= self.plan["slots"]:
            self.note("reject", ask)
            more = [("x-request-id", ask), ("x-not-executed", "full")]
            if self.plan.get("retry_after"):
                more.append(("retry-after", str(self.plan["retry_after"])))
            writer.write(response(503, b"", more))
            return True
        self.active += 1
        self.note("run", ask)
        if self.plan.get("crash_on") == path:
            self.note("crash", ask)
            os._exit(1)
        try:
            if self.plan["service"] == LLM:
                return await self.stream(writer, ask, headers)
            return await self.call(writer, ask)
        finally:
            self.active -= 1

    def is_next_open(self):
        """Tells whether the next answer has no length and ends with its channel."""
        return random.random() < self.plan.get("open_share", 0)

    def head(self, ask, media, framing):
        lines = ["HTTP/1.1 200 OK", f"x-request-id: {ask}",
                 f"x-server-signature: {self.plan['id']}.{ask}", f"content-type: {media}", framing]
        return "\r\n".join(line for line in lines if line).encode() + b"\r\n\r\n"

    async def stream(self, writer, ask, headers):
        is_open = self.is_next_open()
        last = int(headers.get("last-event-id", 0))
        framing = "connection: close" if is_open else "transfer-encoding: chunked"
        data = self.head(ask, "text/event-stream", framing)
        for number in range(last + 1, self.plan["events"] + 1):
            await asyncio.sleep(self.plan["gap_ms"] / 1000)
            event = f"id: {number}\ndata: {ask} {number}\n\n".encode()
            data += event if is_open else b"%x\r\n%s\r\n" % (len(event), event)
            if number == self.plan["events"]:
                data += self.plan.get("tail", "").encode() if is_open else b"0\r\n\r\n"
            writer.write(data)
            await writer.drain()
            data = b""
        if data:
            writer.write(data + (b"" if is_open else b"0\r\n\r\n"))
        self.note("end-open" if is_open else "end", ask)
        return not is_open

    async def call(self, writer, ask):
        """Sends an answer in two halves, the first one early."""
        is_open = self.is_next_open()
        body = whole_body(ask)
        half = len(body) // 2
        framing = "connection: close" if is_open else f"content-length: {len(body)}"
        early = self.plan["work_ms"] / 10
        await asyncio.sleep(early / 1000)
        writer.write(self.head(ask, "text/plain", framing) + body[:half])
        await writer.drain()
        await asyncio.sleep((self.plan["work_ms"] - early) / 1000)
        writer.write(body[half:])
        await writer.drain()
        self.note("end-open" if is_open else "end", ask)
        return not is_open


def whole_body(ask):
    """The body of an engine's answer, 800 bytes as on the sheet."""
    return (f"credit for {ask};" * 100).encode()[:800]


# The deployment.


class World:
    def __init__(self, record, routes, daemons=3):
        self.record_file = open(record, "w", buffering=1)
        self.start = time.monotonic()
        self.dir = tempfile.mkdtemp(prefix="cornelwharf-review-")
        self.store = Store()
        self.routes = routes
        self.daemons = []
        self.readers = []
        self.engines = {}
        self.count = daemons
        self.tasks = []
        pid = os.getpid()
        self.net = f"127.{40 + pid % 80}.{1 + pid // 80 % 250}"
        self.port = 0

    def note(self, text):
        line = f"{time.monotonic() - self.start:8.3f} {text}"
        self.record_file.write(line + "\n")

    def pick_ports(self):
        """Finds ports that are free on all addresses of this run."""
        for _ in range(50):
            base = random.randint(20000, 29000)
            if all(self.is_free(f"{self.net}.{host}", base + k)
                   for host in [1] + list(range(10, 40)) for k in range(6)):
                return base
        raise CannotRun("no free ports")

    @staticmethod
    def is_free(ip, port):
        probe = socket.socket()
        try:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            probe.bind((ip, port))
            return True
        except OSError:
            return False
        finally:
            probe.close()

    async def begin(self, engines):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("the program of deploy/system.toml is not built")
        self.port = self.pick_ports()
        await self.store.listen(f"{self.net}.1", self.port)
        self.store.put("keyed.op", "config", json.dumps(config(self.routes)).encode())
        for slot, plan in enumerate(engines):
            await self.start_engine(slot, plan)
        for index in range(self.count):
            self.daemons.append(None)
            self.start_daemon(index)
        for index in range(self.count):
            await self.wait_ready(index)
        # All machines are in touch after this.
        await asyncio.sleep(BOUNDS["contactMs"] / 1000 + 0.5)
        self.note("all daemons are ready")

    async def start_engine(self, slot, plan):
        plan = dict(plan)
        number = len(self.engines)
        plan.setdefault("id", f"i-{number:02d}{random.randrange(1 << 24):06x}")
        plan["addr"] = f"{self.net}.{20 + slot}:{self.port}"
        plan["born"] = now_ms()
        plan["log"] = os.path.join(self.dir, "engines.log")
        plan["zone"] = ZONES[slot % 3]
        child = subprocess.Popen([sys.executable, os.path.abspath(__file__), "engine", json.dumps(plan)],
                                 stdin=subprocess.DEVNULL)
        self.engines[plan["id"]] = dict(plan=plan, child=child, state="ready", sequence=0)
        for _ in range(500):
            try:
                _, writer = await asyncio.open_connection(*plan["addr"].split(":"))
                writer.close()
                break
            except OSError:
                await asyncio.sleep(0.01)
        else:
            raise CannotRun("an engine does not start")
        self.write_entry(plan["id"])
        self.tasks.append(asyncio.ensure_future(self.heartbeat(plan["id"])))
        self.note(f"engine {plan['id']} starts for {plan['service']}, process {child.pid}")
        return plan["id"]

    def write_entry(self, name):
        engine = self.engines[name]
        plan = engine["plan"]
        engine["sequence"] += 1
        entry = dict(service=plan["service"], address=plan["addr"], zone=plan["zone"], version="v1",
                     slots=plan["slots"], state=engine["state"], coldRemainingMs=0,
                     sequence=engine["sequence"], born=plan["born"])
        if plan["service"] == LLM:
            entry.update(phase="all", models=[], routeType="a100s",
                         layers=[dict(source=0, target=LAYERS, version=1)])
        self.store.put("keyed.servers", name, json.dumps(entry).encode())

    async def heartbeat(self, name):
        """Writes an engine's entry while its process runs; without it, the entry expires."""
        engine = self.engines[name]
        silent = None
        while True:
            await asyncio.sleep(0.1 if silent is not None else HEARTBEAT_S)
            if engine["child"].poll() is None and not engine.get("stopped"):
                silent = None
                self.write_entry(name)
                continue
            silent = time.monotonic() if silent is None else silent
            gone = engine["state"] == "draining" and engine["child"].poll() is not None
            if gone or time.monotonic() - silent >= ENTRY_TTL_S - HEARTBEAT_S:
                self.store.put("keyed.servers", name, b"")
                self.note(f"the entry of engine {name} is removed")
                return

    def drain_engine(self, name):
        """The engine reports that it is leaving, and the store accepts that."""
        self.engines[name]["state"] = "draining"
        self.write_entry(name)
        self.note(f"engine {name} reports draining, accepted by the store")

    def signal_engine(self, name, number, what):
        engine = self.engines[name]
        engine["stopped"] = number == signal.SIGSTOP
        engine["child"].send_signal(number)
        self.note(f"engine {name} {what}")

    def settings(self, index):
        ip = f"{self.net}.{10 + index}"
        port = self.port
        seeds = [f"{self.net}.{10 + i}:{port + 3}" for i in range(min(self.count, 3))]
        return dict(
            nodeName=f"edge-{ZONES[index % 3]}-{index}", ip=ip, zone=ZONES[index % 3],
            listen=dict(frontend=f"{ip}:{port}", ready=f"{ip}:{port + 1}",
                        directoryAddr=f"{ip}:{port + 2}", controlPlane=f"{ip}:{port + 3}"),
            internalPorts=[port + 4, port + 5], seeds=seeds,
            limits=dict(cpuShare=0.17, cores=1, memoryMb=182, maxFds=2940), bounds=BOUNDS,
            platform=dict(address=f"{self.net}.1:{port}"),
        )

    def start_daemon(self, index):
        with open(os.path.join(ROOT, "deploy", "settings.yaml"), encoding="utf-8") as file:
            template = file.read()
        fields = self.settings(index)

        def fill(match):
            name, _, form = match.group(1).partition("|")
            value = fields
            for step in name.split("."):
                value = value[int(step)] if isinstance(value, list) else value[step]
            return json.dumps(value) if form == "json" else str(value)

        path = os.path.join(self.dir, f"daemon-{index}.yaml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(re.sub(r"\{\{([^}]+)\}\}", fill, template))
        log = open(os.path.join(self.dir, f"daemon-{index}.log"), "a")
        # The platform's log reader: a process that reads what the daemon writes.
        reader = subprocess.Popen(["cat"], stdin=subprocess.PIPE, stdout=log, stderr=log)
        self.readers.append(reader)
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["CORNELWHARF_CONFIG"] = path
        self.daemons[index] = subprocess.Popen([PROGRAM], cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
                                               stdout=reader.stdin, stderr=reader.stdin)
        reader.stdin.close()
        self.note(f"daemon {index} starts, process {self.daemons[index].pid}")

    async def wait_ready(self, index):
        for _ in range(400):
            try:
                status, _, _, _ = await exchange(f"{self.net}.{10 + index}", self.port + 1, "GET",
                                                 "/v1/readyz", {}, b"", 1.0)
                if status == 200:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.05)
        raise CannotRun(f"daemon {index} does not become ready")

    def front(self, index):
        return f"{self.net}.{10 + index}", self.port

    async def ask(self, daemon, path, name, deadline_ms, limit, stream=False):
        """Sends a request to a daemon, and records it and its answer."""
        ip, port = self.front(daemon)
        headers = request_headers(name, deadline_ms, stream)
        self.note(f"sent: {name} to daemon {daemon}, POST {path}")
        begun = time.monotonic()
        answer = await exchange(ip, port, "POST", path, headers, b"{}", limit)
        status, _, body, whole = answer
        taken = time.monotonic() - begun
        ids = event_ids(body) if stream else []
        size = f"events {ids[0]} to {ids[-1]}" if ids else f"{len(body)} bytes"
        end = "whole" if whole else "broken off" if status else "after which the caller left"
        self.note(f"answered: {name} by daemon {daemon}, {status or 'nothing'}, {size}, {end}, "
                  f"{taken:.3f} s")
        return answer

    def runs(self):
        """What engines did: (time, what, request, engine)."""
        try:
            with open(os.path.join(self.dir, "engines.log"), encoding="utf-8") as file:
                rows = [line.split() for line in file]
        except FileNotFoundError:
            return []
        return [(int(row[0]), row[1], row[2], row[3]) for row in rows]

    def daemon_lines(self, *words):
        lines = []
        for index in range(self.count):
            with open(os.path.join(self.dir, f"daemon-{index}.log"), encoding="utf-8") as file:
                lines += [line.rstrip() for line in file if any(word in line for word in words)]
        return lines

    async def end(self):
        for task in self.tasks:
            task.cancel()
        children = [child for child in self.daemons if child] + self.readers + [
            engine["child"] for engine in self.engines.values()]
        for child in children:
            if child.poll() is None:
                child.send_signal(signal.SIGCONT)
                child.kill()
            child.wait()
        for when, what, request, engine in self.runs():
            self.note(f"engine {engine}, at {when}: {what} {request}")
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.dir, ignore_errors=True)


# Clients.


async def exchange(ip, port, method, target, headers, body, limit):
    """One request on a new connection: status, headers, body, whether the answer is whole."""

    async def work():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            lines = [f"{method} {target} HTTP/1.1", f"host: {HOST}"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if body or method == "POST":
                lines.append(f"content-length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            head = await read_head(reader)
            if head is None:
                return 0, {}, b"", False
            text, whole = await read_body(reader, head[1])
            return int(head[0].split()[1]), head[1], text, whole
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(work(), limit)
    except asyncio.TimeoutError:
        return 0, {}, b"", False


def request_headers(ask, deadline_ms, stream=False):
    headers = {"x-request-id": ask, "x-deadline-ms": str(deadline_ms),
               "authorization": f"Token {KEY}"}
    if stream:
        headers.update({"x-model": "m", "x-token-usage": "760,200",
                        "x-prefix-hash": f"5c1e07a2:40,{random.randrange(1 << 32):08x}:720"})
    return headers


def event_ids(body):
    return [int(line[3:]) for line in body.decode().split("\n") if line.startswith("id:")]


def main(case):
    """Runs a case; it returns the ways in which the rule was broken."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = os.path.join(os.path.dirname(os.path.abspath(sys.argv[0])), "record.txt")
    try:
        broken = asyncio.run(asyncio.wait_for(case(record, trouble), 110))
    except Exception as error:  # whatever it is, it says nothing about the rule
        print(f"could not run: {error!r}")
        sys.exit(2)
    for line in broken:
        print(line)
    with open(record, "a", encoding="utf-8") as file:
        file.write("".join(f"broken: {line}\n" for line in broken) or "the rule held\n")
    sys.exit(1 if broken else 0)


if __name__ == "__main__" and sys.argv[1:2] == ["engine"]:
    asyncio.run(Engine(json.loads(sys.argv[2])).run())
