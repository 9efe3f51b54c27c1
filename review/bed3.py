"""Stand-ins for the cases 11 to 15: store, targets, clients and routers, on loopback addresses.

They follow PROTOCOL.md and DEPLOY.md. The relay processes run with the command of the deploy file,
in the repository root. One asyncio loop holds all stand-ins of a case.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import zlib
from urllib.parse import unquote

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
SYN, ACK, FIN, RST, BOUNCED = 32, 128, 64, 2, 8
HEADER = struct.Struct(">BBIIIIHH4s4sH")
PACKETS, READY, OUTBOUND, CONTROL, APP, STORE, INTERNAL = 8172, 8167, 8162, 8166, 8165, 8200, 7720
HEARTBEAT_S = 0.77
CONFIG_APPLY_S = 3.0  # configApplyMs
DRAIN_S = 3.0  # drainMs
CONTACT_S = 4.0  # contactMs
BOUNDS = {"seedLagS": 3, "reuseAfterS": 2, "contactMs": 4000, "ackMs": 5000, "catchUpS": 4,
          "drainMs": 3000, "graceS": 6, "lossSlackMs": 200, "configApplyMs": 3000,
          "downgradeMs": 250, "maxStretchMs": 12000, "recoveryS": 12, "flowMs": 2000,
          "maxFlowS": 60}
KEY = b"not disclosed"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def encode_ip(text):
    return bytes(int(part) for part in text.split("."))


def checksum(flags, seq, ack, src, dst, data):
    return zlib.crc32(KEY + repr((flags & ~BOUNCED, seq, ack, src, dst, data)).encode()) | 1


def pack(flags, src, dst, seq, ack, data=b""):
    seq, ack = seq % 2 ** 32, ack % 2 ** 32
    return HEADER.pack(flags, 0, seq, ack, checksum(flags, seq, ack, src, dst, data), 0, len(data),
                       dst[1], encode_ip(dst[0]), encode_ip(src[0]), src[1]) + data


class Packet:
    def __init__(self, raw):
        (self.flags, _, self.seq, self.ack, told, _, size, dport, dst, src,
         sport) = HEADER.unpack(raw[:HEADER.size])
        self.raw, self.data = raw, raw[HEADER.size:]
        self.src = (".".join(map(str, src)), sport)
        self.dst = (".".join(map(str, dst)), dport)
        self.relay_reset = self.flags == RST and told == 0
        self.intact = self.relay_reset or (size == len(self.data) and told == checksum(
            self.flags, self.seq, self.ack, self.src, self.dst, self.data))


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self, handler):
        self.handler = handler

    def datagram_received(self, data, addr):
        self.handler(data)

    def error_received(self, exc):
        pass


async def udp(address, handler):
    transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: Datagrams(handler), local_addr=address)
    return transport


class Store:
    """The platform's metadata store. It loses nothing that it acknowledged."""

    def __init__(self, bed):
        self.bed, self.revision, self.items, self.events = bed, 1, {}, []
        self.renewed, self.calls, self.ports = {}, [], {}
        self.turned_away = set()  # nodes whose calls get 503

    def put(self, key, value):
        self.put_bytes(key, json.dumps(value).encode())

    def put_bytes(self, key, value):
        """Returns the time of the acknowledgement."""
        self.revision += 1
        self.items[key] = {"key": key, "value": base64.b64encode(value).decode(),
                           "revision": self.revision, "created": self.revision, "lease": 0}
        self.events.append(self.items[key])

    def delete(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.events.append({"key": key, "revision": self.revision, "deleted": True})

    def renew(self, key, value):
        """A target's heartbeat."""
        self.renewed[key] = self.bed.now()
        old = self.items.get(key)
        known = json.loads(base64.b64decode(old["value"])) if old else {}
        if {**known, "seq": 0} != {**value, "seq": 0}:
            self.put(key, value)

    async def expire(self):
        while True:
            for key, at in list(self.renewed.items()):
                if self.bed.now() - at > 3 * HEARTBEAT_S:
                    del self.renewed[key]
                    self.delete(key)
            await asyncio.sleep(0.05)

    def answer(self, target):
        path, _, query = target.partition("?")
        args = {name: unquote(value) for name, _, value in
                (pair.partition("=") for pair in query.split("&") if pair)}
        if path == "/v1/kv-range":
            items = [self.items[key] for key in sorted(self.items)
                     if key.startswith(args["prefix"]) and key > args.get("after", "")]
            return 200, {"items": items[:500], "truncated": len(items) > 500,
                         "asOf": self.revision}
        if path == "/v1/kv-key":
            if args["key"] not in self.items:
                return 404, {}
            return 200, {**self.items[args["key"]], "asOf": self.revision}
        if path == "/v1/kv-watch" and int(args["after"]) <= self.revision:
            return 200, {"events": [event for event in self.events
                                    if event["key"].startswith(args["prefix"]) and
                                    event["revision"] > int(args["after"])],
                         "asOf": self.revision}
        return (410, {}) if path == "/v1/kv-watch" else (404, {})

    async def serve(self, node, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ")[1].decode()
                self.calls.append((self.bed.now(), node, target))
                await asyncio.sleep(0.004)
                status, body = (503, {}) if node in self.turned_away else self.answer(target)
                text = json.dumps(body).encode()
                writer.write(b"HTTP/1.1 %d x\r\nContent-Type: application/json\r\nStore-Era: 1\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(text)) + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def last_reader(self):
        """The node that read the list of targets last."""
        return [node for _, node, target in self.calls if "servers/" in target][-1]

    async def listen_for(self, node):
        """One port for each node tells the nodes apart. Returns the port."""
        port = STORE + len(self.ports)
        self.ports[node] = port
        await asyncio.start_server(lambda r, w: self.serve(node, r, w), self.bed.ip("30.1"), port)

    async def start(self):
        self.bed.spawn(self.expire())


class Target:
    """A target of a service. Accepts flows, answers requests and writes heartbeats."""

    def __init__(self, bed, ip, service, zone, slots=3, work_s=0.01):
        self.bed, self.ip, self.service, self.zone = bed, ip, service, zone
        self.slots, self.work_s, self.state, self.beats = slots, work_s, "ready", 0
        self.id = "i-%010x" % bed.random.getrandbits(40)
        self.born, self.flows, self.alive = int(time.time() * 1000), {}, False
        self.frozen, self.waiting = False, []

    async def start(self):
        self.alive = True
        self.transport = await udp((self.ip, APP), self.receive)
        self.bed.spawn(self.beat())

    def entry(self):
        return {"service": self.service, "address": f"{self.ip}:{APP}", "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": self.state, "coldMs": 0,
                "seq": self.beats, "born": self.born}

    async def beat(self):
        while self.alive:
            if not self.frozen:
                self.write()
            await asyncio.sleep(HEARTBEAT_S)

    def write(self):
        self.beats += 1
        self.bed.store.renew(f"servers/{self.id}", self.entry())

    def drain(self):
        """Reports that it drains; returns the time of the store's acknowledgement."""
        self.state = "draining"
        self.write()
        self.bed.note("target", id=self.id, draining="acknowledged")
        return self.bed.now()

    def send(self, raw):
        self.transport.sendto(raw, (self.ip, OUTBOUND))

    def bounce(self, raw):
        self.send(bytes([raw[0] | BOUNCED, 0]) + raw[2:])

    def freeze(self):
        self.frozen = True

    def wake(self):
        self.frozen, waiting, self.waiting = False, self.waiting, []
        for raw in waiting:
            self.receive(raw)

    def crash(self):
        """Loses all flows, and the port is closed. Its entry lapses."""
        self.alive = False
        self.flows.clear()
        self.transport.close()

    def receive(self, raw):
        if self.frozen:
            self.waiting.append(raw)
            return
        packet = Packet(raw)
        flow = (packet.src, packet.dst)
        if not packet.intact:
            self.bed.note("target", id=self.id, got="a changed packet")
            return
        if packet.flags & SYN:
            known = self.flows.setdefault(flow, {
                "seq": self.bed.random.getrandbits(31), "open": False, "next": packet.seq + 1,
                "arrived": self.bed.now(), "late": {}})
            if not known["open"]:
                self.send(pack(SYN | ACK, packet.dst, packet.src, known["seq"], packet.seq + 1))
            return
        known = self.flows.get(flow)
        if known is None or (not known["open"] and packet.ack != (known["seq"] + 1) % 2 ** 32):
            self.bounce(raw)
            return
        if not known["open"]:
            known["open"], known["seq"] = True, known["seq"] + 1
            self.bed.on_open(flow, self, known)
        if packet.flags & RST:
            del self.flows[flow]
            return
        if packet.flags & FIN:
            self.send(pack(FIN | ACK, packet.dst, packet.src, known["seq"], packet.seq + 1))
            del self.flows[flow]
        elif packet.data and packet.seq == known["next"]:
            known["next"] = packet.seq + len(packet.data)
            request = packet.data.split(b"X-Damaskwalk-Request-Id: ")[1].split(b"\r\n")[0].decode()
            self.bed.on_run(flow, self, known, request)
            asyncio.get_running_loop().call_later(self.work_s, self.reply, flow, known)

    def reply(self, flow, known):
        if self.alive and self.flows.get(flow) is known:
            data = (b"HTTP/1.1 200 OK\r\nX-Damaskwalk-Response-Signature: 1\r\n"
                    b"Content-Length: 2\r\n\r\nok")
            self.send(pack(ACK, flow[1], flow[0], known["seq"], known["next"], data))
            known["seq"] += len(data)


class Client:
    """One flow with one request, as of a client that opens a flow for each request."""

    def __init__(self, bed, address, zone, kind="GET"):
        self.bed, self.address, self.zone, self.kind = bed, address, zone, kind
        bed.ports += 1
        self.key = ((bed.ip("40.1"), bed.ports), address)
        self.seq, self.ack, self.state = bed.random.getrandbits(30), 0, "opening"
        self.changed = asyncio.Event()
        self.sent_at = self.ended_at = None
        self.end, self.nodes = "no answer", []

    def send(self, flags, seq, ack, data=b""):
        node = self.bed.route(self.key, self.zone)
        self.nodes.append((self.bed.now(), node, flags))
        self.bed.client_socket.sendto(pack(flags, *self.key, seq, ack, data), (node, PACKETS))

    async def wait(self, seconds):
        try:
            await asyncio.wait_for(self.changed.wait(), seconds)
        except asyncio.TimeoutError:
            pass
        self.changed.clear()

    async def run(self, deadline_s=1.5):
        self.bed.clients[self.key[0][1]] = self
        self.sent_at = self.bed.now()
        for copy, wait in enumerate((0.2, 0.4, 0.8)):
            if self.state == "opening":
                self.send(SYN, self.seq, copy)
                await self.wait(wait)
        if self.state == "open":
            data = (f"{self.kind} / HTTP/1.1\r\nHost: x\r\nX-Damaskwalk-Request-Id: "
                    f"{self.key[0][1]}\r\n\r\n").encode()
            wait = 0.2
            while self.state == "open" and self.bed.now() - self.sent_at < deadline_s:
                self.send(ACK, self.seq + 1, self.ack, data)
                await self.wait(wait)
                wait = min(1.6, 2 * wait)
            if self.state == "answered":
                self.send(FIN | ACK, self.seq + 1 + len(data), self.ack)
        elif self.state == "opening":
            self.end = "not opened"
        self.ended_at = self.bed.now()
        self.bed.note("client", port=self.key[0][1], route=self.address[1],
                      sent=round(self.sent_at, 3), end=self.end,
                      after_ms=round(1000 * (self.ended_at - self.sent_at)))
        return self.end

    def receive(self, packet):
        if packet.flags & RST:
            near = abs((packet.seq - self.ack + 2 ** 31) % 2 ** 32 - 2 ** 31) <= 76800
            if self.state == "opening" or (self.state == "open" and (
                    near or not packet.relay_reset)):
                self.state, self.end = "reset", "reset"
                self.changed.set()
        elif packet.flags & SYN:
            if self.state == "opening":
                self.state, self.ack = "open", (packet.seq + 1) % 2 ** 32
                self.changed.set()
        elif packet.data and self.state == "open" and packet.seq == self.ack:
            self.ack = (self.ack + len(packet.data)) % 2 ** 32
            self.state, self.end = "answered", packet.data.split(b" ")[1].decode()
            self.changed.set()


class Bed:
    def __init__(self, folder, network):
        self.folder, self.network, self.random = folder, network, random.Random(network)
        self.began, self.ports, self.clients, self.tasks = time.monotonic(), 1000, {}, []
        self.record = open(os.path.join(folder, "record.txt"), "w")
        self.temp = tempfile.mkdtemp(prefix="review-")
        self.store, self.processes, self.edges = Store(self), {}, []
        self.runs, self.opened = [], []
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            self.commands = {role["on"]: role["run"].split()
                             for role in tomllib.load(file)["roles"].values()}

    def ip(self, host):
        return f"127.{self.network}.{host}"

    def now(self):
        return time.monotonic() - self.began

    def note(self, what, **values):
        self.record.write(f"{self.now():8.3f} {what} " +
                          " ".join(f"{k}={v}" for k, v in values.items()) + "\n")

    def spawn(self, task):
        self.tasks.append(asyncio.ensure_future(task))
        return self.tasks[-1]

    def route(self, flow, zone):
        """The routers' choice: a node in rotation in the client's zone, else any in rotation."""
        own = [ip for ip in self.edges if self.edge_zones[ip] == zone]
        nodes = [ip for ip in own if ip in self.rotation]
        if 2 * len(nodes) < len(own):
            nodes = own if nodes else self.rotation or own
        return nodes[zlib.crc32(repr(flow).encode()) % len(nodes)]

    async def check_rotation(self, ip):
        """The routers' check of a node: out after two misses, back with the next 200."""
        misses = 0
        while True:
            began = self.now()
            misses = 0 if await self.is_ready(ip, 0.4) else misses + 1
            if misses == 0 and ip not in self.rotation:
                self.rotation = [edge for edge in self.edges if edge in self.rotation + [ip]]
            if misses >= 2 and ip in self.rotation:
                self.rotation.remove(ip)
            await asyncio.sleep(max(0, began + 0.5 - self.now()))

    def on_open(self, flow, target, known):
        self.opened.append((flow, target, known))

    def on_run(self, flow, target, known, request):
        self.runs.append((self.now(), flow, target, known, request))
        self.note("run", request=request, target=target.id, service=target.service,
                  route=flow[1][1], syn_arrived=round(known["arrived"], 3))

    def on_client_packet(self, raw):
        packet = Packet(raw)
        client = self.clients.get(packet.dst[1])
        if not packet.intact:
            self.note("client", got="a changed packet")
        elif client and client.key[1] == packet.src:
            client.receive(packet)

    def write_config(self, version, routes, idle_ms=15000):
        """`routes`: {port: service, or {service: weight}}. Acknowledged when this returns."""
        names = {name for to in routes.values() for name in ([to] if isinstance(to, str) else to)}
        self.store.put("op/config", {
            "version": version,
            "routes": [{"name": f"r-{port}", "host": self.ip("200.1"), "prefix": f"/{port}/",
                        "kind": "unsafe", "timeoutMs": 1500, "sloMs": 150, "priority": 1,
                        "attempts": 2} | ({"service": to} if isinstance(to, str) else {
                            "backends": [{"service": name, "weight": weight}
                                         for name, weight in to.items()]})
                       for port, to in routes.items()],
            "services": [{"name": name, "healthPath": "/health", "maxConns": 2000,
                          "protocol": "h1", "tls": False} for name in sorted(names)],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": idle_ms}})
        self.note("operator", acknowledged_version=version, routes=routes)

    def settings(self, name, ip, zone, service, bootstrap):
        side = service is not None
        listen = {"datagramAddr": f"{ip}:{PACKETS}", "ready": f"{ip}:{READY}"}
        listen |= {"outbound": f"{ip}:{OUTBOUND}"} if side else {"control": f"{ip}:{CONTROL}"}
        value = {"node": name, "role": "agent" if side else "balancer",
                 "class": "side" if side else "edge",
                 "serves": ["side"] if side else ["edge", "control_plane"], "ip": ip, "zone": zone,
                 "region": "melaka", "zones": {z: "melaka" for z in ("za", "zb", "zc")},
                 "listen": listen, "internalPorts": [INTERNAL, INTERNAL + 15],
                 "seeds": [f"{each}:{CONTROL}" for each in self.edges[:3]],
                 "bootstrap": bootstrap, "inTolerance": False,
                 "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4100,
                            "linkMbps": 1000.0, "diskMb": 0}, "dataDir": None,
                 "discovery": "platform", "entry": "announce",
                 "heartbeatMs": int(1000 * HEARTBEAT_S),
                 "contracts": ["base", "drain", "config", "cost", "recover", "flows", "platform"],
                 "faultTolerance": {"machines": 1, "zones": 0, "regions": 0}, "bounds": BOUNDS,
                 "hashScheme": "mod", "proxyMode": "agent",
                 "platform": {"address": f"{self.ip('30.1')}:{self.store.ports[name]}", "proxyMode": "read",
                              "writesPerS": 400, "readsPerS": 2000, "historyS": 20,
                              "maxValueBytes": 1048576, "minTtlMs": 1000}}
        return value | ({"app": f"{ip}:{APP}", "service": service} if side else {})

    def start_process(self, name, ip, zone, service=None, bootstrap=True):
        file = os.path.join(self.temp, name + ".json")
        with open(file, "w") as out:
            json.dump(self.settings(name, ip, zone, service, bootstrap), out)
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        with open(os.path.join(self.temp, name + ".log"), "ab") as log:
            self.processes[name] = subprocess.Popen(
                self.commands["edge" if service is None else "side"], cwd=ROOT,
                env=env | {"DAMASKWALK_CONFIG": file}, stdout=log, stderr=log,
                stdin=subprocess.DEVNULL)
        return self.processes[name]

    async def start(self, edges, targets):
        """`edges`: [(ip, zone)]; `targets`: started or not yet registered Target objects."""
        self.edges, self.edge_zones = [ip for ip, _ in edges], dict(edges)
        self.rotation = list(self.edges)
        await self.store.start()
        for name in ([f"edge-{n + 1}" for n in range(len(edges))] +
                     [f"side-{n + 1}" for n in range(len(targets))]):
            await self.store.listen_for(name)
        self.client_socket = await udp((self.ip("40.1"), PACKETS), self.on_client_packet)
        for number, (ip, zone) in enumerate(edges):
            self.start_process(f"edge-{number + 1}", ip, zone)
        for number, target in enumerate(targets):
            self.start_process(f"side-{number + 1}", target.ip, target.zone, target.service)
        await asyncio.sleep(1.0)
        for target in targets:
            await target.start()

    async def is_ready(self, ip, seconds=1.0):
        async def ask():
            reader, writer = await asyncio.open_connection(ip, READY)
            try:
                writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                return b" 200 " in await reader.readline()
            finally:
                writer.close()

        try:
            return await asyncio.wait_for(ask(), seconds)
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, seconds=10):
        end = self.now() + seconds
        while self.now() < end:
            if all([await self.is_ready(ip) for ip in self.edges]):
                for ip in self.edges:
                    self.spawn(self.check_rotation(ip))
                return
            await asyncio.sleep(0.1)
        raise CannotRun("edge nodes not ready")

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        for task in self.tasks:
            task.cancel()
        self.record.close()
        if os.environ.get("KEEP"):
            print("logs:", self.temp)
        else:
            shutil.rmtree(self.temp, ignore_errors=True)


class CannotRun(Exception):
    pass


def play(folder, network, case):
    """Runs `case(bed)`, which returns a list of breaks of the rule. Exits with 0, 1 or 2."""
    if not os.path.exists(os.path.join(ROOT, "target/damaskwalk-relay")):
        print("target/damaskwalk-relay is not built")
        sys.exit(2)
    bed, code = Bed(folder, network), 2
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))

    async def run():
        try:
            return await asyncio.wait_for(case(bed), 115)
        finally:
            ended = [name for name, process in bed.processes.items()
                     if process.poll() is not None]
            bed.note("end", processes_that_ended=ended or "none")

    try:
        breaks = asyncio.run(run())
        for line in breaks:
            bed.note("BREAK", seen=line)
            print("broken:", line)
        code = 1 if breaks else 0
        print("rule broken" if breaks else "rule held")
    except (CannotRun, OSError, asyncio.TimeoutError) as error:
        print("could not run:", repr(error))
    finally:
        bed.stop()
    sys.exit(code)
