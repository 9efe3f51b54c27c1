"""An entry of another writer, for a service that no configuration names."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from deployment import World, main


class ForeignEntry(World):
    rule = "FLOW"

    def on_reset(self, flow, packet, sender):
        super().on_reset(flow, packet, sender)
        self.check_reset(flow, packet, sender)

    async def play(self):
        for number in range(42):
            self.spawn(self.long_flow(self.clients[number % 3], self.address("bookings")))
            await asyncio.sleep(0.05)
        await asyncio.sleep(3)
        target = self.targets[0]
        self.note(f"{target.id} on {target.node.name} holds {len(target.flows)} flows")
        if self.trouble:
            self.store.put_json("servers/exporter-1", {
                "service": "node-exporter", "address": f"{target.ip}:9100",
                "zone": target.node.zone, "version": "v1", "slots": 1, "state": "ready",
                "coldMs": 0, "seq": 1, "born": int(time.time() * 1000)})
            self.note(f"store: entry servers/exporter-1 for {target.ip}:9100, which another "
                      "writer wrote")
        await asyncio.sleep(8)


if __name__ == "__main__":
    sys.exit(main(ForeignEntry, os.path.dirname(os.path.abspath(__file__))))
