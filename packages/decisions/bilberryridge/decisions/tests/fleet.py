"""Simulates nodes in one process, with a network and backend servers of plain lists.

Nothing happens by itself: a test chooses which message is delivered, lost or duplicated
next, so that it can produce any order of events. Runs are counted at the servers.
"""

import collections
import hashlib
import random

import attrs

from bilberryridge.core import documents, encoding, messages, outcomes, requests
from bilberryridge.decisions import effects, events, node, state

TOKEN = "token"
TOKEN_DIGEST = hashlib.sha256(TOKEN.encode()).hexdigest()
BOOKINGS = "order-desk"
MODEL = "grower-assistant"


def make_documents(domains=("north", "south"), n_daemons=2, **service_fields):
    """Return the documents of a deployment with one region for each domain."""
    regions = tuple(f"{name}-region" for name in domains)
    docs = [documents.Organisation("growers", regions[0], (), (TOKEN_DIGEST,))]
    fields = {"regions": regions, **service_fields}
    kinds = documents.ServiceKind
    docs.append(documents.Service(BOOKINGS, kinds.PLAIN, **fields))
    docs.append(documents.Service(MODEL, kinds.MODEL, **fields))
    for name, region in zip(domains, regions, strict=True):
        docs.append(documents.Domain(name, region))
        for i in range(n_daemons):
            vm = f"{name}-{i}"
            address = (f"{vm}:8080", f"{vm}:8081", f"{vm}:8082")
            docs.append(documents.Vm(vm, documents.VmKind.ENTRY, name, *address))
        for service in (BOOKINGS, MODEL):
            server = f"{name}-{service}"
            docs.append(
                documents.Vm(
                    server,
                    documents.VmKind.SERVER,
                    name,
                    f"{server}:9000",
                    service=service,
                    n_slots=8,
                    tokens_per_s=200.0,
                )
            )
    return docs


def versions_of(docs, revision=1):
    """Return the documents as versions in the store, all of one revision."""
    by_type = {cls: kind for kind, cls in documents.KINDS.items()}
    return tuple(
        documents.Version(
            f"{by_type[type(doc)]}/{getattr(doc, 'name', '') or f'{doc.a}--{doc.b}'}",
            revision,
            encoding.to_json(doc),
        )
        for doc in docs
    )


@attrs.define(eq=False)
class Attempt:
    """A request in flight to a backend server or another daemon."""

    sender: str
    incarnation: str
    effect: effects.SendAttempt
    req: requests.Request


@attrs.define(eq=False)
class Control:
    """A control message in flight."""

    sender: str
    incarnation: str
    effect: effects.SendPeerMessage


