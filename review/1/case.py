"""A machine is lost, and its address is used again by a target of another service."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from deployment import BOUNDS, Node, Target, World, main


MACHINES = 2  # a share of 0.25 of the service's 7 targets


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
            await asyncio.sleep(0.006)

    async def lose(self, target):
        target.crash()
        await target.node.end(signal.SIGKILL)
        self.note(f"{target.node.name} ({target.ip}) with {target.id} of {target.service} is lost")

    async def reuse(self, node):
        """Starts a machine of another service at the address of a lost one."""
        successor = Node(self, f"new-{node.name}", node.ip, node.zone, "recordings")
        successor.store_port = node.store_port
        self.sides.append(successor)
        replacement = Target(self, successor, "recordings")
        self.targets.append(replacement)
        await replacement.start()
        await successor.start()
        self.note(f"{node.ip} is used again, by {successor.name} with {replacement.id} of "
                  "recordings, which is registered")

    async def play(self):
        self.spawn(self.load())
        await asyncio.sleep(4)
        if not self.trouble:
            await asyncio.sleep(8)
            return
        lost = self.targets[:MACHINES]
        await asyncio.gather(*(self.lose(target) for target in lost))
        await asyncio.sleep(BOUNDS["reuseAfterS"])
        await asyncio.gather(*(self.reuse(target.node) for target in lost))
        await asyncio.sleep(6)


if __name__ == "__main__":
    sys.exit(main(ReusedAddress, os.path.dirname(os.path.abspath(__file__))))
