import pathlib

import pytest

from bilberryridge.configuration import documents, questionnaire
from bilberryridge.core import documents as core_documents

EXAMPLES = pathlib.Path(__file__).parents[5] / "examples"
LAKESHORE = (EXAMPLES / "lakeshore" / "answers.yaml").read_text()
VM_KINDS = core_documents.VmKind


def line_of(text):
    return LAKESHORE[: LAKESHORE.index(text)].count("\n") + 1


def texts_in(path):
    return {file.relative_to(path): file.read_text() for file in path.glob("*/*.yaml")}


# Deployment, its services with their numbers of servers, and its largest weights.
DEPLOYMENTS = [
    ("lakeshore", {"grower-assistant": 6, "order-desk": 3}, {"tail_latency"}),
    ("malta-calce", {"banco-modello": 9, "app-gare": 3}, {"cost", "sent_away"}),
]


@pytest.mark.parametrize(("name", "n_servers", "largest_weights"), DEPLOYMENTS)
def test_committed_documents_are_those_generated_from_the_answers(
    tmp_path, name, n_servers, largest_weights
):
    answers = EXAMPLES / name / "answers.yaml"
    generated = questionnaire.generate(str(answers), answers.read_bytes()).unwrap()
    assert (generated.deployment, generated.warnings) == (name, ())
    assert questionnaire.write(generated.docs, tmp_path) == ()
    assert texts_in(tmp_path) == texts_in(EXAMPLES / name / "documents")
    read = documents.read_directory(tmp_path).unwrap()
    written_docs = {doc.document for doc in read}
    assert written_docs == {doc.document for doc in generated.docs}
    vms = [doc for doc in written_docs if isinstance(doc, core_documents.Vm)]
    assert sum(vm.kind is VM_KINDS.ENTRY for vm in vms) == 8
    for service, n in n_servers.items():
        assert sum(vm.service == service for vm in vms) == n
    (weights,) = [
        doc for doc in written_docs if isinstance(doc, core_documents.Weights)
    ]
    by_name = {key: getattr(weights, key) for key in ("tail_latency", "cost")}
    by_name["sent_away"] = weights.sent_away
    largest = max(by_name.values())
    assert {
        key for key, value in by_name.items() if value == largest
    } == largest_weights


# The text replaced in Lakeshore's answers, its replacement, the line of the problem
# (None for the line of the replaced text), and the beginning of the reason.
BAD = [
    ("deployment: lakeshore", "deployment: Lake Shore", None, "deployment: must be 1"),
    ("deployment: lakeshore\n", "", 3, "deployment: missing"),
    ("region: ohio", "region: Ohio", None, "region: must be 1 to 63"),
    ("127.10.1.3]", "127.10.1.x]", None, "address: must be an IP number"),
    ("127.10.1.3]", "127.10.1.2]", None, "address: 127.10.1.2:8080 is already"),
    ("127.10.1.3]", "\n  127.10.1.2]", 8, "address: 127.10.1.2:8080 is already"),
    ("kind: plain", "kind: fancy", None, "services[1].kind: must be one of"),
    ("domain: painesville\n", "domain: erie\n", None, "domain: erie is not a domain"),
    ("home_region: michigan", "home_region: ontario", None, "home_region: ontario is"),
    ("name: order-desk", "name: grower-assistant", None, "name: service/grower-ass"),
    ("cost: 0.1", "cost: -1", None, "cost: must be from 0"),
    ("entry_ips: [127.10.3.1, 127.10.3.2]", "entry_ips: []", 11, "name: painesville"),
    ("name: landscapers", "name: ohio-yards", None, "name: organisation/ohio-yards"),
    ("n_slots: 32", "slots: 32", None, "services[1].slots: unknown name"),
]


@pytest.mark.parametrize(("old", "new", "line", "reason"), BAD)
def test_problem_is_reported_at_the_line_of_the_answer(old, new, line, reason):
    data = LAKESHORE.replace(old, new, 1).encode()
    found_problems = questionnaire.generate("answers.yaml", data).failure()
    expected = line if line is not None else line_of(old)
    assert (expected, "answers.yaml") in {(p.line, p.file) for p in found_problems}
    assert any(
        p.line == expected and p.reason.startswith(reason) for p in found_problems
    )


def test_document_file_without_an_answer_is_reported_and_kept(tmp_path):
    generated = questionnaire.generate("a.yaml", LAKESHORE.encode()).unwrap()
    stale = tmp_path / "domain" / "erie.yaml"
    stale.parent.mkdir()
    stale.write_text("name: erie\nregion: ohio\n")
    assert questionnaire.write(generated.docs, tmp_path) == (stale,)
    assert stale.exists()
