"""RECOVER: entries of another writer at the edge machines' addresses make packets circulate."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import bed3
from bed3 import TROUBLE, Client, Target

ZONES = ("za", "zb", "zc")
IDLE_S = 5.0
RECOVERY_S = 12  # recoveryS


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


def served_share(ends):
    counts = [count for zone in ends.values() for count in zone.values()]
    return sum(zone.get("200", 0) for zone in ends.values()) / max(1, sum(counts))


async def kill_all(bed, edges, targets):
    """The final fault: all processes of the system are killed, and restarted a second later."""
    bed.note("fault", killed="all processes")
    for process in bed.processes.values():
        process.kill()
        process.wait()
    await asyncio.sleep(1)
    for number, (ip, zone) in enumerate(edges):
        bed.start_process(f"edge-{number + 1}", ip, zone, bootstrap=False)
    for number, target in enumerate(targets):
        bed.start_process(f"side-{number + 1}", target.ip, target.zone, target.service, False)
    bed.note("fault", processes="back")


async def case(bed):
    edges = [(bed.ip(f"10.{n + 1}"), ZONES[n]) for n in range(3)]
    targets = [Target(bed, bed.ip(f"20.{n + 1}"), "tempahan" if n < 4 else "rakaman", ZONES[n % 3])
               for n in range(6)]
    bed.write_config(3, {443: "tempahan", 8443: "rakaman"})
    await bed.start(edges, targets)
    await bed.wait_ready()
    await asyncio.sleep(3)
    before = await call(bed, 4)
    bed.note("clients", before_the_final_fault=before)
    if TROUBLE:
        # Without `version`, `coldMs` and `seq`: they name no target to use.
        for number, (ip, zone) in enumerate(edges):
            bed.store.put(f"servers/edge-entry-{number}", {
                "service": "tempahan", "address": f"{ip}:{bed3.APP}", "zone": zone,
                "slots": 2000, "state": "ready"})
        bed.note("store", entries_of_another_writer=len(edges))
    await asyncio.sleep(1)
    bed.write_config(5, {443: "tempahan", 8443: "rakaman", 8444: "rakaman"})
    await kill_all(bed, edges, targets)
    await asyncio.sleep(RECOVERY_S + 0.5)
    after = await call(bed, 5)
    bed.note("clients", after_recovery=after)
    with_entries = await idle_share(bed)
    bed.note("cpu", share_of_a_core_without_traffic=with_entries)
    for number in range(len(edges)):
        bed.store.delete(f"servers/edge-entry-{number}")
    bed.note("store", entries_of_another_writer="removed")
    await asyncio.sleep(5)
    without = await idle_share(bed)
    bed.note("cpu", share_of_a_core_without_traffic=without)
    if served_share(before) < 0.25 or served_share(after) >= 0.25:
        return []
    busy = {name: f"{100 * share:.0f}%" for name, share in with_entries.items() if share > 0.5}
    still = {name: f"{100 * share:.0f}%" for name, share in without.items() if share > 0.5}
    return [f"served {100 * served_share(before):.0f}% of the attempts before the final fault, "
            f"{100 * served_share(after):.0f}% later than {RECOVERY_S} s after it; processor "
            f"without traffic: {busy}, after the entries are gone: {still}"]


bed3.play(FOLDER, 62, case)
