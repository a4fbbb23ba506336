import itertools

import pytest

from bilberryridge.command import changes, sessions
from bilberryridge.command.tests import fake_store, operator
from bilberryridge.store import etcd
from bilberryridge.store.tests import fakes

DESK = "service/order-desk"
ASSISTANT = "service/grower-assistant"
DOWN, LOST_AFTER = fake_store.DOWN, fake_store.LOST_AFTER
LOST_BEFORE = fake_store.LOST_BEFORE


@pytest.fixture
def fake(monkeypatch):
    monkeypatch.setattr(changes, "RESOLVE_INTERVAL_S", 0.0)
    return fake_store.FakeStore()


@pytest.fixture
def ada(fake, tmp_path):
    ada = operator.make("ada", tmp_path, fake.open)
    assert ada.apply().exit_code == 0
    return ada


@pytest.fixture
def ben(fake, ada, tmp_path):
    return operator.make("ben", tmp_path, fake.open, ada.directory)


def test_first_apply_puts_all_documents_and_the_second_none(fake, ada):
    assert len(fake.values()) == 30
    before = dict(fake.items)
    again = ada.apply()
    assert (again.exit_code, again.output) == (0, "nothing to apply\n")
    assert fake.items == before
    assert ada.run("diff", ada.directory).output == ""


def test_change_and_removal_are_shown_and_applied(fake, ada):
    ada.edit(DESK, "20.0", "25.0")
    (ada.directory / "link" / "ohio~ontario.yaml").unlink()
    expected = [
        f"put {DESK} at revision 2",
        "  deadline_s: 20.0 -> 25.0",
        "delete link/ohio~ontario at revision 2",
    ]
    shown = ada.run("diff", ada.directory).stdout.splitlines()
    assert sorted(shown) == sorted(expected)
    result = ada.apply("--note", "longer").stdout.splitlines()
    assert result == [*expected, "revision 3"]
    assert b'"deadline_s":25.0' in fake.values()[f"documents/{DESK}"]
    assert "documents/link/ohio~ontario" not in fake.values()
    newest = ada.run("history").stdout.splitlines()[0]
    assert newest.startswith("3  ")
    assert newest.endswith(f"ada  put {DESK}, delete link/ohio~ontario  (longer)")


def test_older_copy_of_another_operator_reverts_nothing(fake, ada, ben):
    ada.edit(DESK, "20.0", "25.0")
    assert ada.apply().exit_code == 0
    ben.edit(ASSISTANT, "120.0", "90.0")
    shown = ben.run("diff", ben.directory).stdout.splitlines()
    assert f"changed by others {DESK} at revision 3" in shown
    assert ben.apply().exit_code == 0
    assert b'"deadline_s":25.0' in fake.values()[f"documents/{DESK}"]
    assert b'"deadline_s":90.0' in fake.values()[f"documents/{ASSISTANT}"]
    assert ben.run("pull", ben.directory).stdout == f"{DESK}\n"
    assert ben.text(DESK) == ada.text(DESK)


def test_conflict_is_shown_and_resolved_by_the_operator(fake, ada, ben):
    ada.edit(DESK, "20.0", "25.0")
    assert ada.apply().exit_code == 0
    before = fake.values()
    ben.edit(DESK, "20.0", "35.0")
    ben.edit(ASSISTANT, "120.0", "90.0")
    result = ben.apply()
    assert result.exit_code == sessions.CONFLICT
    assert f"CONFLICT {DESK} at revision 3\n  deadline_s: 25.0 -> 35.0" in result.stdout
    assert fake.values() == before
    assert ben.run("pull", ben.directory).exit_code == sessions.CONFLICT
    assert "35.0" in ben.text(DESK)
    assert ben.run("pull", ben.directory, "--mine").exit_code == 0
    assert ben.apply().exit_code == 0
    assert b'"deadline_s":35.0' in fake.values()[f"documents/{DESK}"]
    ada.edit(DESK, "25.0", "40.0")
    assert ada.run("pull", ada.directory, "--theirs").exit_code == 0
    assert ada.text(DESK) == ben.text(DESK)


