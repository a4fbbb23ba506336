"""Each key runs at most once and "not run" is true under any order of failures."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from bilberryridge.core import outcomes
from bilberryridge.decisions.tests import fleet

N_KEYS = 3
VMS = ("north-0", "north-1", "south-0", "south-1")


class AtMostOnceMachine(stateful.RuleBasedStateMachine):
    """Callers that retry through any entry VM while VMs, links and the store fail."""

    def __init__(self):
        super().__init__()
        self.fleet = fleet.Fleet()
        self.n_sent = 0
        prefix = self.fleet.key_prefix("north-0")
        self.keys = [f"{prefix}a", f"{prefix}b", "own-key"]
        self.key_of = {}
        self.checked = set()

    @stateful.rule(key=st.integers(0, N_KEYS - 1), vm=st.sampled_from(VMS))
    def caller_sends(self, key, vm):
        if vm in self.fleet.frozen:
            return
        self.n_sent += 1
        request_id = f"r{self.n_sent}"
        self.key_of[request_id] = self.keys[key]
        self.fleet.send(vm, request_id, self.keys[key], b"body")

    @stateful.rule(i=st.integers(0, 5), is_answer_lost=st.booleans())
    def attempt_arrives(self, i, is_answer_lost):
        if self.fleet.attempts:
            self.fleet.deliver_attempt(i % len(self.fleet.attempts), is_answer_lost)

    @stateful.rule(i=st.integers(0, 5))
    def attempt_is_lost(self, i):
        if self.fleet.attempts:
            self.fleet.lose_attempt(i % len(self.fleet.attempts))

    @stateful.rule(i=st.integers(0, 30), is_doubled=st.booleans())
    def message_arrives(self, i, is_doubled):
        if self.fleet.controls:
            self.fleet.deliver_control(i % len(self.fleet.controls), is_doubled)

    @stateful.rule(
        i=st.integers(0, 3), is_down=st.booleans(), is_answer_lost=st.booleans()
    )
    def store_answers(self, i, is_down, is_answer_lost):
        if self.fleet.pending_claims:
            i %= len(self.fleet.pending_claims)
            self.fleet.answer_claim(i, is_down, is_answer_lost)

    @stateful.rule(vm=st.sampled_from(VMS))
    def vm_is_replaced(self, vm):
        self.fleet.start(vm)

    @stateful.rule(vm=st.sampled_from(VMS))
    def vm_freezes_or_thaws(self, vm):
        self.fleet.frozen ^= {vm}

    @stateful.rule(a=st.sampled_from(VMS), b=st.sampled_from(VMS))
    def link_is_cut_or_heals(self, a, b):
        self.fleet.cut_links ^= {frozenset((a, b))}

    @stateful.rule(seconds=st.sampled_from([0.05, 1.0, 40.0]))
    def time_passes(self, seconds):
        self.fleet.tick(seconds)

    @stateful.invariant()
    def each_key_ran_at_most_once(self):
        assert all(n <= 1 for n in self.fleet.ran.values()), self.fleet.ran

    @stateful.invariant()
    def not_run_is_true(self):
        for request_id, key in self.key_of.items():
            for answer in self.fleet.answers.get(request_id, ()):
                if (request_id, id(answer)) in self.checked:
                    continue
                self.checked.add((request_id, id(answer)))
                if isinstance(answer, outcomes.Refusal):
                    is_not_run = answer.outcome is outcomes.Outcome.NOT_RUN
                    assert not (is_not_run and self.may_have_run(key)), answer

    def may_have_run(self, key):
        in_flight = [
            a
            for a in self.fleet.attempts
            if a.effect.envelope is None and a.req.idempotency_key == key
        ]
        return bool(self.fleet.ran[key] or in_flight)

    @stateful.invariant()
    def nobody_gets_two_answers(self):
        assert all(len(found) <= 1 for found in self.fleet.answers.values())


TestAtMostOnceMachine = AtMostOnceMachine.TestCase
TestAtMostOnceMachine.settings = hypothesis.settings(
    max_examples=150,
    stateful_step_count=40,
    suppress_health_check=list(hypothesis.HealthCheck),
)
