"""A machine is lost, and its address is used again by a target of another service."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from deployment import BOUNDS, Node, Target, World, main


class ReusedAddress(World):
    rule = "ROUTE"

    def on_run(self, number, flow, target):
        super().on_run(number, flow, target)
        if flow[1] != self.address(target.service):
            self.broken("ROUTE", f"{target.id} of {target.service} on {target.node.name} runs "
                        f"{number}, which a client sent to {flow[1][0]}:{flow[1][1]}")

    async def load(self):
        number = 0
        while True:
            number += 1
            self.spawn(self.short_flow(self.clients[number % 3], self.address("bookings")))
            await asyncio.sleep(0.01)

    async def play(self):
        self.spawn(self.load())
        await asyncio.sleep(4)
        target = self.targets[0]
        node = target.node
        if not self.trouble:
            await asyncio.sleep(8)
            return
        target.crash()
        await node.end(signal.SIGKILL)
        self.note(f"{node.name} ({node.ip}) with {target.id} of {target.service} is lost")
        await asyncio.sleep(BOUNDS["reuseAfterS"])
        successor = Node(self, "side-new", node.ip, node.zone, "recordings")
        successor.store_port = node.store_port
        self.sides.append(successor)
        replacement = Target(self, successor, "recordings")
        self.targets.append(replacement)
        await replacement.start()
        await successor.start()
        self.note(f"{node.ip} is used again, by {successor.name} with {replacement.id} of "
                  "recordings, which is registered")
        await asyncio.sleep(6)


if __name__ == "__main__":
    sys.exit(main(ReusedAddress, os.path.dirname(os.path.abspath(__file__))))
