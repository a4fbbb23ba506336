"""Messages on links between ingress daemons, also of older builds."""

import attrs
import cbor2
import pytest

from bilberryridge.core import ingress
from bilberryridge.decisions import proof_renewal, store_watchers
from bilberryridge.decisions.ingress import (
    admission,
    crash_reports,
    division_messages,
    load_messages,
    stream_origins,
)
from bilberryridge.peers import codec, link_codec
from bilberryridge.store import mirror

SHARE = load_messages.ServerShare(
    3,
    1_200,
    200,
    4_000,
    (("p1", 500),),
    0.1,
    9_000,
    1_764,
    2.5,
    3,
    True,
    4.0,
    2,
    3,
    True,
    4,
)
LOADS = load_messages.DaemonLoads({"s1": SHARE})
STREAM = stream_origins.StreamRecord("r1", ingress.StreamOrigin("model", "v1"))
OFFERED = admission.Offered(
    ((admission.Flow("model", "chat", 2, admission.Standing.RETURNED), 0.25),),
    ((admission.Sharer("model", 2, "a"), 0.25),),
)
CHANGES = mirror.Changes(
    9, (mirror.Item("a", b"\x00", 8), mirror.Deletion("b", 9)), False, era=4
)


@pytest.mark.parametrize(
    "message",
    [
        LOADS,
        load_messages.DaemonLoads({}),
        load_messages.RegionLoads("east", {}, frozenset(["vm-1", "vm-2"])),
        load_messages.DaemonLoads({"s1": SHARE}, (STREAM,)),
        load_messages.DaemonLoads({}, (), OFFERED),
        load_messages.RegionLoads("east", {}, rationed=frozenset(["model"])),
        store_watchers.StorePosition(4, 9, 0.25, True),
        link_codec.ChangesRequest(9, 4),
        link_codec.StoreChanges(CHANGES, True, since=7),
        crash_reports.CrashReport("s1.5", "vm-1", (frozenset("ab"), frozenset("c"))),
        crash_reports.CrashedRequests("s1.5", ("c1", "c2")),
        crash_reports.SoundPart("a"),
        proof_renewal.ProofRequest(16_777_215),
        proof_renewal.ProofAnswer(7, proof_renewal.Version(4, 9), 1.25),
        proof_renewal.ProofAnswer(7, proof_renewal.Version(0, 0), None),
        division_messages.PartRequest("org", 7, 1_200.0, 400.0, 0.25),
        division_messages.PartRequest("org", 7, is_share=True),
        division_messages.PartGrant("org", 7, 1_200.25, 0.0122, 0.25, 500.0, 10.0),
        division_messages.PartReturn("org", 7, 300.5),
        division_messages.HeldDaemons({"vm-2": 12.5}),
    ],
)
def test_decoded_message_is_the_encoded_one(message):
    assert link_codec.decode(link_codec.encode(message)) == message


def test_messages_of_the_build_before_are_decoded():
    request = link_codec.decode(cbor2.dumps(["want", 9]))
    assert request == link_codec.ChangesRequest(9, None)
    changes = link_codec.decode(cbor2.dumps(["changes", 9, False, [], [], True]))
    assert (changes.has_era, changes.changes.era, changes.since) == (False, 0, 0)


@pytest.mark.parametrize("n_fields", [7, 8])
def test_load_reports_of_older_builds_name_no_limit(n_fields):
    fields = [3, 1_200, 200, 4_000, [["p1", 500]], 0.1, 9_000, 1_764][:n_fields]
    loads = link_codec.decode(cbor2.dumps(["domain", {"s1": fields}]))
    share = loads.by_server["s1"]
    assert (share.limit_per_s, share.n_limited_sends) == (None, 0)


