import contextlib
import hashlib
import socket

import pytest

from bilberryridge.command import sessions
from bilberryridge.command.tests import fake_store, operator
from bilberryridge.daemon import metrics, operators, traces
from bilberryridge.store.tests import fakes

DIGEST = hashlib.sha256(operator.TOKEN.encode()).hexdigest()
DESK_VM = "order-desk-niagara-1"


class Daemon:
    """The operators' port of one entry VM."""

    def __init__(self, vm):
        self.vm = vm
        self.revision = 2
        self.n_stops = 0
        self.token_digest = DIGEST
        self.explanations = traces.Explanations()

    def stop(self):
        self.n_stops += 1

    @contextlib.contextmanager
    def open(self, host):
        daemon_metrics = metrics.Metrics(is_strict=True)
        with traces.open_traces(self.vm) as self.traces:
            args = (daemon_metrics, self.explanations, self.traces)
            args += (lambda: {"revision": self.revision}, lambda: True, self.stop)
            digest = self.token_digest
            with operators.open_operators(f"{host}:8083", digest, *args):
                yield self


@pytest.fixture
def fake():
    return fake_store.FakeStore()


@pytest.fixture
def fleet(fake, tmp_path):
    """An operator, and the operators' ports of the example's eight entry VMs."""
    ada = operator.make("ada", tmp_path, fake.open)
    daemons = {}
    with contextlib.ExitStack() as stack:
        for path in sorted((ada.directory / "vm").glob("*-entry-*.yaml")):
            host = fakes.new_host()
            ip = path.read_text().split("operators_address: ")[1].split(":")[0]
            path.write_text(path.read_text().replace(f"{ip}:", f"{host}:"))
            name = path.name.removesuffix(".yaml")
            daemons[name] = stack.enter_context(Daemon(name).open(host))
        assert ada.apply().exit_code == 0
        yield ada, daemons


def test_status_shows_entry_vms_that_lack_the_revision(fake, fleet):
    ada, daemons = fleet
    result = ada.run("status")
    assert result.exit_code == 0
    last = result.stdout.splitlines()[-1]
    assert last == "revision 2 is in force at all 8 entry VMs"
    daemons["painesville-entry-2"].revision = 1
    daemons["niagara-entry-1"].revision = 9
    result = ada.run("status")
    assert result.exit_code == sessions.BAD
    lines = result.stdout.splitlines()
    assert "painesville  painesville-entry-2  revision 1  BEHIND" in lines
    assert "niagara  niagara-entry-1  revision 9  in force" in lines
    assert lines[-1].endswith("at 1 of 8 entry VMs, in painesville")
    assert ada.run("status", "--revision", "1").exit_code == 0


def test_removal_counts_as_the_last_change(fake, fleet):
    ada, _ = fleet
    (ada.directory / "link" / "ohio~ontario.yaml").unlink()
    assert ada.apply().exit_code == 0
    result = ada.run("status")
    assert result.exit_code == sessions.BAD
    assert "revision 3 is not known to be in force at 8 of 8" in result.stdout


def test_status_shows_vms_without_answer_and_works_without_the_store(fake, fleet):
    ada, _ = fleet
    path = ada.directory / "vm" / "painesville-entry-1.yaml"
    text = path.read_text()
    with socket.create_server((fakes.new_host(), 0)) as closed:
        host, port = closed.getsockname()
    old = text.split("operators_address: ")[1].strip()
    path.write_text(text.replace(old, f"{host}:{port}"))
    fake.is_down = True
    assert ada.run("status").exit_code == sessions.NOT_APPLIED
    result = ada.run("status", "--documents", ada.directory)
    assert result.exit_code == sessions.BAD
    assert "painesville  painesville-entry-1  NO ANSWER" in result.stdout
    assert "revision 2 is not known to be in force at 1 of 8" in result.stdout


def test_wrong_token_is_refused(fake, fleet, monkeypatch):
    ada, daemons = fleet
    monkeypatch.setattr(operator, "TOKEN", "wrong")
    result = ada.run("status")
    assert result.exit_code == sessions.BAD
    assert result.stdout.count("NO ANSWER  status 401") == 8
    assert ada.run("drain", "niagara-entry-1").exit_code == sessions.NOT_APPLIED
    assert daemons["niagara-entry-1"].n_stops == 0


def test_drain_stops_only_that_entry_vm_and_works_without_the_store(fake, fleet):
    ada, daemons = fleet
    assert ada.run("drain", "niagara-entry-2").exit_code == 0
    fake.is_down = True
    result = ada.run("drain", "niagara-entry-2", "--documents", ada.directory)
    assert result.exit_code == 0
    n_stops = {vm: daemon.n_stops for vm, daemon in daemons.items() if daemon.n_stops}
    assert n_stops == {"niagara-entry-2": 2}
    fake.is_down = False
    result = ada.run("undrain", "niagara-entry-2")
    assert result.exit_code == sessions.BAD
    assert "when its daemon starts" in result.stderr


def test_draining_a_server_again_changes_nothing(fake, fleet):
    ada, _ = fleet
    key = f"documents/vm/{DESK_VM}"
    before = fake.values()[key]
    assert ada.run("drain", DESK_VM).stdout == "revision 3\n"
    assert b'"is_draining":true' in fake.values()[key]
    assert ada.run("drain", DESK_VM).stdout == "revision 3\n"
    assert ada.run("diff", ada.directory).stdout.startswith("changed by others vm/")
    assert ada.run("undrain", DESK_VM).stdout == "revision 4\n"
    assert fake.values()[key] == before
    assert ada.run("drain", "no-such-vm").exit_code == sessions.NOT_APPLIED


def test_drain_does_not_overwrite_another_operator(fake, fleet):
    ada, _ = fleet
    key = f"documents/vm/{DESK_VM}"
    other = fake.values()[key].replace(b'"n_slots":32', b'"n_slots":8')
    fake.before_commit = lambda: fake.put(key, other)
    result = ada.run("drain", DESK_VM)
    assert result.exit_code == sessions.CONFLICT
    assert fake.values()[key] == other


def test_explain_merges_the_events_of_all_entry_vms(fake, fleet):
    ada, daemons = fleet
    first, second = daemons["niagara-entry-1"], daemons["painesville-entry-1"]
    span = first.traces.begin("r1", "request")
    first.explanations.add("r1", "placed", "painesville has room")
    hop = second.traces.begin("r1", "serve", traces.trace_parent(span))
    second.explanations.add("r1", "sent", "order-desk-painesville-1 is idle")
    hop.end()
    span.end()
    result = ada.run("explain", "r1")
    assert result.exit_code == 0
    rows = [line.split(None, 2)[1:] for line in result.stdout.splitlines()[1:]]
    assert [row[0] for row in rows] == [first.vm] * 2 + [second.vm] * 2
    texts = [row[1] for row in rows]
    assert texts[0].startswith("[request ")
    assert texts[1] == "placed  painesville has room"
    assert texts[2].startswith("[serve ")
    assert f"in {span.get_span_context().span_id:016x}" in texts[2]
    assert ada.run("explain", "r2").exit_code == sessions.BAD
