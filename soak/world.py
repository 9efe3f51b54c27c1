"""Stand-ins for the soak: the store, backend servers, callers and routers.

All of them run in one asyncio loop, on loopback addresses that only the soak
uses. Packets carry a checksum over the fields that relays must not change.
"""

import asyncio
import base64
import json
import struct
import zlib
from urllib.parse import unquote

PACKET_PORT, READY_PORT, PEER_PORT, METRICS_PORT = 18172, 18167, 17720, 19464
OUTBOUND_PORT, APP_PORT, STORE_PORT = 18162, 18165, 18169
SYN, ACK, FIN, RST, RETURNED = 32, 128, 64, 2, 8
RESET_WINDOW = 76800
HEADER = struct.Struct(">BBIIIIHH4s4sH")


class Network:
    """Loopback addresses of one run, so that concurrent runs do not collide."""

    number = 0

    @classmethod
    def ip(cls, host):
        return f"127.{cls.number}.{host}"


def caller_ip():
    return Network.ip("40.1")


def store_ip():
    return Network.ip("30.1")


def pack(flags, src, dst, seq, ack, data=b""):
    body = (flags, seq, ack, src, dst, data)
    checksum = zlib.crc32(repr(body).encode())
    return HEADER.pack(flags, 0, seq, ack, checksum, 0, len(data), dst[1], encode_ip(dst[0]),
                       encode_ip(src[0]), src[1]) + data


def encode_ip(text):
    return bytes(int(part) for part in text.split("."))


class Packet:
    """A decoded packet; `intact` is False when a field other than the tag changed."""

    def __init__(self, raw):
        (self.flags, self.pad, self.seq, self.ack, checksum, self.echo, size, dport, dst, src,
         sport) = HEADER.unpack(raw[:HEADER.size])
        self.raw, self.data = raw, raw[HEADER.size:]
        self.src = (".".join(map(str, src)), sport)
        self.dst = (".".join(map(str, dst)), dport)
        content = (self.flags & ~RETURNED, self.seq, self.ack, self.src, self.dst, self.data)
        self.is_relay_reset = self.flags == RST and checksum == 0
        self.intact = size == len(self.data) and (
            self.is_relay_reset or checksum == zlib.crc32(repr(content).encode()))


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self, handler):
        self.handler = handler

    def datagram_received(self, data, addr):
        self.handler(data, addr)

    def error_received(self, exc):
        pass


async def udp(address, handler):
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(lambda: Datagrams(handler),
                                                       local_addr=address)
    return transport