@pytest.mark.parametrize(
    "theirs", [b'{"name":"order-desk","kind":"plain","regions":["ohio"]}', None]
)
def test_change_between_read_and_commit_is_not_overwritten(fake, ada, theirs):
    key = f"documents/{DESK}"
    fake.before_commit = lambda: fake.put(key, theirs)
    ada.edit(DESK, "20.0", "25.0")
    ada.edit(ASSISTANT, "120.0", "90.0")
    result = ada.apply()
    assert result.exit_code == sessions.CONFLICT
    assert f"another operator changed {DESK};" in result.stderr
    assert fake.values().get(key) == theirs
    assert b'"deadline_s":120.0' in fake.values()[f"documents/{ASSISTANT}"]
    assert "revision 3" not in result.stdout.splitlines()


# Faults of successive commits, the exit status, and whether the change took effect.
FAULTS = [
    ([], 0, True),
    ([DOWN], sessions.NOT_APPLIED, False),
    ([LOST_AFTER], 0, True),
    ([LOST_AFTER, DOWN, LOST_AFTER, DOWN], 0, True),
    ([LOST_AFTER] + [DOWN] * 5, sessions.OUTCOME_UNKNOWN, True),
    ([LOST_BEFORE], sessions.NOT_APPLIED, False),
    ([LOST_BEFORE, LOST_AFTER], sessions.NOT_APPLIED, False),
    ([LOST_BEFORE, LOST_BEFORE], sessions.NOT_APPLIED, False),
    ([LOST_BEFORE] + [DOWN] * 5, sessions.OUTCOME_UNKNOWN, False),
]


@pytest.mark.parametrize(("faults", "status", "has_effect"), FAULTS)
def test_lost_answer_is_resolved(fake, ada, faults, status, has_effect):
    ada.edit(DESK, "20.0", "25.0")
    fake.faults.extend(faults)
    result = ada.apply()
    assert result.exit_code == status
    assert (b"25.0" in fake.values()[f"documents/{DESK}"]) == has_effect
    assert ("revision 3" in result.stdout.splitlines()) == (status == 0)
    # Transactions in flight arrive now; after "not applied" they must change nothing.
    for late in fake.late:
        fake.run(late)
    has_effect |= status == sessions.OUTCOME_UNKNOWN
    assert (b"25.0" in fake.values()[f"documents/{DESK}"]) == has_effect
    again = ada.apply()
    assert again.exit_code == 0
    assert b"25.0" in fake.values()[f"documents/{DESK}"]
    records = ada.run("history").stdout
    assert records.count(f"put {DESK}") == 1


def test_many_documents_are_committed_in_ordered_batches(fake, ada, monkeypatch):
    for i in range(250):
        text = f"name: yard-{i}\nhome_region: ohio\n"
        (ada.directory / "organisation" / f"yard-{i}.yaml").write_text(text)
    (ada.directory / "domain" / "erie.yaml").write_text("name: erie\nregion: ohio\n")
    entry = ada.text("vm/painesville-entry-1").replace("127.10.3.1", "127.10.3.9")
    entry = entry.replace("painesville", "erie")
    (ada.directory / "vm" / "erie-entry-1.yaml").write_text(entry)
    n_commits = itertools.count()
    commit = fake.commit

    def commit_until_conflict(transaction):
        if next(n_commits) == 1:
            fake.put("documents/organisation/yard-99", b"{}")
        return commit(transaction)

    monkeypatch.setattr(fake, "commit", commit_until_conflict)
    result = ada.apply()
    assert result.exit_code == sessions.CONFLICT
    assert result.stdout.startswith("put domain/erie")
    assert fake.sizes == [31, 101, 101]
    assert "documents/vm/erie-entry-1" not in fake.values()
    assert ada.run("pull", ada.directory, "--mine").exit_code == 0
    assert ada.apply().exit_code == 0
    assert fake.sizes == [31, 101, 101, 53]
    assert len(fake.values()) == 30 + 252


