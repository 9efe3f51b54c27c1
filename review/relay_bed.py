"""Stand-ins for review cases: the platform's store, routers, clients and targets.

They speak what the users' PROTOCOL.md and DEPLOY.md say, on loopback addresses, around relay
processes that are started with the commands of deploy/system.toml. Everything that is sent,
answered and run goes into record.txt.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import tempfile
import time
import tomllib
import zlib
from urllib.parse import unquote

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HEADER = struct.Struct(">BBIIIIHH4s4sH")
SYN, ACK, FIN, RST, BOUNCED = 32, 128, 64, 2, 8
RESET_WINDOW = 76800  # distance of a reset's seq from the client's last ack
KEY = b"key of the two ends"
PORT_NAMES = ("packets", "ready", "control", "outbound", "app")
SYN_COPIES_S = (0.2, 0.6)
ATTEMPT_S = 1.4
RETRANSMISSIONS = 8
ZONES, REGION = ("bukit-cina", "ayer-keroh", "klebang"), "melaka"
SERVICE, SLOTS, QUEUE = "tempahan", 3, 12  # as in the site file
HANDSHAKE_S = 0.0003
BOUNDS = {"seedLagS": 3, "reuseAfterS": 2, "contactMs": 4000, "ackMs": 5000, "catchUpS": 4,
          "drainMs": 3000, "graceS": 6, "lossSlackMs": 200, "configApplyMs": 3000,
          "downgradeMs": 250, "maxStretchMs": 12000, "recoveryS": 12, "flowMs": 2000,
          "maxFlowS": 60}


class CannotRun(Exception):
    """The case could not be played; says nothing of the rule."""


def encode_ip(text):
    return bytes(int(part) for part in text.split("."))


def sum_of(flags, seq, ack, length, dport, dst, src, sport, data):
    head = HEADER.pack(flags & ~BOUNCED, 0, seq, ack, 0, 0, length, dport, dst, src, sport)
    return zlib.crc32(KEY + head + data) | 1


def pack(flags, src, dst, seq, ack, data=b""):
    seq, ack = seq & 0xFFFFFFFF, ack & 0xFFFFFFFF
    source, destination = encode_ip(src[0]), encode_ip(dst[0])
    checksum = sum_of(flags, seq, ack, len(data), dst[1], destination, source, src[1], data)
    return HEADER.pack(flags, 0, seq, ack, checksum, 0, len(data), dst[1], destination, source,
                       src[1]) + data


class Packet:
    def __init__(self, raw):
        (self.flags, self.pad, self.seq, self.ack, self.sum, self.echo, length, dport, dst, src,
         sport) = HEADER.unpack(raw[:HEADER.size])
        self.raw, self.data = raw, raw[HEADER.size:]
        self.src = (".".join(map(str, src)), sport)
        self.dst = (".".join(map(str, dst)), dport)
        self.is_system_reset = self.flags == RST and self.sum == 0 and not self.data
        self.intact = length == len(self.data) and self.sum == sum_of(
            self.flags, self.seq, self.ack, length, dport, dst, src, sport, self.data)


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self, handler):
        self.handler = handler

    def datagram_received(self, data, addr):
        self.handler(data, addr)

    def error_received(self, exc):
        pass


async def udp(address, handler):
    transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: Datagrams(handler), local_addr=address)
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
    return transport


class Store:
    """The platform's store. Entries stay until they are removed."""

    PAGE_ITEMS = 500
    HISTORY_S = 20.0

    def __init__(self, world):
        self.world, self.revision, self.items, self.events = world, 1, {}, []
        self.forgotten = 0  # the newest revision that is no longer in the history

    async def start(self, address):
        await asyncio.start_server(self.serve, *address)

    def forget(self):
        while self.events and self.events[0]["at"] < self.world.now() - self.HISTORY_S:
            self.forgotten = self.events.pop(0)["revision"]

    def put(self, key, value):
        self.revision += 1
        text = json.dumps(value).encode()
        created = self.items.get(key, {}).get("created", self.revision)
        item = {"key": key, "value": base64.b64encode(text).decode(), "revision": self.revision,
                "created": created, "lease": 0}
        self.items[key] = item
        self.events.append({"revision": self.revision, "at": self.world.now(), "event": item})

    def delete(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            gone = {"key": key, "revision": self.revision, "deleted": True}
            self.events.append({"revision": self.revision, "at": self.world.now(), "event": gone})

    def answer(self, target):
        path, _, query = target.partition("?")
        args = {name: unquote(value) for name, _, value in
                (pair.partition("=") for pair in query.split("&") if pair)}
        if path == "/v1/kv-range":
            found = [self.items[key] for key in sorted(self.items)
                     if key.startswith(args["prefix"]) and key > args.get("after", "")]
            return 200, {"items": found[:self.PAGE_ITEMS],
                         "truncated": len(found) > self.PAGE_ITEMS, "asOf": self.revision}
        if path == "/v1/kv-key":
            item = self.items.get(args["key"])
            return (200, {**item, "asOf": self.revision}) if item else (404, {})
        if path == "/v1/kv-watch":
            after = int(args["after"])
            self.forget()
            if after > self.revision or after < self.forgotten:
                return 410, {}
            return 200, {"events": [entry["event"] for entry in self.events
                                    if entry["event"]["key"].startswith(args["prefix"])
                                    and entry["revision"] > after], "asOf": self.revision}
        return 404, {}

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                await asyncio.sleep(0.004)
                target = head.split(b" ")[1].decode()
                status, body = self.answer(target)
                text = json.dumps(body).encode()
                reader_name = self.world.name_at_store(writer.get_extra_info("sockname")[0])
                if "op/" in target:
                    self.world.record(f"store answered {reader_name} {target}: {status}, "
                                      f"{len(text)} bytes")
                else:
                    self.world.last_reader = reader_name
                writer.write(b"HTTP/1.1 %d x\r\nContent-Type: application/json\r\n"
                             b"Store-Era: 1\r\nContent-Length: %d\r\n\r\n" % (status, len(text))
                             + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Target:
    """A target beside a node. `flows` are open, `half_open` wait for the end of a handshake."""

    def __init__(self, world, ip, service, work_s=0.022):
        self.world, self.ip, self.service = world, ip, service
        self.work_s, self.busy, self.line = work_s, 0, []
        self.id = f"i-{service}-{ip.replace('.', '-')}"
        self.half_open, self.flows, self.ended = {}, {}, set()
        self.alive, self.zone = False, ZONES[0]

    async def start(self):
        self.transport = await udp((self.ip, self.world.ports["app"]), self.receive)
        self.health = await asyncio.start_server(self.serve_health, self.ip,
                                                 self.world.ports["app"])
        self.alive, self.born = True, int(time.time() * 1000)
        self.register()

    def register(self):
        self.world.store.put(f"servers/{self.id}", {
            "service": self.service, "address": f"{self.ip}:{self.world.ports['app']}",
            "zone": self.zone, "version": "v1", "slots": SLOTS, "state": "ready", "coldMs": 0, "seq": 1,
            "born": self.born})

    async def serve_health(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def send(self, raw):
        if self.alive:
            self.transport.sendto(raw, (self.ip, self.world.ports["outbound"]))

    def receive(self, raw, _):
        packet = Packet(raw)
        flow = (packet.src, packet.dst)
        if not packet.intact:
            self.world.violation("UNASKED", f"{self.id} got a changed packet of {flow}")
            return
        if packet.flags & SYN:
            self.on_syn_packet(flow, packet)
            return
        half = self.half_open.get(flow)
        if half and packet.flags & ACK and packet.ack == half["seq"] + 1 & 0xFFFFFFFF:
            del self.half_open[flow]
            self.flows[flow] = {"next": packet.seq, "seq": packet.ack, "answers": {}}
            self.world.on_open(flow, self)
        if flow not in self.flows:
            self.world.on_stray(flow, self, packet)
            if flow in self.ended:
                if packet.flags & FIN:
                    self.send(pack(ACK, packet.dst, packet.src, packet.ack, packet.seq + 1))
                elif packet.data:
                    self.send(pack(RST, packet.dst, packet.src, packet.ack, packet.seq))
                return
            self.send(bytes([raw[0] | BOUNCED, 0]) + raw[2:])
            return
        self.world.on_flow_packet(flow, self)
        self.on_flow_packet(flow, self.flows[flow], packet)

    def on_syn_packet(self, flow, packet):
        if flow in self.flows:
            return
        if flow in self.half_open:
            self.send(self.half_open[flow]["raw"])
            return
        seq = random.getrandbits(32)
        raw = pack(SYN | ACK, packet.dst, packet.src, seq, packet.seq + 1)
        self.half_open[flow] = {"seq": seq, "raw": raw}
        self.world.record(f"{self.id} took SYN of {name_of(flow)} copy {packet.ack}")
        self.world.spawn(self.offer(flow, raw))

    async def offer(self, flow, raw):
        """Sends SYN+ACK, and again while the client has not acknowledged it."""
        await asyncio.sleep(HANDSHAKE_S)
        wait = 0.2
        for _ in range(RETRANSMISSIONS + 1):
            if flow not in self.half_open:
                return
            self.send(raw)
            await asyncio.sleep(wait)
            wait = min(1.6, wait * 2)
        self.half_open.pop(flow, None)

    def on_flow_packet(self, flow, state, packet):
        if packet.flags & RST:
            del self.flows[flow]
            self.ended.add(flow)
        elif packet.flags & FIN:
            del self.flows[flow]
            self.ended.add(flow)
            self.send(pack(FIN | ACK, flow[1], flow[0], packet.ack, packet.seq + 1))
        elif packet.data and packet.seq in state["answers"]:
            if state["answers"][packet.seq]:
                self.send(state["answers"][packet.seq])
        elif packet.data and packet.seq == state["next"]:
            state["next"] = packet.seq + len(packet.data) & 0xFFFFFFFF
            state["answers"][packet.seq] = b""
            self.take(flow, packet)

    def take(self, flow, packet):
        """Queues a request for a slot, or says that it was not run if the queue is full."""
        if self.busy >= SLOTS and len(self.line) >= QUEUE:
            self.reply(flow, packet, 503, b"X-Damaskwalk-Not-Executed: 1\r\n")
            return
        self.line.append((flow, packet))
        self.run_next()

    def run_next(self):
        while self.busy < SLOTS and self.line:
            flow, packet = self.line.pop(0)
            if flow not in self.flows:
                continue
            self.busy += 1
            self.world.on_run(flow, request_id(packet.data), self)
            asyncio.get_running_loop().call_later(
                self.work_s * random.uniform(0.5, 1.5), self.finish_run, flow, packet)

    def finish_run(self, flow, packet):
        self.busy -= 1
        self.reply(flow, packet, 200, b"X-Damaskwalk-Response-Signature: s\r\n")
        self.run_next()

    def reply(self, flow, packet, status, header):
        state = self.flows.get(flow)
        if not state or not self.alive:
            return
        request = request_id(packet.data)
        body = f"{self.id} {request}".encode()
        data = (b"HTTP/1.1 %d x\r\nX-Damaskwalk-Request-Id: %s\r\n%sContent-Length: %d\r\n\r\n"
                % (status, request.encode(), header, len(body))) + body
        raw = pack(ACK, flow[1], flow[0], packet.ack, state["next"], data)
        state["answers"][packet.seq] = raw
        self.send(raw)


def name_of(flow):
    return f"{flow[0][0]}:{flow[0][1]}>{flow[1][0]}:{flow[1][1]}"


def request_id(data):
    head = data.decode("latin-1")
    return head.split("X-Damaskwalk-Request-Id: ", 1)[1].split("\r\n", 1)[0]


class Node:
    """A machine of the system with its relay process."""

    def __init__(self, world, name, ip, target=None):
        self.world, self.name, self.ip, self.target = world, name, ip, target
        self.process, self.started_at, self.in_rotation, self.misses = None, 0.0, False, 0
        self.bootstrap, self.zone = True, ZONES[0]

    def settings(self):
        ports, ip = self.world.ports, self.ip
        listen = {"datagramAddr": f"{ip}:{ports['packets']}", "ready": f"{ip}:{ports['ready']}"}
        if self.target:
            listen["outbound"] = f"{ip}:{ports['outbound']}"
        else:
            listen["control"] = f"{ip}:{ports['control']}"
        settings = {
            "node": self.name, "role": "agent" if self.target else "balancer",
            "class": "side" if self.target else "edge",
            "serves": ["side"] if self.target else ["edge", "control_plane"], "ip": ip,
            "zone": self.zone, "region": REGION, "listen": listen,
            "zones": {zone: REGION for zone in self.world.zones},
            "internalPorts": self.world.internal, "bootstrap": self.bootstrap,
            "seeds": [f"{node.ip}:{ports['control']}" for node in self.world.edges[:3]],
            "inTolerance": False, "dataDir": None, "discovery": "platform", "entry": "announce",
            "limits": {"cpuShare": 0.15, "cores": 1, "memoryMb": 128, "maxFds": 4096,
                       "linkMbps": 1000.0, "diskMb": 0},
            "heartbeatMs": 770, "contracts": ["base", "drain", "config", "flows", "platform"],
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0}, "bounds": self.world.bounds,
            "hashScheme": "mod", "proxyMode": "agent",
            "platform": {"address": "%s:%d" % self.world.store_address(self), "proxyMode": "read",
                         "writesPerS": 400, "readsPerS": 2000, "historyS": 20,
                         "maxValueBytes": 1048576, "minTtlMs": 1000}}
        if self.target:
            settings["app"] = f"{ip}:{ports['app']}"
            settings["service"] = self.target.service
        return settings

    async def start(self):
        file = os.path.join(self.world.folder, self.name + ".json")
        with open(file, "w") as out:
            json.dump(self.settings(), out)
        command = self.world.commands["side" if self.target else "edge"]
        log = open(os.path.join(self.world.folder, self.name + ".log"), "ab")
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env={**env, "DAMASKWALK_CONFIG": file}, stdout=log, stderr=log)
        log.close()
        self.started_at, self.bootstrap = self.world.now(), False
        self.world.record(f"{self.name} started")

    async def stop(self, number=signal.SIGTERM):
        self.world.record(f"{self.name} gets signal {int(number)}")
        self.process.send_signal(number)
        try:
            await asyncio.wait_for(self.process.wait(), BOUNDS["graceS"])
        except asyncio.TimeoutError:
            self.process.kill()
            await self.process.wait()
        self.world.record(f"{self.name} ended")

    async def is_ready(self):
        writer = None
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.ip, self.world.ports["ready"]), 0.4)
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 0.4)
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False
        finally:
            if writer:
                writer.close()

    async def watch(self):
        """The platform's check of readiness, twice a second."""
        while True:
            ready = await self.is_ready()
            self.misses = 0 if ready else self.misses + 1
            rotates = ready or (self.in_rotation and self.misses < 2)
            if rotates != self.in_rotation:
                self.world.record(f"{self.name} {'in' if rotates else 'out of'} rotation")
            self.in_rotation = rotates
            await asyncio.sleep(0.5)


