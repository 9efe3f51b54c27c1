"""A slow target answers first packets late; edge nodes are then stopped and started in turn."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from deployment import World, main

SLOW_FACTOR = 5.0  # srv_slow: x = 5.0 for 6.5 s, at a share of 0.16 of a service's targets
SLOW_S = 6.5
HANDSHAKE_S = 0.020  # of a target that isn't slow
ROLL_GAP_S = 1.3  # roll_term: gap_s = 1.3, share = 0.45


class LateHandshake(World):
    rule = "FLOW"

    def on_reset(self, flow, packet, sender):
        super().on_reset(flow, packet, sender)
        self.check_reset(flow, packet, sender)

    async def play(self):
        client, address, slow = self.clients[0], self.address("bookings"), self.targets[2]
        for target in self.targets:
            target.HANDSHAKE_S = HANDSHAKE_S
        if self.trouble:
            slow.slow, slow.disturbed_at = SLOW_FACTOR, 1e9
            self.note(f"{slow.id} on {slow.node.name} turns slow, factor {SLOW_FACTOR}")
        end = self.now() + SLOW_S
        while self.now() < end:
            self.spawn(self.long_flow(client, address, 1.5))
            await asyncio.sleep(0.033)
        slow.slow, slow.disturbed_at = 1.0, self.now()
        self.note(f"{slow.id} is as before")
        await asyncio.sleep(12)  # longer than contactMs, and until half-open flows are given up
        for edge in self.edges[:2]:
            self.note(f"{edge.name} gets SIGTERM")
            await edge.end(signal.SIGTERM)
            await edge.start()
            while not edge.in_rotation:
                await asyncio.sleep(0.1)
            self.note(f"{edge.name} is back")
            await asyncio.sleep(ROLL_GAP_S)
        await asyncio.sleep(4)


if __name__ == "__main__":
    sys.exit(main(LateHandshake, os.path.dirname(os.path.abspath(__file__))))