class Store:
    """The platform's store, read over HTTP on a separate port per node."""

    PAGE_ITEMS = 5

    def __init__(self):
        self.revision, self.items, self.mode = 1, {}, {}
        self.events = []  # items as they were written, and deletions
        self.era, self.calls = 1, 0

    def put(self, key, value):
        self.put_bytes(key, json.dumps(value).encode())

    def put_bytes(self, key, value):
        self.revision += 1
        self.items[key] = {"key": key, "value": base64.b64encode(value).decode(),
                           "revision": self.revision, "created": self.revision, "lease": 0}
        self.events.append(self.items[key])

    def delete(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.events.append({"key": key, "revision": self.revision, "deleted": True})

    def copy(self):
        return self.revision, dict(self.items), list(self.events)

    def restore(self, copy):
        """Goes back to the copy; its revisions are given out again."""
        self.revision, self.items, self.events = copy[0], dict(copy[1]), list(copy[2])
        self.era += 1

    def answer(self, target):
        path, _, query = target.partition("?")
        args = {name: unquote(value) for name, _, value in
                (pair.partition("=") for pair in query.split("&") if pair)}
        if path == "/v1/kv-range":
            items = [self.items[key] for key in sorted(self.items)
                     if key.startswith(args["prefix"]) and key > args.get("after", "")]
            return 200, {"items": items[:self.PAGE_ITEMS],
                         "truncated": len(items) > self.PAGE_ITEMS, "asOf": self.revision}
        if path == "/v1/kv-key":
            if args["key"] not in self.items:
                return 404, {}
            return 200, {**self.items[args["key"]], "asOf": self.revision}
        if path == "/v1/kv-watch" and int(args["after"]) > self.revision:
            return 410, {}
        if path == "/v1/kv-watch":
            return 200, {"events": [event for event in self.events
                                    if event["key"].startswith(args["prefix"]) and
                                    event["revision"] > int(args["after"])],
                         "asOf": self.revision}
        return 404, {}

    async def serve(self, ip, reader, writer):
        """Serves a connection of the node at `ip`; each call reads the node's fault mode."""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.calls += 1
                mode = self.mode.get(ip, "ok")
                if mode == "reset":
                    writer.transport.abort()
                    return
                if mode == "silent":
                    await asyncio.sleep(30)
                    return
                if mode == "slow":
                    await asyncio.sleep(0.3)
                status, body = (503, {}) if mode == "busy" else self.answer(
                    head.split(b" ")[1].decode())
                text = json.dumps(body).encode()
                writer.write(b"HTTP/1.1 %d x\r\nStore-Era: %d\r\nContent-Length: %d\r\n\r\n" %
                             (status, self.era, len(text)) + text)
                if mode == "one_way":
                    await asyncio.sleep(30)
                    return
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def listen_for(self, ip, port):
        await asyncio.start_server(lambda r, w: self.serve(ip, r, w), store_ip(), port)


class Backend:
    """A backend server: one service, its flows, and its registration."""

    def __init__(self, world, ip, service, zone):
        self.world, self.ip, self.service, self.zone = world, ip, service, zone
        self.number, self.alive, self.transport = 0, False, None

    async def start(self):
        self.number += 1
        self.id = f"{self.ip}-{self.number}"
        self.alive, self.draining = True, False
        self.accept_s = self.world.random.choice((0.0, 0.0, 0.0, 0.03))
        self.half_open, self.flows, self.ended = {}, set(), set()
        self.transport = await udp((self.ip, APP_PORT), self.receive)
        self.register()

    def register(self):
        self.world.store.put(f"servers/{self.id}", {
            "service": self.service, "address": f"{self.ip}:{APP_PORT}", "zone": self.zone,
            "version": "v1", "slots": 4, "state": "draining" if self.draining else "ready",
            "coldMs": 0, "seq": self.number, "born": self.number})

    def drain(self):
        self.draining, self.drained_at = True, self.world.now()
        self.register()

    def crash(self):
        self.alive = False
        self.flows.clear()
        self.half_open.clear()
        self.transport.close()
        self.world.call_later(2.0, lambda key=f"servers/{self.id}": self.world.store.delete(key))

    def send(self, raw):
        self.transport.sendto(raw, (self.ip, OUTBOUND_PORT))

    def offer(self, flow, accepted, delay, repetitions):
        """Accepts a first packet after `delay`, and again until the caller acknowledges it."""
        number = self.number

        def send():
            if (self.alive and self.number == number and flow not in self.flows
                    and flow not in self.ended):
                self.send(accepted)
                if repetitions:
                    self.offer(flow, accepted, repetitions[0], repetitions[1:])

        asyncio.get_running_loop().call_later(delay, send)

    def receive(self, raw, addr):
        world, packet = self.world, Packet(raw)
        flow = (packet.src, packet.dst)
        if not packet.intact:
            world.add_problem("a backend server got a changed packet")
        if packet.flags & SYN:
            if self.service not in world.services_of(packet.dst):
                world.add_problem(f"{self.service} got a first packet for {packet.dst}")
            if (self.draining and world.now() - self.drained_at > world.DRAIN_TIMEOUT_S
                    and world.is_calm(self.ip, world.DRAIN_TIMEOUT_S)):
                world.add_problem(f"{self.id} got a first packet after it drained")
            if flow not in self.half_open:
                world.check_evacuation(self)
                seq = self.half_open.setdefault(flow, world.random.getrandbits(31))
                accepted = pack(SYN | ACK, packet.dst, packet.src, seq, packet.seq + 1)
                self.offer(flow, accepted, self.accept_s, [0.2, 0.4, 0.8, 1.6, 1.6, 1.6])
            return
        if flow not in self.flows and self.half_open.get(flow, -9) + 1 == packet.ack:
            self.flows.add(flow)
            world.on_flow_opened(flow, self)
        world.on_later_packet(flow, self)
        if flow not in self.flows:
            if flow in self.ended:
                return
            self.send(bytes([raw[0] | RETURNED, 0]) + raw[2:])
            return
        if packet.flags & FIN:
            self.flows.discard(flow)
            self.ended.add(flow)
            self.send(pack(FIN | ACK, packet.dst, packet.src, packet.ack, packet.seq + 1))
        elif packet.data:
            asyncio.get_running_loop().call_later(
                0.005, self.reply, flow, packet.ack, packet.seq + len(packet.data), packet.data)

    def reply(self, flow, seq, ack, data):
        if self.alive and flow in self.flows:
            self.send(pack(ACK, flow[1], flow[0], seq, ack,
                           b"HTTP/1.1 200 OK\r\n\r\n" + data[:40]))


class Caller:
    """One flow that stays open and sends requests repeatedly."""

    def __init__(self, world, port, address):
        self.world, self.key = world, ((caller_ip(), port), address)
        self.state, self.seq, self.ack, self.answer_received = "opening", 1000, 0, None
        self.requests_sent, self.answered = 0, 0

    def send(self, flags, data=b"", seq=None, ack=None):
        balancer = self.world.route(self.key)
        if balancer:
            raw = pack(flags, *self.key, self.seq if seq is None else seq,
                       self.ack if ack is None else ack, data)
            self.world.caller_socket.sendto(raw, (balancer, PACKET_PORT))

    async def run(self):
        for copy, wait in enumerate((0.2, 0.4, 0.8)):
            if self.state == "opening":
                self.send(SYN, seq=self.seq - 1, ack=copy)
                await asyncio.sleep(wait)
        while self.state == "open" and not self.world.stopping:
            await asyncio.sleep(self.world.random.uniform(0.05, 0.6))
            await self.send_request(self.world.ANSWER_TIMEOUT_S)
        if self.state == "opening":
            self.state = "closed"

    async def send_request(self, timeout):
        """Sends a request, repeated with backoff as by the users' callers, until it is answered.

        Returns False when no answer arrives within `timeout` seconds or the flow ends.
        """
        self.requests_sent += 1
        data = b"GET / HTTP/1.1\r\nX-Damaskwalk-Request-Id: %d-%d\r\n\r\n" % (
            self.key[0][1], self.requests_sent)
        self.answer_received, wait, begin = asyncio.Event(), 0.2, self.world.now()
        while self.state == "open" and self.world.now() - begin < timeout:
            self.send(ACK, data)
            try:
                await asyncio.wait_for(self.answer_received.wait(), wait)
                self.seq += len(data)
                return True
            except asyncio.TimeoutError:
                wait = min(1.6, wait * 2)
        return False

    def accepts(self, reset):
        """True if a reset's sequence number is as near as callers require on an open flow."""
        distance = (reset.seq - self.ack + 2 ** 31) % 2 ** 32 - 2 ** 31
        return abs(distance) <= RESET_WINDOW

    def receive(self, packet):
        if packet.flags & RST:
            if self.state == "open" and packet.is_relay_reset and not self.accepts(packet):
                return
            self.world.on_reset(self, packet)
            self.state = "closed"
        elif packet.flags & SYN:
            if self.state == "opening":
                self.state, self.ack = "open", packet.seq + 1
                self.send(ACK)
        elif packet.data and self.answer_received and packet.ack > self.seq:
            self.ack = packet.seq + len(packet.data)
            self.answered += 1
            self.answer_received.set()
