import hashlib

import pytest

from bilberryridge.configuration import crosschecks, documents
from bilberryridge.core import documents as core_documents
from bilberryridge.core import encoding

DIGEST = hashlib.sha256(b"caller").hexdigest()
ENTRY = """\
name: {name}
kind: entry
domain: {domain}
address: 127.9.{i}.1:8080
relay_address: 127.9.{i}.1:8081
peer_address: 127.9.{i}.1:8082
operators_address: 127.9.{i}.1:8083
"""
SERVER = """\
name: {name}
kind: server
domain: {domain}
address: 127.9.{i}.1:9000
service: desk
"""
GOOD = {
    "domain/north": "name: north\nregion: ontario\n",
    "domain/south": "name: south\nregion: ohio\n",
    "vm/north-1": ENTRY.format(name="north-1", domain="north", i=1),
    "vm/south-1": ENTRY.format(name="south-1", domain="south", i=2),
    "vm/desk-1": SERVER.format(name="desk-1", domain="north", i=3),
    "service/desk": "name: desk\nkind: plain\nregions:\n- ontario\n",
    "organisation/yard": f"""\
name: yard
home_region: ontario
regions: [ontario, ohio]
token_digests: ["{DIGEST}"]
""",
    "link/ohio~ontario": "a: ohio\nb: ontario\none_way_ms: 18\n",
    "weights/deployment": "name: deployment\ntail_latency: 1\n",
}

# Key of a document, the text replaced in it, its replacement, and the expected
# problems: line and beginning of the reason.
BAD_ONE = [
    ("vm/desk-1", "name: desk-1", "name: desk-2", [(1, "name: desk-2 stands under")]),
    ("vm/desk-1", "kind: server", "kind: box", [(2, "kind: must be one of entry, s")]),
    ("vm/desk-1", "127.9.3.1:9000", "desk:9000", [(4, "address: must be an IP numb")]),
    ("vm/desk-1", "service: desk\n", "", [(1, "service: a backend server needs it")]),
    ("vm/desk-1", "desk\n", "desk\nn_slots: 0", [(6, "n_slots: must be from 1 to ")]),
    ("vm/desk-1", "desk\n", "desk\nslots: 3", [(6, "slots: unknown name")]),
    ("vm/desk-1", "desk\n", "desk\nis_draining: 'on'", [(6, "is_draining: must be a")]),
    ("vm/north-1", "127.9.1.1:8082", "''", [(6, "peer_address: an entry VM needs")]),
    ("vm/north-1", "kind: entry", "kind: entry\nservice: desk", [(3, "service: an e")]),
    ("service/desk", "\n- ontario", " []", [(3, "regions: empty, so no region")]),
    ("service/desk", "- ontario", "- On", [(3, "regions: 'On' must be 1 to 63")]),
    ("service/desk", "- ontario", "- x\n- x", [(3, "regions: names an item twice")]),
    (
        "service/desk",
        "plain",
        "plain\ndeadline_s: 5",
        [(1, "first_byte_deadline_s: l")],
    ),
    ("service/desk", "plain", "plain\nidempotent_methods: [get]", [(3, "idempotent_")]),
    ("organisation/yard", "home_region: ontario", "home_region: x", [(2, "home_regi")]),
    ("organisation/yard", DIGEST, "token", [(4, "token_digests: 'token' must be")]),
    ("organisation/yard", "name: yard", "name: }", [(1, "not YAML")]),
    ("link/ohio~ontario", "a: ohio\nb: ontario", "a: z\nb: c", [(2, "b: comes befor")]),
    ("weights/deployment", "1", "-1", [(2, "tail_latency: must be from 0 to")]),
    ("weights/deployment", "name: deployment", "name: all", [(1, "name: must be dep")]),
    ("weights/deployment", "name", "#" * 70_000 + "\nname", [(0, "larger than 65536")]),
]

REGIONS = "ontario\nregions: [ontario, ohio]"

# Key of a document, the text replaced in it, its replacement, and the expected problem
# of the set: document, line and a part of the reason.
BAD_SET = [
    ("vm/desk-1", "domain: north", "domain: west", "vm/desk-1", 3, "west is not a dom"),
    ("vm/desk-1", "service: desk", "service: app", "vm/desk-1", 5, "app is not a serv"),
    ("vm/desk-1", "domain: north", "domain: south", "vm/desk-1", 3, "south is in ohio"),
    ("vm/desk-1", "127.9.3.1:9000", "127.9.1.1:8081", "vm/north-1", 5, "127.9.1.1:80"),
    ("vm/north-1", "127.9.1.1:8081", "127.9.1.1:8080", "vm/north-1", 5, "127.9.1.1:8"),
    ("vm/south-1", "domain: south", "domain: north", "domain/south", 1, "south has no"),
    ("service/desk", "- ontario", "- ohio", "service/desk", 3, "no backend server of"),
    ("service/desk", "- ontario", "- ontario\n- x", "service/desk", 3, "x is not a re"),
    ("organisation/yard", REGIONS, "x", "organisation/yard", 2, "x is not a region"),
    ("organisation/yard", "[", "[x, ", "organisation/yard", 3, "x is not a region"),
    ("organisation/yard", REGIONS, "ohio\nregions: [ohio]", "organisation/yard", 3,
     "no backend server is left"),
    ("link/ohio~ontario", "b: ontario", "b: utah", "link/ohio~utah", 2, "utah is not"),
]  # fmt: skip