def test_load_report_of_the_build_before_tells_no_probes_and_answers():
    kind, fields_by_server, streams = cbor2.loads(link_codec.encode(LOADS))
    fields = fields_by_server["s1"][:13]
    decoded = link_codec.decode(cbor2.dumps([kind, {"s1": fields}, streams]))
    unknown = {"n_reached": 0, "is_limit_named": False, "n_limit_unnamed": 0}
    assert decoded.by_server["s1"] == attrs.evolve(SHARE, **unknown)


def test_reports_of_the_build_before_tell_nothing_of_admission():
    kind, *fields = cbor2.loads(link_codec.encode(LOADS))
    assert link_codec.decode(cbor2.dumps([kind, *fields[:2]])).offered is None
    decoded = link_codec.decode(cbor2.dumps(["region", "east", {}, []]))
    assert decoded.rationed == frozenset()


@pytest.mark.parametrize("work", [-1.0, float("nan"), float("inf"), 1e9])
def test_absurd_work_is_an_error(work):
    """It would take the capacity from all other callers of the region."""
    offered = [[], [["model", 0, "a", work]]]
    with pytest.raises(codec.CodecError):
        link_codec.decode(cbor2.dumps(["domain", {}, [], offered]))


def test_answer_to_the_build_before_has_the_fields_that_it_decodes():
    changes = mirror.Changes(9, (), False)
    encoded = link_codec.encode(link_codec.StoreChanges(changes, True, has_era=False))
    assert cbor2.loads(encoded) == ["changes", 9, False, [], [], True]


@pytest.mark.parametrize(
    "fields",
    [["domain"], ["domain", {"s1": []}], ["position", 1], ["changes", 1], ["no"]],
)
def test_undecodable_message_is_an_error(fields):
    with pytest.raises(codec.CodecError):
        link_codec.decode(cbor2.dumps(fields))


@pytest.mark.parametrize(
    "data",
    [
        b"\x81" * 50_000 + b"\x80",
        cbor2.dumps(["want", float("inf")]),
        cbor2.dumps(["domain", {"s1": [float("inf"), *[0] * 6]}]),
        cbor2.dumps(["position", 1, 1, 10**400, True]),
    ],
)
def test_message_that_is_nested_deeply_or_has_too_large_a_number_is_an_error(data):
    with pytest.raises(codec.CodecError):
        link_codec.decode(data)


def test_proof_does_not_get_younger_on_the_way():
    answer = proof_renewal.ProofAnswer(7, proof_renewal.Version(4, 9), 1.2501)
    assert link_codec.decode(link_codec.encode(answer)).age_s == 1.251


@pytest.mark.parametrize("age_ms", [-1, float("nan"), float("inf"), "soon", [], -0.5])
def test_proof_of_an_impossible_age_is_no_message(age_ms):
    with pytest.raises(codec.CodecError):
        link_codec.decode(cbor2.dumps(["proof", 7, 4, 9, age_ms]))


def test_later_builds_may_append_fields_to_a_proof():
    answer = link_codec.decode(cbor2.dumps(["proof", 7, 4, 9, 20, "later"]))
    assert answer == proof_renewal.ProofAnswer(7, proof_renewal.Version(4, 9), 0.02)
    request = link_codec.decode(cbor2.dumps(["proof?", 7, "later"]))
    assert request == proof_renewal.ProofRequest(7)


@pytest.mark.parametrize("n_tokens", [-1.0, float("nan"), float("inf")])
def test_amounts_that_make_no_sense_are_not_taken(n_tokens):
    data = cbor2.dumps(["part", "org", 7, n_tokens, 0.0, 0.25, 0.0, 0.0])
    with pytest.raises(codec.CodecError):
        link_codec.decode(data)


def test_a_question_for_tokens_takes_few_bytes():
    request = division_messages.PartRequest(
        "acme-research", 1 << 39, 12_000.4, 0.0, 0.25
    )
    grant = division_messages.PartGrant(
        "acme-research", 1 << 39, 12_000.4, 0.0, 0.25, 36_000.7, 5_000.2
    )
    assert len(link_codec.encode(request)) <= 50
    assert len(link_codec.encode(grant)) <= 70