def test_records_are_bounded(fake, ada, monkeypatch):
    monkeypatch.setattr(changes, "MAX_RECORDS", 4)
    for i in range(9):
        ada.edit(DESK, f"{20 + i}.0", f"{21 + i}.0")
        assert ada.apply().exit_code == 0
    assert len(fake.values("changes/")) == 4
    assert ada.run("history").stdout.split()[0] == "11"


def test_set_that_is_invalid_only_with_others_changes_is_refused(fake, ada, ben):
    server = ada.text("vm/order-desk-niagara-1").replace("niagara-1", "niagara-2")
    server = server.replace("127.10.1.201", "127.10.1.202")
    (ada.directory / "vm" / "order-desk-niagara-2.yaml").write_text(server)
    assert ada.apply().exit_code == 0
    other = server.replace("niagara-2", "niagara-3")
    (ben.directory / "vm" / "order-desk-niagara-3.yaml").write_text(other)
    result = ben.apply()
    assert result.exit_code == sessions.BAD
    assert (
        "127.10.1.202:9000 is already that of vm/order-desk-niagara-" in result.stderr
    )
    assert "documents/vm/order-desk-niagara-3" not in fake.values()


def test_bad_document_or_merge_base_stops_the_whole_apply(fake, ada):
    before = fake.values()
    ada.edit(ASSISTANT, "120.0", "90.0")
    ada.edit(DESK, "kind: plain", "kind: fancy")
    result = ada.apply()
    assert result.exit_code == sessions.BAD
    assert result.stderr.startswith(f"{ada.directory}/{DESK}.yaml:2: kind: must be")
    ada.edit(DESK, "kind: fancy", "kind: plain")
    (ada.directory / "base.json").write_text("[1]")
    result = ada.apply()
    assert result.exit_code == sessions.NOT_APPLIED
    assert "base.json: can't be read" in result.stderr
    assert fake.values() == before


def test_unreadable_stored_document_is_replaced_only_after_pull_mine(fake, ada):
    fake.put(f"documents/{DESK}", b"{rubbish")
    mine = ada.text(DESK)
    assert "(unreadable): {rubbish" in ada.run("diff", ada.directory).stdout
    assert ada.apply().exit_code == sessions.CONFLICT
    assert ada.run("pull", ada.directory, "--theirs").exit_code == sessions.CONFLICT
    assert ada.text(DESK) == mine
    assert ada.run("pull", ada.directory, "--mine").exit_code == 0
    assert ada.apply().exit_code == 0
    assert b'"deadline_s":20.0' in fake.values()[f"documents/{DESK}"]


class LosingStore(fakes.FakeStore):
    """Loses the answers of the next `n_lost_commits` transactions."""

    n_lost_commits = 0

    def _txn(self, req):
        answer = super()._txn(req)
        self.n_lost_answers, self.n_lost_commits = self.n_lost_commits, 0
        return answer


def test_apply_works_through_the_stores_gateway(tmp_path):
    gateway = LosingStore()
    with fakes.serve(gateway, fakes.StoreHandler, 2379) as address:

        def open_client(profile):
            return etcd.open_store(f"http://{address}", fakes.PREFIX)

        ada = operator.make("ada", tmp_path, open_client)
        assert ada.apply().stdout.splitlines()[-1] == "revision 2"
        gateway.n_lost_commits = 1
        ada.edit(DESK, "20.0", "25.0")
        assert ada.apply().stdout.splitlines()[-1] == "revision 3"
        assert gateway.n_lost_commits == 0
        gateway.put(f"documents/{DESK}", b'{"name":"order-desk"}')
        ada.edit(DESK, "25.0", "30.0")
        assert ada.apply().exit_code == sessions.CONFLICT
        assert ada.run("history").stdout.count("put") >= 2
        gateway.is_down = True
        assert ada.apply().exit_code == sessions.NOT_APPLIED
