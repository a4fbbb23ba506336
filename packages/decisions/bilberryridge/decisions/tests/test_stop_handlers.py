from bilberryridge.core import outcomes
from bilberryridge.decisions import effects, events, stop_handlers
from bilberryridge.decisions.tests import fleet


def kinds(running):
    return [type(effect) for _, effect in running.effects]


def test_planned_stop_ends_only_after_the_last_request():
    running = fleet.Fleet()
    running.send("north-0", "r", service=fleet.MODEL)
    attempt = running.attempts.pop(0)
    for _ in range(2):
        running.give("north-0", events.StopAsked())
    running.tick(stop_handlers.LEAVE_GRACE_S + 0.1)
    running.tick(600.0)
    assert effects.StopAccepting in kinds(running)
    assert effects.Stopped not in kinds(running)
    running.end(attempt, events.AttemptResult.COMPLETE, 200)
    running.tick()
    assert kinds(running).count(effects.Stopped) == 1


def test_leaving_daemon_serves_during_its_grace_period_and_refuses_afterwards():
    running = fleet.Fleet()
    running.give("north-0", events.StopAsked())
    running.send("north-0", "in-grace", service=fleet.MODEL)
    assert len(running.attempts) == 1
    running.tick(stop_handlers.LEAVE_GRACE_S + 0.1)
    running.send("north-0", "after", service=fleet.MODEL)
    (refusal,) = running.answers["after"]
    assert (refusal.reason, refusal.outcome) == (
        outcomes.Reason.STOPPING,
        outcomes.Outcome.NOT_RUN,
    )


def test_entry_answers_exclude_leaving_and_dead_daemons():
    running = fleet.Fleet()
    running.tick()
    running.deliver_all()
    running.give("north-0", events.StopAsked())
    running.tick()
    running.deliver_all()
    running.tick(1.0)
    running.give("north-1", events.PeerDown("south-0"))
    running.give("north-1", events.VmListRead((("south-0", events.VmState.LIVE),)))
    running.give("north-1", events.VmListRead(()))
    running.give("north-1", events.EntryAsked("entry", fleet.TOKEN_DIGEST))
    (answer,) = running.answers["entry"]
    named = [vm.vm for vm in answer.entry_vms]
    assert named[0] == "north-1"
    assert not {"north-0", "south-0"} & set(named)
