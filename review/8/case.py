"""A store that drops its history while a follower waits for the reader: removals get lost."""

import asyncio
import math
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import stage  # noqa: E402

LEAVES = 26
RATE_PER_S = 160.0
NOTICE_SHARE = 0.6  # of the requests must not run twice
RELEASED = 11  # 0.45 of them would be 11.7
GAP_S = 1.0
REMOVAL_DELAY_S = 0.1  # between the start of the new leaf and the removal of the old entry
DISCARD_DELAY_S = 0.05  # between that removal and the loss of the history
DISCARDS = (1, 7)  # steps of the release; more than `contactMs` apart
STAYS_S = 14.0  # time that an old leaf serves on after its removal
DRAIN_S = 3.0  # drainMs
CONTACT_S = 4.0  # contactMs
END_S = 26.0


class Leaf(stage.Leaf):
    """A leaf whose work takes as long as the customer's sheet says."""

    rng = random.Random(60)

    async def work(self, request_id):
        await asyncio.sleep(min(1.3, self.rng.lognormvariate(math.log(0.2), 0.5)))


async def scenario(site, record):
    store = site.store
    await store.start()
    for number in range(LEAVES):
        await site.add_leaf(Leaf(record, f"i-old{number:02}", "letter-vault", "pos-a"))
    route = {
        "name": "r-fetch",
        "hostname": "h.example",
        "pathPrefix": "/fetch/",
        "type": "idempotent",
        "timeoutMs": 5000,
        "targetLatencyMs": 800,
        "priority": 2,
        "backend": "letter-vault",
        "maxAttempts": 2,
    }
    notice = {**route, "name": "r-notice", "pathPrefix": "/notice/", "type": "non_idempotent"}
    site.publish([route, notice], [("letter-vault", 110, 0.0)])
    site.add_daemons("pos-a", "pos-a", "pos-a")
    if not await site.wait_ready():
        return stage.NOT_RUN
    await asyncio.sleep(5.0)  # longer than contactMs
    rng = random.Random(6)
    answers = {}
    sent = {}

    async def send_one():
        is_notice = rng.random() < NOTICE_SHARE
        target = "/notice/a" if is_notice else "/fetch/a"
        daemon = rng.choice(site.daemons)
        request_id, sent_at, answer = await site.send(
            daemon, target, "POST" if is_notice else "GET", body=b"x" if is_notice else b""
        )
        sent[request_id] = sent_at, daemon.name, is_notice
        answers[request_id] = answer

    async def load():
        while time.monotonic() < end:
            tasks.append(asyncio.create_task(send_one()))
            await asyncio.sleep(1 / RATE_PER_S)

    tasks = []
    end = time.monotonic() + END_S
    loading = asyncio.create_task(load())
    removed_at = {}
    discarded_at = []
    exits = []
    await asyncio.sleep(1.0)
    for step in range(RELEASED):
        started_at = time.monotonic()
        await site.add_leaf(Leaf(record, f"i-new{step:02}", "letter-vault", "pos-a"))
        await asyncio.sleep(REMOVAL_DELAY_S)
        old = site.leaves[f"i-old{step:02}"]
        store.remove(f"servers/{old.id}")
        removed_at[old.id] = time.monotonic()
        record.write(f"store: servers/{old.id} is removed, acknowledged")
        exits.append(asyncio.get_running_loop().call_later(STAYS_S, old.exit))
        if step in DISCARDS:
            await asyncio.sleep(DISCARD_DELAY_S)
            discarded_at.append(time.monotonic())
            if stage.TROUBLE:
                store.discard_history()
                record.write("store: the history is discarded")
        await asyncio.sleep(max(0.0, started_at + GAP_S - time.monotonic()))
    await loading
    await asyncio.gather(*tasks)

    def is_stable(at, since):
        return not stage.TROUBLE or all(not since < discard <= at for discard in discarded_at)

    late = []
    for leaf_id, removal in removed_at.items():
        if not is_stable(removal, removal - CONTACT_S):
            continue  # the store was not stable when it acknowledged
        for at, request_id, _, _ in site.leaves[leaf_id].arrivals:
            sent_at, daemon, _ = sent[request_id]
            if sent_at > removal + DRAIN_S and is_stable(at, sent_at - CONTACT_S):
                late.append((leaf_id, daemon, at - removal))
    for leaf_id, daemon, after_s in late:
        record.write(
            f"late: {leaf_id} got a request from {daemon} {after_s:.2f} s after its removal"
        )
    ran = {
        request_id
        for leaf in site.leaves.values()
        for _, request_id, _, run in leaf.arrivals
        if run
    }
    lost = [
        request_id
        for request_id, (_, _, is_notice) in sent.items()
        if is_notice and request_id in ran and answers[request_id] != "200"
    ]
    record.say(
        f"{len(sent)} requests, {sum(value == '200' for value in answers.values())} with 200"
    )
    record.say(f"{len(lost)} requests that must not run twice ran and got no answer of a leaf")
    leaves = sorted({leaf_id for leaf_id, _, _ in late})
    record.say(f"{len(late)} requests reached {leaves} later than drainMs after the removal")
    return stage.BROKEN if late else stage.HELD


stage.run(pathlib.Path(__file__).parent, scenario)
