"""All processes are killed at once after a route has been given to another service."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from deployment import World, main

FLOWS = 30
DOWN_S = 0.5
PAUSE_S = (5.5, 9.0)  # longer than contactMs, shorter than idleTimeoutMs


class KillAfterRouteChange(World):
    rule = "FLOW"

    @property
    def moved(self):
        return self.route_address(9)

    def on_reset(self, flow, packet, sender):
        super().on_reset(flow, packet, sender)
        self.check_reset(flow, packet, sender)

    def route(self, service):
        return {"name": "r-moved", "host": self.moved[0], "prefix": "/443/", "kind": "safe",
                "timeoutMs": 1200, "sloMs": 120, "priority": 2, "service": service, "attempts": 2}

    async def feed(self, client):
        """A long flow with a request now and then, and one just before the kill."""
        flow = client.new_flow(self.moved)
        if not await flow.open():
            return
        await flow.request(1.2)
        await self.last_request.wait()
        await flow.request(1.2)
        for _ in range(2):
            await asyncio.sleep(self.random.uniform(*PAUSE_S))
            if flow.state == "open" and await flow.request(1.2):
                self.count("requests served after the kill")

    async def play(self):
        self.last_request = asyncio.Event()
        self.publish([self.route("bookings")])
        await asyncio.sleep(4)
        for number in range(FLOWS):
            self.spawn(self.feed(self.clients[number % 3]))
            await asyncio.sleep(0.03)
        await asyncio.sleep(1)
        self.publish([self.route("recordings")])
        await asyncio.sleep(5)
        self.last_request.set()
        await asyncio.sleep(0.5)
        if self.trouble:
            self.note("all processes are killed")
            nodes = self.edges + self.sides
            await asyncio.gather(*(node.end(signal.SIGKILL) for node in nodes))
            await asyncio.sleep(DOWN_S)
            for node in nodes:
                await node.start()
                node.disturbed_at = self.now()
            self.note("all processes run again")
        await asyncio.sleep(2 * PAUSE_S[1] + 2)
        held = sum(flow in target.flows for flow, target in self.opened.items()
                   if flow[1] == self.moved)
        self.note(f"{held} of {FLOWS} flows are still held by their targets")


if __name__ == "__main__":
    sys.exit(main(KillAfterRouteChange, os.path.dirname(os.path.abspath(__file__))))