class Client:
    """One flow of a client with its requests."""

    def __init__(self, world, ip, port, address):
        self.world, self.flow = world, ((ip, port), address)
        self.state, self.seq, self.ack = "new", random.getrandbits(31), 0
        self.waiting, self.number, self.answer = None, 0, ""
        self.opened_at, self.reset_at, self.first_sent_at = None, None, None

    def send(self, flags, seq, ack, data=b""):
        node = self.world.route(self.flow)
        if node:
            self.world.sockets[self.flow[0][0]].sendto(
                pack(flags, *self.flow, seq, ack, data), (node.ip, self.world.ports["packets"]))

    async def open(self):
        self.state, began = "opening", self.world.now()
        self.first_sent_at = began
        self.world.clients[self.flow[0]] = self
        for copy, at in enumerate((0.0, *SYN_COPIES_S)):
            await asyncio.sleep(max(0.0, began + at - self.world.now()))
            if self.state != "opening":
                break
            self.send(SYN, self.seq, copy)
        while self.state == "opening" and self.world.now() - began < ATTEMPT_S:
            await asyncio.sleep(0.01)
        if self.state == "opening":
            self.state = "failed"
        return self.state == "open"

    async def request(self, timeout):
        """Sends a request, again until it is answered. False: no answer in time."""
        self.number += 1
        name = f"{self.flow[0][0]}-{self.flow[0][1]}-{self.number}"
        data = (f"GET / HTTP/1.1\r\nHost: x\r\nX-Damaskwalk-Request-Id: {name}\r\n"
                "Content-Length: 0\r\n\r\n").encode()
        self.world.record(f"sent {name} on {name_of(self.flow)}")
        self.waiting, wait = asyncio.Event(), 0.2
        end = self.world.now() + timeout
        while self.state == "open" and self.world.now() < end:
            self.send(ACK, self.seq, self.ack, data)
            try:
                await asyncio.wait_for(self.waiting.wait(), min(wait, end - self.world.now()))
                self.seq = self.seq + len(data) & 0xFFFFFFFF
                self.waiting = None
                self.world.record(f"answered {name}: {self.answer}")
                return True
            except asyncio.TimeoutError:
                wait = min(1.6, wait * 2)
        self.waiting = None
        self.world.record(f"not answered {name}: {self.state}")
        return False

    def close(self):
        if self.state == "open":
            self.send(FIN | ACK, self.seq, self.ack)
            self.state = "closed"

    def receive(self, packet, sender):
        if packet.is_system_reset:
            distance = (packet.seq - self.ack + 2 ** 31) % 2 ** 32 - 2 ** 31
            if self.state == "opening" or (self.state == "open"
                                           and abs(distance) <= RESET_WINDOW):
                self.world.on_system_reset(self, sender)
                self.state, self.reset_at = "reset", self.world.now()
            return
        if not packet.intact:
            self.world.violation("MIXED", f"{name_of(self.flow)} got a changed packet")
        elif packet.flags & RST:
            self.state = "reset by its target"
        elif packet.flags & SYN:
            if self.state == "opening":
                self.state, self.ack = "open", packet.seq + 1 & 0xFFFFFFFF
                self.opened_at = self.world.now()
                self.send(ACK, self.seq + 1, self.ack)
                self.seq = self.seq + 1 & 0xFFFFFFFF
        elif packet.data and self.waiting and packet.seq == self.ack:
            self.ack = self.ack + len(packet.data) & 0xFFFFFFFF
            self.send(ACK, packet.ack, self.ack)
            self.answer = packet.data.split(b"\r\n", 1)[0].decode()
            self.waiting.set()


