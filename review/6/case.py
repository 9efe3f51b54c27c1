"""Rolling restarts of edges and of nodes beside targets under a load that fills the targets.

Clients open a flow for each request, or keep a flow open for many. Nothing is timed to the traffic.
"""

import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
sys.dont_write_bytecode = True
from relay_bed import BOUNDS, SLOTS, World, name_of, play

ROUNDS = 3
KEPT_PER_S, KEPT_S, KEPT_GAP_S = 10, 25.0, 2.0  # flows that are kept open
DEADLINE_S = 1.2
WORK_S = 0.029
LOAD = 0.85  # of what the slots can do while all nodes run
DOWN_S = 0.5  # from a node's end to its next start; as the bench's platform has it
CONTACT_S = BOUNDS["contactMs"] / 1000
MAX_FLOW_S = BOUNDS["maxFlowS"]


class Case(World):
    def __init__(self):
        super().__init__(edges=3, targets=3)
        for target in self.targets:
            target.work_s = WORK_S

    def on_system_reset(self, client, sender):
        super().on_system_reset(client, sender)
        owner = self.owners.get(client.flow)
        if client.state != "open" or not owner:
            return
        target, opened_at = owner
        node = next(node for node in self.sides if node.target is target)
        calm = node.process.returncode is None and self.now() - node.started_at > CONTACT_S
        if (calm and target.alive and client.flow in target.flows
                and self.now() - opened_at < MAX_FLOW_S):
            self.violation("FLOW", f"{name_of(client.flow)} is open at {target.id} since "
                           f"{opened_at:.2f} s and was reset by {self.name_at(sender)}")


async def use_once(world):
    client = world.client()
    if await client.open():
        await client.request(DEADLINE_S)
        client.close()


async def keep_flow(world):
    client = world.client()
    end = world.now() + KEPT_S
    if not await client.open():
        return
    while world.now() < end and await client.request(DEADLINE_S):
        await asyncio.sleep(KEPT_GAP_S)
    client.close()


async def use_many_once(world):
    rate = len(world.targets) * SLOTS / WORK_S * LOAD - KEPT_PER_S * KEPT_S / KEPT_GAP_S
    while True:
        world.spawn(use_once(world))
        await asyncio.sleep(random.expovariate(rate))


async def keep_many(world):
    while True:
        world.spawn(keep_flow(world))
        await asyncio.sleep(1.0 / KEPT_PER_S)


async def roll(nodes, gap_s):
    for node in nodes:
        await node.stop()
        await asyncio.sleep(DOWN_S)
        await node.start()
        await asyncio.sleep(gap_s)


async def run(world):
    world.spawn(use_many_once(world))
    world.spawn(keep_many(world))
    await asyncio.sleep(CONTACT_S)
    if not world.trouble:
        await asyncio.sleep(ROUNDS * 23.5)
        return
    for _ in range(ROUNDS):
        edges = world.spawn(roll(world.edges, 1.3))
        await roll(world.sides, 1.2)
        await roll(world.sides, 1.2)
        await edges
        await asyncio.sleep(CONTACT_S)
        await roll(world.edges, 1.3)


if __name__ == "__main__":
    sys.exit(play(FOLDER, Case, run))
