"""Fault: an entry of another writer at the address of an edge machine makes packets circulate."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import bed3
from bed3 import TROUBLE, Client, Target

ZONES = ("za", "zb", "zc")
IDLE_S = 10.0
MOST_CPU = 0.5  # of one core, without any traffic


def cpu_seconds(process):
    with open(f"/proc/{process.pid}/stat") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def call(bed, seconds):
    """90 new flows a second. Returns how the client attempts ended, by zone."""
    ends = {zone: {} for zone in ZONES}

    async def one(zone):
        end = await Client(bed, (bed.ip("200.1"), 443), zone).run()
        ends[zone][end] = ends[zone].get(end, 0) + 1

    tasks, until = [], bed.now() + seconds
    while bed.now() < until:
        for zone in ZONES:
            tasks.append(bed.spawn(one(zone)))
        await asyncio.sleep(0.033)
    await asyncio.gather(*tasks)
    return ends


async def idle_share(bed):
    """Share of a core that each process uses while no client sends anything."""
    await asyncio.sleep(2)
    before = {name: cpu_seconds(process) for name, process in bed.processes.items()}
    await asyncio.sleep(IDLE_S)
    return {name: (cpu_seconds(process) - before[name]) / IDLE_S
            for name, process in bed.processes.items()}


async def case(bed):
    edges = [(bed.ip(f"10.{n + 1}"), ZONES[n]) for n in range(3)]
    targets = [Target(bed, bed.ip(f"20.{n + 1}"), "tempahan" if n < 4 else "rakaman", ZONES[n % 3])
               for n in range(6)]
    bed.write_config(3, {443: "tempahan", 8443: "rakaman"})
    await bed.start(edges, targets)
    await bed.wait_ready()
    await asyncio.sleep(3)
    bed.note("clients", ends=await call(bed, 3))
    if TROUBLE:
        # Without `version`, `coldMs` and `seq`: it names no target to use.
        bed.store.put("servers/edge-entry", {
            "service": "tempahan", "address": f"{edges[0][0]}:{bed3.APP}", "zone": "za",
            "slots": 2000, "state": "ready"})
        bed.note("store", entry_of_another_writer=edges[0][0])
    await asyncio.sleep(2)
    ends = await call(bed, 5)
    bed.note("clients", ends=ends)
    with_entry = await idle_share(bed)
    bed.note("cpu", share_of_a_core_without_traffic=with_entry)
    bed.store.delete("servers/edge-entry")
    bed.note("store", entry_of_another_writer="removed")
    await asyncio.sleep(5)
    without = await idle_share(bed)
    bed.note("cpu", share_of_a_core_without_traffic=without)
    return [f"{name} uses {100 * share:.0f}% of a core without any traffic, "
            f"{100 * without[name]:.0f}% after the entry is gone; "
            f"clients' attempts in its zone: {ends['za']}"
            for name, share in with_entry.items() if share > MOST_CPU]


bed3.play(FOLDER, 62, case)
