import hashlib

import hypothesis
import hypothesis.strategies as st
import pytest
from returns.pipeline import is_successful

from bilberryridge.configuration import located, problems, settings

DIGEST = hashlib.sha256(b"operators").hexdigest()
GOOD = f"""\
vm: niagara-entry-1
domain: niagara
region: ontario
deployment: lakeshore
addresses:
  callers: 127.4.0.1:8080
  relay: 127.4.0.1:8081
  peers: 127.4.0.1:8082
  operators: 127.4.0.1:8083
platform:
  store: http://127.4.9.1:2379
  list: http://127.4.9.1:8500
shared_key: 0123456789abcdef-key
operators_token_digest: "{DIGEST}"
limits:
  max_body_bytes: 1048576
  head_deadline_s: 5
log_level: warning
"""

# The text replaced in the good file, its replacement, and the expected problems: line
# and beginning of the reason.
BAD = [
    ("vm: niagara-entry-1\n", "", [(1, "vm: missing")]),
    ("region: ontario", "region: 7", [(3, "region: must be text (put it in quotes)")]),
    (
        "region: ontario",
        "regoin: ontario",
        [(1, "region: missing"), (3, "regoin: unk")],
    ),
    ("region: ontario", "domain: x", [(3, "domain: given twice")]),
    ("region: ontario", "region: A B", [(3, "region: must be 1 to 63 of")]),
    ("region: ontario", "region: &r x", [(3, "anchors and aliases are not")]),
    ("region: ontario", "region: !x y", [(3, "the tag !x is not supported")]),
    ("region: ontario", "region: [", [(5, "not YAML: ")]),
    ("region: ontario", "region: \x02", [(3, "not YAML: ")]),
    ("127.4.0.1:8082", "localhost:80", [(8, "addresses.peers: must be an IP num")]),
    ("127.4.0.1:8082", "127.4.0.1:99999", [(8, "addresses.peers: must be an IP")]),
    ("127.4.0.1:8082", "127.4.0.1:8080", [(8, "addresses.peers: the same as add")]),
    ("http://127.4.9.1:2379", "127.4.9.1:2379", [(11, "platform.store: must be a U")]),
    ("  list: http://127.4.9.1:8500\n", "", [(10, "platform.list: missing")]),
    ("0123456789abcdef-key", "short", [(13, "shared_key: fewer than 16 bytes")]),
    ("shared_key:", "shared_key_file:", [(13, "shared_key_file: can't be read: N")]),
    ("log_level:", "shared_key_file: k\nlog_level:", [(18, "shared_key_file: given")]),
    ("shared_key: 0123456789abcdef-key\n", "", [(1, "shared_key: missing, as is")]),
    (DIGEST, "secret", [(14, "operators_token_digest: must be a SHA-256 digest of")]),
    ("1048576", "1e9", [(16, "limits.max_body_bytes: must be a whole number")]),
    ("1048576", "0", [(16, "limits.max_body_bytes: must be from 1024 to")]),
    ("1048576", "true", [(16, "limits.max_body_bytes: must be a whole number")]),
    ("1048576", "9" * 5000, [(16, "99999999999999999999 is not a plain number")]),
    ("head_deadline_s: 5", "head_deadline_s: .nan", [(17, ".nan is not a plain n")]),
    ("log_level: warning", "log_level: loud", [(18, "log_level: must be one of")]),
    (GOOD, "", [(0, "empty")]),
    (GOOD, "- a", [(1, "must be a mapping")]),
    (GOOD, "[" * 9000, [(0, "nested too deeply")]),
    (GOOD, "# " + "x" * located.MAX_FILE_BYTES, [(0, "larger than")]),
]


def load(tmp_path, text):
    path = tmp_path / "settings.yaml"
    path.write_bytes(text if isinstance(text, bytes) else text.encode())
    return settings.load(str(path))


def test_good_file_gives_settings(tmp_path):
    loaded = load(tmp_path, GOOD).unwrap()
    assert loaded.addresses.relay == "127.4.0.1:8081"
    assert loaded.limits == settings.Limits(max_body_bytes=1048576, head_deadline_s=5.0)
    assert loaded.log_level is settings.LogLevel.WARNING
    assert loaded.shared_key == b"0123456789abcdef-key"
    assert "abcdef-key" not in repr(loaded)


def test_key_file_is_relative_to_the_settings_file(tmp_path):
    (tmp_path / "key").write_text("0123456789abcdef-file\n")
    text = GOOD.replace("shared_key: 0123456789abcdef-key", "shared_key_file: key")
    assert load(tmp_path, text).unwrap().shared_key == b"0123456789abcdef-file"


@pytest.mark.parametrize(("old", "new", "expected"), BAD)
def test_problem_has_line_and_reason(tmp_path, old, new, expected):
    assert old in GOOD
    found_problems = load(tmp_path, GOOD.replace(old, new, 1)).failure()
    assert [problem.line for problem in found_problems] == [
        line for line, _ in expected
    ]
    for problem, (_, reason) in zip(found_problems, expected, strict=True):
        assert problem.reason.startswith(reason)
        assert problem.file == str(tmp_path / "settings.yaml")


def test_all_problems_are_reported_at_once(tmp_path):
    text = GOOD.replace("ontario", "7").replace("warning", "loud")
    text = text.replace("127.4.0.1:8080", "x").replace("1048576", "0")
    assert [p.line for p in load(tmp_path, text).failure()] == [3, 6, 16, 18]


def test_unreadable_file_is_a_problem(tmp_path):
    (found_problems,) = settings.load(str(tmp_path / "none.yaml")).failure()
    assert found_problems.reason == "can't be read: No such file or directory"
    (found_problems,) = load(tmp_path, b"vm: x\nregion: \xff\n").failure()
    assert (found_problems.line, found_problems.reason) == (2, "not UTF-8")


WORDS = """vm limits addresses : - [ ] { } *a &a !!int !!float ? > ' " # % 1 0x .inf ~
    true << --- ... é"""
MARKS = ["\n", "\n  ", ": ", "- ", "|\n", "\t", "\0", "\ufeff", " "]
PIECES = st.sampled_from(WORDS.split()) | st.sampled_from(MARKS)


@hypothesis.settings(max_examples=300)
@hypothesis.given(
    start=st.integers(0, len(GOOD)),
    n_removed=st.integers(0, 40),
    pieces=st.lists(PIECES, max_size=8),
)
def test_any_text_gives_settings_or_problems(start, n_removed, pieces):
    text = GOOD[:start] + "".join(pieces) + GOOD[start + n_removed :]
    node = located.from_yaml("s.yaml", text.encode())
    loaded = node.bind(lambda node: settings.from_node("s.yaml", node))
    if not is_successful(loaded):
        found_problems = loaded.failure()
        assert found_problems
        assert all(isinstance(problem, problems.Problem) for problem in found_problems)
        assert all(0 <= p.line <= text.count("\n") + 2 for p in found_problems)
