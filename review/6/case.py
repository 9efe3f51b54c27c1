"""A rolling restart: each node beside a target, then each edge, one at a time.

Clients open flows all the while and keep them. A node beside a target is stopped at a moment at
which its target has just taken an opening packet.
"""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
sys.dont_write_bytecode = True
from relay_bed import BOUNDS, World, name_of, play

FLOWS_PER_S = 12
REQUEST_GAP_S = 1.0
MAX_FLOW_S = BOUNDS["maxFlowS"]
CONTACT_S = BOUNDS["contactMs"] / 1000
DOWN_S = 0.3  # from a node's end to its next start


class Case(World):
    def on_system_reset(self, client, sender):
        super().on_system_reset(client, sender)
        owner = self.owners.get(client.flow)
        if client.state != "open" or not owner:
            return
        target, opened_at = owner
        if target.alive and client.flow in target.flows and self.now() - opened_at < MAX_FLOW_S:
            self.violation("FLOW", f"{name_of(client.flow)} is open at {target.id} since "
                           f"{opened_at:.2f} s and was reset by {self.name_at(sender)}")


async def use_flow(world, until):
    client = world.client()
    if not await client.open():
        world.record(f"{name_of(client.flow)} did not open: {client.state}")
        return
    while world.now() < until and await client.request(5.0):
        await asyncio.sleep(REQUEST_GAP_S)
    world.record(f"{name_of(client.flow)} ends {client.state} after {client.number} requests")
    client.close()


async def open_flows(world, until):
    while world.now() < until:
        world.spawn(use_flow(world, until + 8.0))
        await asyncio.sleep(1.0 / FLOWS_PER_S)


async def restart_beside(world, node):
    """Stops the node as soon as its target has taken an opening packet."""
    taken = asyncio.get_running_loop().create_future()

    def on_syn(flow):
        if not taken.done():
            node.process.terminate()
            world.record(f"{node.name} is told to stop; its target has just taken "
                         f"{name_of(flow)}")
            taken.set_result(flow)

    node.target.on_syn = on_syn
    try:
        await asyncio.wait_for(taken, 5.0)
    except asyncio.TimeoutError:
        pass
    node.target.on_syn = None
    await node.stop()
    await asyncio.sleep(DOWN_S)
    await node.start()


async def run(world):
    begin = world.now()
    flows = world.spawn(open_flows(world, begin + 30.0))
    await asyncio.sleep(4.0)
    if world.trouble:
        for node in world.sides:
            await restart_beside(world, node)
            await asyncio.sleep(1.2)
        await asyncio.sleep(CONTACT_S)
        for node in world.edges:
            await node.stop()
            await asyncio.sleep(DOWN_S)
            await node.start()
            await asyncio.sleep(1.3)
    await flows
    await asyncio.sleep(9.0)


def make_world():
    world = Case(edges=3, targets=5)
    for target in world.targets:
        target.accept_s = 0.005
    return world


if __name__ == "__main__":
    sys.exit(play(FOLDER, make_world, run))