def write(path, texts):
    for key, text in texts.items():
        file = path / f"{key}.yaml"
        file.parent.mkdir(exist_ok=True)
        file.write_text(text)
    return path


def check(path):
    return crosschecks.check(documents.read_directory(path).unwrap())


def test_good_set_has_no_problem_and_survives_a_json_round_trip(tmp_path):
    docs = documents.read_directory(write(tmp_path, GOOD)).unwrap()
    assert {documents.key_of(doc.document) for doc in docs} == set(GOOD)
    assert crosschecks.check(docs) == ()
    for doc in docs:
        key, data = documents.key_of(doc.document), documents.to_json(doc.document)
        assert documents.from_entry(key, data).unwrap() == doc.document
        kind = key.split("/")[0]
        assert documents.from_json(kind, data).unwrap() == doc.document
        # Daemons decode with the codec of bilberryridge.core, which must agree.
        assert encoding.from_json(kind, data) == doc.document
        other = encoding.to_json(doc.document)
        assert documents.from_json(kind, other).unwrap() == doc.document
        (tmp_path / f"{key}.yaml").write_text(documents.to_yaml(doc.document))
    again = documents.read_directory(tmp_path).unwrap()
    assert [doc.document for doc in again] == [doc.document for doc in docs]


@pytest.mark.parametrize(("key", "old", "new", "expected"), BAD_ONE)
def test_bad_document_is_rejected_with_line_and_reason(
    tmp_path, key, old, new, expected
):
    assert old in GOOD[key]
    write(tmp_path, GOOD | {key: GOOD[key].replace(old, new, 1)})
    found_problems = documents.read_directory(tmp_path).failure()
    assert {problem.file for problem in found_problems} == {f"{tmp_path}/{key}.yaml"}
    assert [problem.line for problem in found_problems] == [
        line for line, _ in expected
    ]
    for problem, (_, reason) in zip(found_problems, expected, strict=True):
        assert problem.reason.startswith(reason)


@pytest.mark.parametrize(("key", "old", "new", "file", "line", "reason"), BAD_SET)
def test_bad_set_is_reported_at_the_document_and_line(
    tmp_path, key, old, new, file, line, reason
):
    assert old in GOOD[key]
    name = file if key.startswith("link") else key
    texts = {k: v for k, v in GOOD.items() if k != key}
    write(tmp_path, texts | {name: GOOD[key].replace(old, new, 1)})
    found_problems = [problem for problem in check(tmp_path) if not problem.is_warning]
    expected = [p for p in found_problems if p.file == f"{tmp_path}/{file}.yaml"]
    assert [problem.line for problem in expected] == [line]
    assert reason in expected[0].reason


def test_missing_link_and_unserved_service_are_only_warnings(tmp_path):
    texts = {key: text for key, text in GOOD.items() if not key.startswith("link")}
    texts["service/app"] = "name: app\nkind: plain\nregions: [ohio]\n"
    server = SERVER.format(name="app-1", domain="south", i=4)
    texts["vm/app-1"] = server.replace("service: desk", "service: app")
    yard = GOOD["organisation/yard"].replace(", ohio", "")
    found_problems = check(write(tmp_path, texts | {"organisation/yard": yard}))
    assert [(p.is_warning, p.line) for p in found_problems] == [(True, 2), (True, 3)]
    assert "no link is given between ohio and ontario" in found_problems[0].reason
    assert "no backend server of app is left" in found_problems[1].reason


def test_two_organisations_with_the_same_token_are_reported(tmp_path):
    other = GOOD["organisation/yard"].replace("name: yard", "name: depot")
    (found_problems,) = check(write(tmp_path, GOOD | {"organisation/depot": other}))
    assert found_problems.file.endswith("organisation/yard.yaml")
    assert found_problems.reason.endswith("is already that of organisation/depot")


@pytest.mark.parametrize(
    ("key", "data", "reason"),
    [
        ("vm/x", b"", "not JSON"),
        ("vm/x", b"[]", "must be a mapping"),
        ("vm/x", b"\xff", "not UTF-8"),
        ("vm/x", b"[" * 100_000, "nested too deeply"),
        ("box/x", b"{}", "box is not one of"),
        ("domain/x", b'{"name":"y","region":"r"}', "name: y stands under the name x"),
        ("domain/x", b'{"name":"x","name":"x"}', "not JSON: a name is given twice"),
        ("weights/deployment", b'{"cost":NaN}', "not JSON: NaN is not a number"),
        ("weights/deployment", b'{"cost":1e999}', "not JSON: 1e999"),
        ("weights/deployment", b'{"cost":true}', "cost: must be a number"),
    ],
)
def test_bad_entry_of_the_store_is_rejected(key, data, reason):
    found_problems = documents.from_entry(key, data).failure()
    assert found_problems[0].file == key
    assert found_problems[0].reason.startswith(reason)


def test_defaults_are_not_written():
    weights = core_documents.Weights(cost=3.0)
    assert documents.to_json(weights) == b'{"cost":3.0}'


@pytest.mark.parametrize("kind", ["domain", "service"])
@pytest.mark.parametrize("data", [b"[" * 50_000 + b"]" * 50_000, b"9" * 400])
def test_document_that_is_nested_deeply_or_no_object_is_a_problem(kind, data):
    assert documents.from_json(kind, data).failure()
    with pytest.raises(encoding.DocumentError):
        encoding.from_json(kind, data)