class World:
    """A small deployment: edges and targets of one service with their nodes, zone by zone."""

    def __init__(self, edges, targets, service=SERVICE, clients=4, first_net=90, zones=1,
                 bounds=None):
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.began = time.monotonic()
        self.lines, self.violations, self.tasks = [], [], set()
        self.folder = tempfile.mkdtemp(prefix="damaskwalk-case-")
        self.net = self.free_network(first_net)
        self.ports = {name: 18160 + i for i, name in enumerate(PORT_NAMES)}
        self.internal = [17720, 17735]
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            roles = tomllib.load(file)["roles"].values()
        self.commands = {role["on"]: role["run"].split() for role in roles}
        self.store = Store(self)
        self.targets = [Target(self, self.address(f"20.{i + 1}"), service)
                        for i in range(targets)]
        self.edges = [Node(self, f"edge-{i + 1}", self.address(f"10.{i + 1}"))
                      for i in range(edges)]
        self.sides = [Node(self, f"side-{i + 1}", target.ip, target)
                      for i, target in enumerate(self.targets)]
        self.client_ips = [self.address(f"40.{i + 1}") for i in range(clients)]
        self.zones = ZONES[:zones]
        for i, node in enumerate(self.edges):
            node.zone = self.zones[i % zones]
        for i, node in enumerate(self.sides):
            node.zone = node.target.zone = self.zones[i % zones]
        self.sockets, self.clients, self.owners = {}, {}, {}
        self.last_reader = None  # of the targets
        self.next_port = 20000
        self.host = ("198.18.0.1", 8443)
        self.version = 7

    @staticmethod
    def free_network(first):
        """Two leading bytes of loopback addresses that no other process uses."""
        for second in range(first, first + 50):
            net = f"127.{second}"
            try:
                for port, kind in ((18169, socket.SOCK_STREAM), (18160, socket.SOCK_DGRAM)):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((f"{net}.30.1", port))
                return net
            except OSError:
                continue
        raise CannotRun("no free loopback addresses")

    def address(self, host):
        return f"{self.net}.{host}"

    def store_address(self, node):
        """The store as the node reaches it. An address for each, to tell who reads."""
        return self.address(f"30.{(self.edges + self.sides).index(node) + 1}"), 18169

    def name_at_store(self, ip):
        return (self.edges + self.sides)[int(ip.split(".")[-1]) - 1].name

    def now(self):
        return time.monotonic() - self.began

    def record(self, text):
        self.lines.append(f"{self.now():9.3f} {text}")

    def violation(self, rule, text):
        self.violations.append((rule, text))
        self.record(f"VIOLATION {rule}: {text}")

    def spawn(self, work):
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def route_entry(self, name, host, prefix="/8443/", service=SERVICE):
        return {"name": name, "host": host, "prefix": prefix, "kind": "safe", "timeoutMs": 1200,
                "sloMs": 120, "priority": 2, "service": service, "attempts": 2}

    def publish(self, routes):
        """Writes a configuration; the store's answer acknowledges it."""
        self.version += random.randint(1, 4)
        services = sorted({route["service"] for route in routes})
        self.store.put("op/config", {
            "version": self.version, "routes": routes,
            "services": [{"name": name, "healthPath": "/health", "maxConns": 2000,
                          "protocol": "h1", "tls": False} for name in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000}})
        self.record(f"store acknowledged configuration {self.version}: "
                    f"{len(routes)} routes, the first to "
                    f"{' '.join(route['host'] for route in routes[:3])}")
        return self.now()

    def route(self, flow):
        """The edge that the routers choose: a hash over the nodes in rotation."""
        zone = self.zones[self.client_ips.index(flow[0][0]) % len(self.zones)]
        own = [node for node in self.edges if node.zone == zone]
        nodes = [node for node in own if node.in_rotation]
        if not nodes:
            nodes = [node for node in self.edges if node.in_rotation]
        elif 2 * len(nodes) < len(own):
            nodes = own
        nodes = nodes or self.edges
        return nodes[zlib.crc32(repr(flow).encode()) % len(nodes)]

    def client(self, address=None):
        self.next_port += 1
        ip = self.client_ips[self.next_port % len(self.client_ips)]
        return Client(self, ip, self.next_port, address or self.host)

    def on_client_datagram(self, raw, addr):
        packet = Packet(raw)
        client = self.clients.get(packet.dst)
        if client:
            client.receive(packet, addr[0])

    def name_at(self, ip):
        return next((node.name for node in self.edges + self.sides if node.ip == ip), ip)

    # Events that cases judge.

    def on_open(self, flow, target):
        self.owners[flow] = (target, self.now())
        self.record(f"{name_of(flow)} opened at {target.id}")

    def on_stray(self, flow, target, packet):
        self.record(f"{target.id} got a packet of {name_of(flow)}, which it does not hold: "
                    f"flags {packet.flags} seq {packet.seq} ack {packet.ack}")

    def on_flow_packet(self, flow, target):
        """A packet of an open flow reached its target."""

    def on_run(self, flow, request, target):
        self.record(f"ran {request} at {target.id}")

    def on_system_reset(self, client, sender):
        self.record(f"{name_of(client.flow)} was reset by {self.name_at(sender)} "
                    f"while {client.state}")

    async def start(self):
        program = os.path.join(ROOT, self.commands["edge"][0])
        if not os.path.exists(program):
            raise CannotRun(f"{self.commands['edge'][0]} is not built")
        for node in self.edges + self.sides:
            await self.store.start(self.store_address(node))
        for ip in self.client_ips:
            self.sockets[ip] = await udp((ip, self.ports["packets"]), self.on_client_datagram)
        self.publish([self.route_entry("r-main", self.host[0])])
        for target in self.targets:
            await target.start()
        for node in self.edges + self.sides:
            await node.start()
            self.spawn(node.watch())
        for _ in range(100):
            if all(node.in_rotation for node in self.edges + self.sides):
                break
            await asyncio.sleep(0.1)
        else:
            raise CannotRun("not every node became ready")
        # A client's request has to be answered before anything is judged.
        client = self.client()
        if not await client.open() or not await client.request(2.0):
            raise CannotRun("a first request was not answered")
        client.close()

    async def finish(self):
        for task in list(self.tasks):
            task.cancel()
        for node in self.edges + self.sides:
            if node.process and node.process.returncode is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                await node.process.wait()

    def write_record(self, folder):
        with open(os.path.join(folder, "record.txt"), "w") as file:
            file.write("\n".join(self.lines) + "\n")

    def summary(self):
        lines = [f"rule broken: {rule}: {text}" for rule, text in self.violations[:10]]
        if len(self.violations) > 10:
            lines.append(f"and {len(self.violations) - 10} more")
        return lines


def play(folder, make_world, run, limit_s=112):
    """Plays a case. Exit code: 1 if a rule was broken, 0 if all held, 2 if it could not run."""

    async def whole(world):
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            await asyncio.wait_for(world.start(), 20)
            await asyncio.wait_for(run(world), limit_s - 20)
        finally:
            await world.finish()

    world, code = None, 2
    try:
        world = make_world()
        asyncio.run(whole(world))
        code = 1 if world.violations else 0
    except (Exception, asyncio.CancelledError, KeyboardInterrupt) as problem:
        # Whatever went wrong, it says nothing of the rule.
        print(f"could not run: {problem!r}")
        if world:
            world.record(f"could not run: {problem!r}")
    if world:
        for line in world.summary():
            print(line)
        world.record(f"result {code}")
        world.write_record(folder)
        if os.environ.get("KEEP_LOGS"):
            print("logs:", world.folder)
        else:
            shutil.rmtree(world.folder, ignore_errors=True)
    print({0: "held", 1: "broken", 2: "not run"}[code])
    return code
