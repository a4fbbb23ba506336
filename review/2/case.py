"""A broken stream goes on at a replica that answers 500: its end never comes."""

import asyncio
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
import stand_ins as s  # noqa: E402

N_STREAMS = 200
N_EVENTS, EVENT_EVERY_S = 64, 0.2
CRASH_AT_S, GREY_AT_S, GREY_FOR_S, GREY_X = 10.0, 9.5, 4.0, 0.45
TIMEOUT_S = 15.0
GAP_S = max(2.0, 4 * 1.2, 8 * 0.8)
"""After such a gap a requester abandons a stream."""
ROUTES = [
    s.route(
        "lohu930", "stream", s.MODEL, timeout_ms=15000, target_latency_ms=1200,
        priority=1, max_attempts=2, resumable=True, gap_aim_ms=800,
    )
]


async def play(deployment, record, has_trouble):
    await deployment.start(s.config(7, ROUTES))
    rng = random.Random(1)
    grey = {"from_s": None}

    async def answer(replica, line, fields, body, writer):
        replica.ran(fields, f"after-event-{fields.get('last-event-id', '0')}")
        since_s = None if grey["from_s"] is None else record.now_s() - grey["from_s"]
        if since_s is not None and since_s < GREY_FOR_S and rng.random() < GREY_X:
            record.write(
                "replica fails", id=replica.id, request=fields["attempt-id"], status=500
            )
            writer.write(replica.head(fields, "500 Error", 5) + b"error")
            await writer.drain()
            return True
        seal = f"Response-Seal: {s.SEAL}"
        kind = "Content-Type: text/event-stream"
        writer.write(replica.head(fields, "200 OK", None, seal, kind))
        for number in range(int(fields.get("last-event-id", 0)) + 1, N_EVENTS + 1):
            await asyncio.sleep(EVENT_EVERY_S)
            writer.write(s.chunk(f"id: {number}\ndata: {'x' * 40}\n\n".encode()))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    for number in range(4):
        await deployment.add_replica(
            f"i-{number}aa", s.MODEL, "catania-a", 64, answer
        )
    await deployment.start_daemons("catania-a", "catania-a")
    # All machines are in touch by then.
    await asyncio.sleep(s.CONTACT_S + 1.0)
    requester = s.Requester(record)
    start_s = record.now_s()
    tasks = [
        asyncio.create_task(
            requester.send(
                deployment.daemons[number % 2].front, "POST", "/lohu930/2f",
                f"{number:016x}", TIMEOUT_S + 2.0, b"{}", GAP_S,
                Model="m", Token_Counts="1460,384",
                Prompt_Prefix=f"{number % 12:08x}:800,{number + 99:08x}:660",
            )
        )
        for number in range(N_STREAMS)
    ]
    if has_trouble:
        await asyncio.sleep(start_s + GREY_AT_S - record.now_s())
        grey["from_s"] = record.now_s()
        await asyncio.sleep(start_s + CRASH_AT_S - record.now_s())
        deployment.replicas[0].crash()
    answers = await asyncio.gather(*tasks)
    late_s = [a.ended_s - a.sent_s for a in answers]
    n_longer = sum(took_s > TIMEOUT_S for took_s in late_s)
    n_unanswered = sum(took_s > TIMEOUT_S + 0.5 for took_s in late_s)
    record.write(
        "result", streams=N_STREAMS, complete=sum(a.is_complete for a in answers),
        open_at_timeout=n_longer, open_half_a_second_later=n_unanswered,
    )
    print(
        f"{N_STREAMS} streams, {sum(a.is_complete for a in answers)} complete,"
        f" {n_longer} open at timeout_ms, {n_unanswered} still open 0.5 s later"
    )
    return n_unanswered >= 8 and n_unanswered > n_longer / 2


sys.exit(s.run_case(FOLDER, play))
