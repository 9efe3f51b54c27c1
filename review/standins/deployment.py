"""Stand-ins for a small deployment, for the scripts of review/.

Starts damaskwalk-relay processes with the command of deploy/system.toml on
loopback addresses, and plays the platform's store, its routers, targets and
clients in one asyncio loop, as the users' pages describe them.
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

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PACKETS, READY, CONTROL, PEERS, OUTBOUND, APP, STORE = 8172, 8167, 8166, 7720, 8162, 8165, 8169
SYN, ACK, FIN, RST, BOUNCED = 32, 128, 64, 2, 8
HEAD = struct.Struct(">BBIIIIHH4s4sH")
RESET_WINDOW = 76800
BOUNDS = {"seedLagS": 3, "reuseAfterS": 2, "contactMs": 4000, "ackMs": 5000, "catchUpS": 4,
          "drainMs": 3000, "graceS": 6, "lossSlackMs": 200, "configApplyMs": 3000,
          "downgradeMs": 250, "maxStretchMs": 12000, "recoveryS": 12, "flowMs": 2000,
          "maxFlowS": 60}
HEARTBEAT_S = 0.77
HISTORY_S = 20
IDLE_TIMEOUT_MS = 15000
KEY = os.urandom(8)


class CannotRun(Exception):
    """The case could not be played; the script exits with 2."""


def checksum(flags, src, dst, seq, ack, data):
    fields = (flags & ~BOUNCED, src, dst, seq, ack, data)
    return zlib.crc32(KEY + repr(fields).encode()) or 1


def pack(flags, src, dst, seq, ack, data=b""):
    return HEAD.pack(flags, 0, seq & 0xFFFFFFFF, ack & 0xFFFFFFFF,
                     checksum(flags, src, dst, seq & 0xFFFFFFFF, ack & 0xFFFFFFFF, data), 0,
                     len(data), dst[1], socket.inet_aton(dst[0]), socket.inet_aton(src[0]),
                     src[1]) + data


class Packet:
    def __init__(self, raw):
        (self.flags, self.pad, self.seq, self.ack, self.sum, self.echo, size, dport, dst, src,
         sport) = HEAD.unpack(raw[:HEAD.size])
        self.raw, self.data = raw, raw[HEAD.size:]
        self.src, self.dst = (socket.inet_ntoa(src), sport), (socket.inet_ntoa(dst), dport)
        self.is_relay_reset = self.flags == RST and self.sum == 0 and not self.data
        self.intact = self.is_relay_reset or (size == len(self.data) and self.sum == checksum(
            self.flags, self.src, self.dst, self.seq, self.ack, self.data))


class Udp(asyncio.DatagramProtocol):
    def __init__(self, handler):
        self.handler = handler

    def datagram_received(self, data, addr):
        self.handler(data, addr)

    def error_received(self, exc):
        pass


async def udp(address, handler):
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(lambda: Udp(handler), local_addr=address)
    return transport


class Store:
    """The platform's store: reads and watches, with a history of 20 s."""

    def __init__(self, world):
        self.world, self.revision, self.items, self.events = world, 1, {}, []
        self.cut, self.largest_answer, self.reads = set(), 0, []
        self.forgotten = 0  # highest revision that the history no longer has

    def put(self, key, value):
        self.revision += 1
        self.items[key] = {"key": key, "value": base64.b64encode(value).decode(),
                           "revision": self.revision, "created": self.revision, "lease": 0}
        self.events.append((time.monotonic(), self.items[key]))
        return self.revision

    def put_json(self, key, value):
        return self.put(key, json.dumps(value).encode())

    def delete(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.events.append((time.monotonic(),
                                {"key": key, "revision": self.revision, "deleted": True}))

    def forget(self):
        oldest = time.monotonic() - HISTORY_S
        while self.events and self.events[0][0] < oldest:
            self.forgotten = self.events.pop(0)[1]["revision"]

    def answer(self, target):
        path, _, query = target.partition("?")
        args = {name: unquote(value) for name, _, value in
                (pair.partition("=") for pair in query.split("&") if pair)}
        if path == "/v1/kv-key":
            item = self.items.get(args["key"])
            return (200, {**item, "asOf": self.revision}) if item else (404, {})
        if path == "/v1/kv-range":
            keys = [key for key in sorted(self.items)
                    if key.startswith(args["prefix"]) and key > args.get("after", "")]
            page, size = [], 0
            for key in keys:
                if len(page) >= 500 or (page and size + len(self.items[key]["value"]) > 1 << 20):
                    break
                page.append(self.items[key])
                size += len(self.items[key]["value"])
            return 200, {"items": page, "truncated": len(page) < len(keys), "asOf": self.revision}
        if path == "/v1/kv-watch":
            self.forget()
            after = int(args["after"])
            if after < self.forgotten or after > self.revision:
                return 410, {}
            return 200, {"events": [event for _, event in self.events
                                    if event["revision"] > after and
                                    event["key"].startswith(args["prefix"])],
                         "asOf": self.revision}
        return 404, {}

    async def serve(self, ip, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ")[1].decode()
                if ip in self.cut:
                    await asyncio.sleep(30)  # behind a partition: no response
                    return
                await asyncio.sleep(0.004)
                status, body = self.answer(target)
                text = json.dumps(body).encode()
                self.largest_answer = max(self.largest_answer, len(text))
                self.reads.append((self.world.now(), ip, target.split("?")[0], status, len(text)))
                writer.write(b"HTTP/1.1 %d x\r\nContent-Type: application/json\r\nStore-Era: 1\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(text)) + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Node:
    """A machine's relay process."""

    def __init__(self, world, name, ip, zone, service=None):
        self.world, self.name, self.ip, self.zone, self.service = world, name, ip, zone, service
        self.process, self.in_rotation, self.misses = None, False, 0
        self.stopping, self.disturbed_at = False, -1e9
        self.store_port = world.next_store_port()

    def settings(self):
        world, side = self.world, self.service is not None
        listen = {"datagramAddr": f"{self.ip}:{PACKETS}", "ready": f"{self.ip}:{READY}"}
        listen.update({"outbound": f"{self.ip}:{OUTBOUND}"} if side
                      else {"control": f"{self.ip}:{CONTROL}"})
        settings = {
            "node": self.name, "role": "agent" if side else "balancer",
            "class": "side" if side else "edge",
            "serves": ["side"] if side else ["edge", "control_plane"], "ip": self.ip,
            "zone": self.zone, "region": "region-1",
            "zones": {zone: "region-1" for zone in world.zones}, "listen": listen,
            "internalPorts": [PEERS, PEERS + 15],
            "seeds": [f"{edge.ip}:{CONTROL}" for edge in world.edges[:3]],
            "bootstrap": world.bootstrap, "inTolerance": False, "dataDir": None,
            "discovery": "platform", "entry": "announce", "heartbeatMs": int(HEARTBEAT_S * 1000),
            "bounds": BOUNDS, "hashScheme": "mod", "proxyMode": "agent",
            "contracts": ["base", "drain", "config", "cost", "recover", "flows", "platform"],
            "platform": {"address": f"{world.store_ip}:{self.store_port}", "proxyMode": "read",
                         "readsPerS": 2000, "historyS": HISTORY_S, "maxValueBytes": 1048576}}
        if side:
            settings.update({"app": f"{self.ip}:{APP}", "service": self.service})
        return settings

    async def start(self):
        world = self.world
        path = os.path.join(world.folder, self.name + ".json")
        with open(path, "w") as file:
            json.dump(self.settings(), file)
        with open(os.path.join(world.folder, self.name + ".log"), "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *world.command, cwd=ROOT, stdout=log, stderr=log,
                env={"PATH": os.environ["PATH"], "HOME": "/", "DAMASKWALK_CONFIG": path})
        self.stopping = False

    async def end(self, number):
        """Sends a signal and waits until the process has ended, as the platform would."""
        self.stopping = True
        if self.process.returncode is None:
            self.process.send_signal(number)
        try:
            await asyncio.wait_for(self.process.wait(), BOUNDS["graceS"])
        except asyncio.TimeoutError:
            self.process.kill()
            await self.process.wait()

    async def watch_ready(self):
        while True:
            try:
                ready = await asyncio.wait_for(self.is_ready(), 0.4)
            except (OSError, asyncio.TimeoutError):
                ready = False
            self.misses = 0 if ready else self.misses + 1
            self.in_rotation = ready or (self.in_rotation and self.misses < 2)
            await asyncio.sleep(0.5)

    async def is_ready(self):
        reader, writer = await asyncio.open_connection(self.ip, READY)
        try:
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            return b" 200 " in await reader.readline()
        finally:
            writer.close()


class Target:
    """A backend server beside a node."""

    HANDSHAKE_S = 0.0003

    def __init__(self, world, node, service):
        self.world, self.node, self.ip, self.service = world, node, node.ip, service
        self.id = f"i-{world.random.getrandbits(40):010x}"
        self.slow, self.disturbed_at, self.alive = 1.0, -1e9, False
        self.half_open, self.flows, self.ended, self.unacked = {}, {}, set(), {}
        self.busy = 0
        self.work_s = 0.022

    async def start(self, registers=True):
        self.alive, self.born = True, int(time.time() * 1000)
        self.transport = await udp((self.ip, APP), self.receive)
        if registers:
            self.register()

    def register(self, state="ready"):
        self.world.store.put_json(f"servers/{self.id}", {
            "service": self.service, "address": f"{self.ip}:{APP}", "zone": self.node.zone,
            "version": "v1", "slots": 3, "state": state, "coldMs": 0, "seq": 1,
            "born": self.born})

    def crash(self):
        """Ends without a word; the entry is removed after three heartbeat intervals."""
        self.alive = False
        self.transport.abort()
        self.world.later(3 * HEARTBEAT_S, lambda: self.world.store.delete(f"servers/{self.id}"))

    def send(self, raw):
        if self.alive:
            self.transport.sendto(raw, (self.ip, OUTBOUND))

    def bounce(self, packet):
        self.world.count("bounced")
        self.send(bytes([packet.raw[0] | BOUNCED, 0]) + packet.raw[2:])

    def receive(self, raw, addr):
        packet = Packet(raw)
        flow = (packet.src, packet.dst)
        if not packet.intact or packet.flags & BOUNCED:
            self.world.broken("UNASKED", f"{self.id} got a packet that its sender didn't write")
        if packet.flags & SYN:
            # A slow target takes its factor longer for all that it does.
            self.world.later(self.HANDSHAKE_S * self.slow, self.accept, flow, packet)
        elif flow in self.flows:
            self.on_flow_packet(flow, packet)
        elif flow in self.half_open and packet.ack == (self.half_open[flow] + 1) & 0xFFFFFFFF:
            del self.half_open[flow]
            self.flows[flow] = {"next": packet.seq, "received": {}}
            self.world.on_open(flow, self)
            self.on_flow_packet(flow, packet)
        elif flow in self.ended:
            if packet.flags & FIN:
                self.send(pack(ACK, flow[1], flow[0], packet.ack, packet.seq + 1))
            elif packet.data:
                self.send(pack(RST, flow[1], flow[0], packet.ack, packet.seq))
        else:
            self.bounce(packet)

    def accept(self, flow, packet):
        if not self.alive or flow in self.flows:
            return
        self.world.on_opening(flow, self)
        if flow not in self.half_open:
            self.half_open[flow] = self.world.random.getrandbits(31)
            self.world.spawn(self.repeat_handshake(flow, packet.seq + 1))
        else:
            self.send(pack(SYN | ACK, flow[1], flow[0], self.half_open[flow], packet.seq + 1))

    async def repeat_handshake(self, flow, ack):
        """Sends the SYN+ACK, and again after 200 ms, doubling up to 1.6 s, eight times."""
        wait = 0.2
        for _ in range(9):
            if flow not in self.half_open or not self.alive:
                return
            self.send(pack(SYN | ACK, flow[1], flow[0], self.half_open[flow], ack))
            await asyncio.sleep(wait)
            wait = min(1.6, 2 * wait)
        self.half_open.pop(flow, None)

    def on_flow_packet(self, flow, packet):
        state = self.flows[flow]
        self.unacked.pop((flow, packet.ack), None)
        if packet.flags & RST:
            self.close(flow)
        elif packet.data and packet.seq == state["next"]:
            state["next"] = packet.seq + len(packet.data)
            self.world.spawn(self.run(flow, packet))
        elif packet.data:
            self.send(pack(ACK, flow[1], flow[0], packet.ack, state["next"]))
        if packet.flags & FIN:
            self.close(flow)
            self.send(pack(FIN | ACK, flow[1], flow[0], packet.ack, packet.seq + 1))

    def close(self, flow):
        self.flows.pop(flow, None)
        self.ended.add(flow)

    async def run(self, flow, packet):
        """Runs the request that the packet holds and sends the answer until it is confirmed."""
        number = packet.data.split(b"Request-Id: ")[1].split(b"\r\n")[0].decode()
        self.world.on_run(number, flow, self)
        await asyncio.sleep(self.work_s * self.slow)
        body = f"{number} {self.id}".encode().ljust(400, b".")
        data = (b"HTTP/1.1 200 OK\r\nX-Damaskwalk-Response-Signature: %s\r\nContent-Length: %d\r\n"
                b"\r\n" % (self.id.encode(), len(body)) + body)
        answer = (flow, (packet.ack + len(data)) & 0xFFFFFFFF)
        self.unacked[answer], wait = True, 0.2
        for _ in range(9):
            if not self.alive or flow not in self.flows or answer not in self.unacked:
                return
            self.send(pack(ACK, flow[1], flow[0], packet.ack, packet.seq + len(packet.data), data))
            await asyncio.sleep(wait)
            wait = min(1.6, 2 * wait)


class Flow:
    """A client's connection; long ones carry requests until the world stops."""

    def __init__(self, world, client, port, address):
        self.world, self.client = world, client
        self.key = ((client.ip, port), address)
        self.state, self.seq, self.ack = "opening", world.random.getrandbits(30), 0
        self.answered, self.last_sent, self.began = asyncio.Event(), 0.0, world.now()
        self.served = 0

    def send(self, flags, data=b"", seq=None, ack=None):
        self.last_sent = self.world.now()
        self.client.send(self.key, pack(flags, *self.key, self.seq if seq is None else seq,
                                        self.ack if ack is None else ack, data))

    async def open(self):
        for copy, wait in enumerate((0.2, 0.4, 0.8)):
            if self.state == "opening":
                self.send(SYN, seq=self.seq - 1, ack=copy)
                await self.pause(wait)
        if self.state == "opening":
            self.state = "given up"
        return self.state == "open"

    async def pause(self, wait):
        self.answered.clear()
        try:
            await asyncio.wait_for(self.answered.wait(), wait)
        except asyncio.TimeoutError:
            pass

    async def request(self, deadline):
        """One request; True if its answer arrived."""
        number, begin, wait = self.world.new_request(self), self.world.now(), 0.2
        data = (b"GET /slots HTTP/1.1\r\nHost: x\r\nX-Damaskwalk-Request-Id: %s\r\n\r\n" %
                number.encode())
        expected = self.seq + len(data)
        while self.state == "open" and self.world.now() - begin < deadline:
            self.send(ACK, data)
            await self.pause(min(wait, deadline - (self.world.now() - begin)))
            if self.seq == expected:
                self.served += 1
                return True
            wait = min(1.6, 2 * wait)
        return False

    def receive(self, packet, sender):
        if packet.flags & RST:
            offset = (packet.seq - self.ack + (1 << 31)) % (1 << 32) - (1 << 31)
            if packet.is_relay_reset and self.state == "open" and abs(offset) > RESET_WINDOW:
                return
            self.world.on_reset(self, packet, sender)
            self.state = "reset"
            self.answered.set()
        elif packet.flags & SYN:
            if self.state == "opening":
                self.state, self.ack = "open", packet.seq + 1
                self.send(ACK)
                self.answered.set()
        elif packet.data and self.state == "open":
            if packet.seq == self.ack:
                self.ack, self.seq = packet.seq + len(packet.data), packet.ack
                self.world.on_answer(self, packet)
                self.answered.set()
            self.send(ACK)


class Client:
    """A client machine with its routers' view of the edge nodes of its zone."""

    def __init__(self, world, ip, zone):
        self.world, self.ip, self.zone, self.flows, self.port = world, ip, zone, {}, 1024

    async def start(self):
        self.transport = await udp((self.ip, PACKETS), self.receive)

    def send(self, flow, raw):
        edges = [edge for edge in self.world.edges if edge.zone == self.zone]
        ready = [edge for edge in edges if edge.in_rotation]
        nodes = ready if 2 * len(ready) >= len(edges) else edges
        node = nodes[zlib.crc32(repr(flow).encode()) % len(nodes)]
        self.transport.sendto(raw, (node.ip, PACKETS))

    def receive(self, raw, addr):
        packet = Packet(raw)
        if not packet.intact:
            self.world.broken("MIXED", f"{self.ip} got a packet that its sender didn't write")
        flow = self.flows.get(packet.dst[1])
        if flow and flow.key[1] == packet.src:
            flow.receive(packet, addr[0])

    def new_flow(self, address):
        self.port += 1
        flow = Flow(self.world, self, self.port, address)
        self.flows[self.port] = flow
        return flow


class World:
    """The deployment: 4 edge and 10 side machines in 3 zones, as a small site has."""

    zones = ("zone-a", "zone-b", "zone-c")
    edge_zones = ("zone-a", "zone-a", "zone-b", "zone-c")
    services = {"bookings": 7, "recordings": 3}

    def __init__(self, case):
        self.case = os.path.abspath(case)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.random = random.Random(int(os.environ.get("SEED", "0")) or None)
        self.folder = tempfile.mkdtemp(prefix="damaskwalk-review-")
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.command = tomllib.load(file)["roles"]["agent"]["run"].split()
        if not os.path.exists(os.path.join(ROOT, self.command[0])):
            raise CannotRun(f"{self.command[0]} is not built")
        self.bootstrap, self.began, self.lines, self.tasks = True, time.monotonic(), [], []
        self.problems, self.counts, self.opened, self.requests = [], {}, {}, {}
        self.store_ports, self.version = STORE, 0
        self.prefix = self.find_network()
        self.store_ip = f"{self.prefix}.30.1"
        self.store, self.edges, self.sides, self.targets = Store(self), [], [], []
        for number, zone in enumerate(self.edge_zones):
            self.edges.append(Node(self, f"edge-{number + 1}", f"{self.prefix}.10.{number + 1}",
                                   zone))
        for service, count in self.services.items():
            for _ in range(count):
                self.add_side(service)
        self.clients = [Client(self, f"{self.prefix}.40.{i + 1}", zone)
                        for i, zone in enumerate(self.zones)]

    def add_side(self, service):
        number = len(self.sides) + 1
        node = Node(self, f"side-{number}", f"{self.prefix}.20.{number}",
                    self.zones[number % len(self.zones)], service)
        target = Target(self, node, service)
        self.sides.append(node)
        self.targets.append(target)
        return node, target

    @staticmethod
    def find_network():
        """Loopback addresses whose ports nobody uses."""
        for _ in range(50):
            prefix = f"127.{random.SystemRandom().randrange(20, 250)}"
            probe = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            try:
                probe.bind((f"{prefix}.10.1", PACKETS))
                return prefix
            except OSError:
                continue
            finally:
                probe.close()
        raise CannotRun("no free loopback network")

    def next_store_port(self):
        # A port per node, so that single nodes can be cut off from the store.
        self.store_ports += 1
        return self.store_ports

    # Time and bookkeeping.

    def now(self):
        return time.monotonic() - self.began

    def later(self, wait, run, *args):
        asyncio.get_running_loop().call_later(wait, run, *args)

    def spawn(self, task):
        self.tasks.append(asyncio.ensure_future(task))
        return self.tasks[-1]

    def note(self, text):
        self.lines.append(f"{self.now():8.3f} {text}")

    def count(self, name):
        self.counts[name] = self.counts.get(name, 0) + 1

    def broken(self, rule, text):
        self.problems.append((rule, text))
        self.note(f"BROKEN {rule}: {text}")

    def route_address(self, number, port=443):
        """An address of the platform, which only the packets of flows name."""
        return (f"{self.prefix}.{60 + number // 250}.{number % 250 + 1}", port)

    def address(self, service):
        return self.route_address(list(self.services).index(service) + 1)

    def publish(self, extra=(), version=None):
        """Writes the next configuration; returns when the store has it."""
        self.version = version or self.version + self.random.randint(1, 4)
        routes = [{"name": f"r-{name}", "host": self.address(name)[0], "prefix": "/443/",
                   "kind": "safe", "timeoutMs": 1200, "sloMs": 120, "priority": 2,
                   "service": name, "attempts": 2} for name in self.services]
        config = {"version": self.version, "routes": routes + list(extra),
                  "services": [{"name": name, "healthPath": "/health", "maxConns": 2000,
                                "protocol": "h1", "tls": False} for name in self.services],
                  "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                             "headerTimeoutMs": 3000, "idleTimeoutMs": IDLE_TIMEOUT_MS}}
        text = json.dumps(config, separators=(",", ":")).encode()
        if len(text) > 1048576:
            raise CannotRun("the configuration is larger than maxValueBytes")
        self.store.put("op/config", text)
        self.note(f"store: configuration {self.version} acknowledged, {len(text)} bytes")

    # What clients and targets see.

    def on_opening(self, flow, target):
        pass

    def on_open(self, flow, target):
        self.opened[flow] = target
        self.count("flows opened")

    def new_request(self, flow):
        number = f"q{len(self.requests) + 1:06d}"
        self.requests[number] = {"sent": self.now(), "flow": flow.key, "runs": 0}
        return number

    def on_run(self, number, flow, target):
        request = self.requests.get(number)
        if not request or request["flow"] != flow:
            self.broken("UNASKED", f"{target.id} runs {number}, which no client sent so")
            return
        request["runs"] += 1
        request["target"] = f"{target.id}/{target.service}"
        request["ran"] = self.now()

    def on_answer(self, flow, packet):
        number = packet.data.split(b"\r\n\r\n", 1)[1].split(b" ")[0].decode()
        request = self.requests.get(number)
        if not request or request["flow"] != flow.key:
            self.broken("MIXED", f"{flow.key} got the answer of {number}")
            return
        request["answered"] = self.now()

    def on_reset(self, flow, packet, sender):
        self.count("resets")

    def check_reset(self, flow, packet, sender):
        """FLOW (a): an open flow is reset by the system while its target lives, undisturbed."""
        target = self.opened.get(flow.key)
        if not packet.is_relay_reset or flow.state != "open" or not target:
            return
        contact, now = BOUNDS["contactMs"] / 1000, self.now()
        node = next((node for node in self.edges + self.sides if node.ip == sender), None)
        in_touch = node and not node.stopping and now - node.disturbed_at > contact and (
            now - target.node.disturbed_at > contact)
        young = now - flow.began < BOUNDS["maxFlowS"]
        if (target.alive and flow.key in target.flows and in_touch and young and
                now - target.disturbed_at > contact):
            self.broken("FLOW", f"{flow.key} is reset by {node.name} ({node.ip}) while its target "
                        f"{target.id} on {target.node.name} holds it")

    # The day.

    async def start(self):
        for node in self.edges + self.sides:
            await asyncio.start_server(
                lambda r, w, ip=node.ip: self.store.serve(ip, r, w), self.store_ip,
                node.store_port)
        self.publish()
        for client in self.clients:
            await client.start()
        for target in self.targets:
            await target.start()
        for node in self.edges + self.sides:
            await node.start()
        for edge in self.edges:
            self.spawn(edge.watch_ready())
        limit = self.now() + 15
        while not all(edge.in_rotation for edge in self.edges):
            if self.now() > limit:
                raise CannotRun("the edge nodes did not become ready")
            await asyncio.sleep(0.1)
        self.bootstrap = False
        await asyncio.sleep(2)
        self.note("all edge nodes are ready")

    async def long_flow(self, client, address, pause=0.3, until=1e9):
        flow = client.new_flow(address)
        if await flow.open():
            while flow.state == "open" and self.now() < until:
                await asyncio.sleep(self.random.uniform(0.5, 1.5) * pause)
                await flow.request(1.2)
        return flow

    async def short_flow(self, client, address):
        flow = client.new_flow(address)
        if await flow.open():
            await flow.request(1.2)
            if flow.state == "open":
                flow.send(FIN | ACK)
                flow.state = "closed"
        return flow

    async def finish(self):
        for task in self.tasks:
            task.cancel()
        for node in self.edges + self.sides:
            if node.process is None:
                continue
            if node.process.returncode is not None and not node.stopping:
                self.note(f"{node.name} ended by itself with {node.process.returncode}")
            elif node.process.returncode is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                await node.process.wait()

    def write_record(self, verdict):
        with open(os.path.join(self.case, "record.txt"), "w") as file:
            file.write(f"verdict: {verdict}; disruption: {'played' if self.trouble else 'none'}\n")
            file.write("\n".join(self.lines) + "\n")
            answered = sum("answered" in request for request in self.requests.values())
            ran = sum(request["runs"] > 0 for request in self.requests.values())
            file.write(f"requests: sent {len(self.requests)}, run {ran}, answered {answered}\n")
            file.write(f"counts: {json.dumps(self.counts, sort_keys=True)}\n")
            for number, request in self.requests.items():
                times = " ".join(f"{name} {request[name]:.3f}" for name in
                                 ("sent", "ran", "answered") if name in request)
                (caller, port), address = request["flow"]
                file.write(f"{number} {caller}:{port}>{address[0]}:{address[1]} {times} "
                           f"by {request.get('target', 'none')} runs {request['runs']}\n")


def main(world_class, case):
    """Plays a case. Returns 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    world = None

    async def play():
        try:
            await world.start()
            await world.play()
        finally:
            await world.finish()

    try:
        world = world_class(case)
        asyncio.run(asyncio.wait_for(play(), 115))
    except (CannotRun, OSError, asyncio.TimeoutError) as problem:
        print(f"could not run: {problem!r}")
        if world:
            world.write_record(f"could not run: {problem!r}")
        return 2
    broken = [text for rule, text in world.problems if rule == world.rule]
    others = [f"{rule}: {text}" for rule, text in world.problems if rule != world.rule]
    verdict = f"{world.rule} broken {len(broken)} times" if broken else f"{world.rule} held"
    world.write_record(verdict)
    print(verdict, f"({len(others)} breaks of other rules)" if others else "")
    for text in (broken + others)[:3]:
        print(" ", text)
    if os.environ.get("KEEP"):
        print("logs:", world.folder)
    else:
        shutil.rmtree(world.folder, ignore_errors=True)
    if not broken and others and not world.trouble:
        return 1
    return 1 if broken else 0