class Fleet:
    """Nodes by VM name, messages in flight, requests run and answers to callers."""

    def __init__(self, docs=None, seed=1):
        self.random = random.Random(seed)
        self.now_s = 1000.0
        self.documents = docs or make_documents()
        self.nodes = {}
        self.frozen = set()
        self.cut_links = set()
        self.attempts = []
        self.controls = []
        self.claims = {}
        self.pending_claims = []
        self.ran = collections.Counter()
        self.answers = collections.defaultdict(list)
        self.requests = {}
        self.entries = {}
        self.relayed = {}
        self.n_started = 0
        self.effects = []
        for doc in self.documents:
            if getattr(doc, "kind", None) is documents.VmKind.ENTRY:
                self.start(doc.name)

    def start(self, vm, is_configured=True):
        """Start a node, or replace a running one with a new incarnation."""
        self.n_started += 1
        domain = vm.rsplit("-", 1)[0]
        cfg = state.NodeSettings(
            vm, domain, f"{domain}-region", f"i{self.n_started}", vm.encode()
        )
        self.frozen.discard(vm)
        for other in self.nodes:
            if other != vm:
                self.give(other, events.PeerDown(vm))
        self.nodes[vm] = node.Node(cfg, random.Random(self.n_started))
        if is_configured:
            read = events.ConfigurationRead(0, 1, versions_of(self.documents))
            self.give(vm, read)
        for other, running in self.nodes.items():
            if other != vm:
                self.give(vm, events.PeerUp(other, running.state.cfg.incarnation))
                self.give(other, events.PeerUp(vm, cfg.incarnation))
        for doc in self.documents:
            is_server = getattr(doc, "kind", None) is documents.VmKind.SERVER
            if is_server and doc.domain == domain:
                self.give(vm, events.LoadRead(doc.name, 0, 0))

    def give(self, vm, event):
        """Let a node handle an event and apply its effects."""
        for effect in self.nodes[vm].handle(self.now_s, event):
            self._apply(vm, effect)

    def tick(self, seconds=0.05):
        """Let time pass for all nodes that are not frozen."""
        self.now_s += seconds
        for vm in self.nodes:
            if vm not in self.frozen:
                self.give(vm, events.Tick())

    def send(self, vm, request_id, key="", body=b"", **fields):
        """Send a caller's request to an entry VM."""
        service = fields.pop("service", BOOKINGS)
        req = requests.Request(
            request_id,
            fields.pop("method", "POST"),
            service,
            "/book",
            caller_digest=TOKEN_DIGEST,
            idempotency_key=key,
            body_digest=body,
            **fields,
        )
        self.entries[request_id] = vm
        self.requests[vm, request_id] = req
        self.give(vm, events.RequestArrived(req))

    def key_prefix(self, vm):
        """Return the key prefix that a caller gets from an entry VM."""
        self.give(vm, events.EntryAsked("entry", TOKEN_DIGEST))
        return self.answers["entry"].pop().key_prefix

    def _apply(self, vm, effect):
        incarnation = self.nodes[vm].state.cfg.incarnation
        self.effects.append((vm, effect))
        if isinstance(effect, effects.SendAttempt):
            req = self.requests[vm, effect.request_id]
            self.attempts.append(Attempt(vm, incarnation, effect, req))
        elif isinstance(effect, effects.SendPeerMessage):
            self.controls.append(Control(vm, incarnation, effect))
        elif isinstance(effect, effects.Claim):
            self.pending_claims.append((vm, incarnation, effect))
        elif isinstance(effect, effects.Refuse):
            self._answer(vm, effect.request_id, effect.refusal)
        elif isinstance(effect, effects.AnswerStored):
            self._answer(vm, effect.request_id, effect.answer)
        elif isinstance(effect, effects.AnswerEntry):
            self.answers[effect.request_id].append(effect)
        elif isinstance(effect, effects.PassAnswer):
            self._answer(
                vm,
                effect.request_id,
                self.relayed.pop((vm, effect.request_id), "passed"),
            )

    def _answer(self, vm, request_id, response):
        waiting = self.relayed.pop((request_id, vm), None)
        if waiting is not None:
            self._end_relay(waiting, response)
        elif self.entries.get(request_id) == vm:
            self.answers[request_id].append(response)

    def _end_relay(self, attempt, response):
        result, answer = events.AttemptResult.COMPLETE, None
        status = 200
        if isinstance(response, outcomes.Refusal):
            is_not_run = response.outcome is outcomes.Outcome.NOT_RUN
            result = (
                events.AttemptResult.REFUSED
                if is_not_run
                else events.AttemptResult.FAILED
            )
            status = response.status
            self.relayed[attempt.sender, attempt.req.request_id] = response
        elif isinstance(response, events.StoredAnswer):
            answer = response
        self.end(attempt, result, status, answer)

    def end(self, attempt, result, status=0, answer=None):
        """Report the result of an attempt to its sender if that is still running."""
        sender = self.nodes[attempt.sender]
        if sender.state.cfg.incarnation != attempt.incarnation:
            return
        event = events.AttemptEnded(
            attempt.effect.request_id,
            attempt.effect.attempt,
            result,
            status,
            answer=answer,
        )
        is_complete = result is events.AttemptResult.COMPLETE
        self.give(attempt.sender, event)
        if is_complete:
            self._answer(attempt.sender, attempt.effect.request_id, answer)

    def deliver_attempt(self, i=0, is_answer_lost=False):
        """Deliver an attempt to its server or daemon."""
        attempt = self.attempts.pop(i)
        effect = attempt.effect
        is_late = self.now_s > effect.deadline_s
        if attempt.sender in self.frozen:
            self.attempts.append(attempt)
            return
        if (
            is_late
            and self.nodes[attempt.sender].state.cfg.incarnation == attempt.incarnation
        ):
            self.end(attempt, events.AttemptResult.NOT_SENT)
            return
        if effect.envelope is None:
            self._run(attempt, is_answer_lost)
        elif frozenset((attempt.sender, effect.vm)) in self.cut_links:
            self.end(attempt, events.AttemptResult.NOT_SENT)
        elif effect.vm in self.frozen:
            self.attempts.append(attempt)
        else:
            self._reach_daemon(attempt, is_answer_lost)

    def lose_attempt(self, i=0):
        """Drop an attempt; its sender notices only the timeout."""
        self.end(self.attempts.pop(i), events.AttemptResult.TIMED_OUT)

    def _run(self, attempt, is_answer_lost):
        req = attempt.req
        self.ran[req.idempotency_key or req.request_id] += 1
        if is_answer_lost:
            self.end(attempt, events.AttemptResult.LOST)
            return
        answer = events.StoredAnswer(200, (), b"ran " + req.body_digest)
        self.end(attempt, events.AttemptResult.COMPLETE, 200, answer)

    def _reach_daemon(self, attempt, is_answer_lost):
        effect, req = attempt.effect, attempt.req
        arrived = attrs.evolve(req, envelope=effect.envelope, caller_digest="")
        self.requests[effect.vm, req.request_id] = arrived
        if is_answer_lost:
            self.end(attempt, events.AttemptResult.LOST)
        else:
            self.relayed[req.request_id, effect.vm] = attempt
        self.give(effect.vm, events.RequestArrived(arrived))

    def deliver_control(self, i=0, is_doubled=False):
        """Deliver a control message, twice if `is_doubled`."""
        control = self.controls.pop(i)
        to = control.effect.vm
        is_cut = frozenset((control.sender, to)) in self.cut_links
        if is_cut or to in self.frozen or to not in self.nodes:
            return
        frame = messages.Frame(
            control.sender,
            control.incarnation,
            control.effect.revision,
            control.effect.body,
        )
        for _ in range(1 + is_doubled):
            self.give(to, events.PeerSaid(frame))

    def answer_claim(self, i=0, is_down=False, is_answer_lost=False):
        """Answer a claim as the store would, or as if the store or answer was lost."""
        vm, incarnation, claim = self.pending_claims.pop(i)
        if not is_down:
            self.claims.setdefault(claim.name, claim.holder)
        if self.nodes[vm].state.cfg.incarnation != incarnation:
            return
        holder = self.claims.get(claim.name, "")
        result = events.ClaimResult.HELD
        if is_down or is_answer_lost:
            result, holder = events.ClaimResult.UNREACHABLE, ""
        elif holder != claim.holder:
            result = events.ClaimResult.TAKEN
        self.give(vm, events.ClaimAnswered(claim.request_id, result, holder))

    def deliver_all(self, n_steps=200):
        """Deliver all messages until none is in flight."""
        for _ in range(n_steps):
            if self.pending_claims:
                self.answer_claim()
            elif self.attempts:
                self.deliver_attempt()
            elif self.controls:
                self.deliver_control()
            else:
                return
