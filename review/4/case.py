"""A large entry of another writer, under a key that has to be encoded in a query."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from deployment import BOUNDS, World, main

KEY = os.environ.get("KEY", "servers/backup&restore")
MAX_VALUE_BYTES = 1048576


class LargeForeignEntry(World):
    rule = "DRAIN"
    drained = None

    def on_opening(self, flow, target):
        if target is not self.drained:
            return
        late = self.now() - self.drained_at - BOUNDS["drainMs"] / 1000
        if late > 0 and flow not in target.half_open:
            self.broken("DRAIN", f"{target.id} on {target.node.name} gets a first packet "
                        f"{late:.2f} s after the bound")

    async def load(self):
        number = 0
        while True:
            number += 1
            self.spawn(self.short_flow(self.clients[number % 3], self.address("bookings")))
            await asyncio.sleep(0.02)

    async def play(self):
        self.spawn(self.load())
        await asyncio.sleep(3)
        if self.trouble:
            self.store.put(KEY, os.urandom(MAX_VALUE_BYTES))
            self.note(f"store: {KEY}, {MAX_VALUE_BYTES} bytes of another writer")
        await asyncio.sleep(3)
        target = self.targets[0]
        target.register("draining")
        self.drained, self.drained_at = target, self.now()
        self.note(f"store: {target.id} on {target.node.name} is draining, acknowledged")
        await asyncio.sleep(BOUNDS["drainMs"] / 1000 + 4)


if __name__ == "__main__":
    sys.exit(main(LargeForeignEntry, os.path.dirname(os.path.abspath(__file__))))
