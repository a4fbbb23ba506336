import pytest
import returns.result

from bilberryridge.command import profiles, sessions
from bilberryridge.command.tests import operator
from bilberryridge.configuration import crosschecks, documents

ANSWERS = operator.EXAMPLE.parent / "answers.yaml"
FILE = "store: http://127.0.0.1:1\ndeployment: filed\ntoken: t1\nwho: ada\n"

# The file, the environment, the options, and the expected profile (None: any value) or
# the beginning of the problem.
PROFILES = [
    (FILE, {}, {}, ("http://127.0.0.1:1", "filed", "t1", "ada")),
    (FILE, {"BILBERRYRIDGE_TOKEN": "t2"}, {"token": ""}, (None, None, "t2", None)),
    (FILE, {"BILBERRYRIDGE_TOKEN": "t2"}, {"token": "t3"}, (None, None, "t3", None)),
    ("deployment: filed\n", {"USER": "ben"}, {}, ("", "filed", "", "ben")),
    ("store: 127.0.0.1\n", {}, {}, "1: store: must be a URL"),
    ("deployment: filed\nstor: x\n", {}, {}, "2: stor: unknown name"),
    ("[]", {}, {}, "1: must be a mapping"),
    (FILE, {"BILBERRYRIDGE_STORE": "x"}, {}, "0: store: must be a URL"),
]


@pytest.mark.parametrize(("text", "environment", "options", "expected"), PROFILES)
def test_profile_comes_from_options_environment_and_file(
    tmp_path, text, environment, options, expected
):
    path = tmp_path / "profile.yaml"
    path.write_text(text)
    for named_file, variables in [
        (str(path), {}),
        ("", {"BILBERRYRIDGE_PROFILE": str(path)}),
    ]:
        match profiles.load(named_file, environment | variables, options):
            case returns.result.Success(profile):
                values = profile.store, profile.deployment, profile.token, profile.who
                pairs = zip(values, expected, strict=True)
                assert all(want in (None, value) for value, want in pairs)
                assert "t1" not in repr(profile)
            case returns.result.Failure((problem, *_)):
                assert str(problem).startswith(f"{path}:{expected}")


def test_missing_profile_is_a_problem_if_its_path_is_given(tmp_path):
    found_problems = profiles.load(str(tmp_path / "none"), {}, {}).failure()
    assert found_problems[0].reason.startswith("can't be read")


def make(tmp_path):
    return operator.Operator("ada", tmp_path / "out", None)


def test_init_writes_documents_that_check_accepts(tmp_path):
    ada = make(tmp_path)
    result = ada.run("init", "--answers", ANSWERS, "--out", ada.directory)
    assert result.exit_code == 0
    result = ada.run("check", ada.directory)
    assert (result.exit_code, result.stdout) == (0, "30 documents, no problem\n")
    ada.edit("domain/niagara", "region: ontario", "region: quebec")
    result = ada.run("check", ada.directory)
    assert result.exit_code == sessions.BAD
    path = f"{ada.directory}/vm/order-desk-niagara-1.yaml:3: domain: niagara is in"
    assert path in result.stderr
    result = ada.run("init", "--answers", ANSWERS, "--out", ada.directory)
    assert result.exit_code == 0
    (ada.directory / "domain" / "old.yaml").write_text("name: old\nregion: ohio\n")
    result = ada.run("init", "--answers", ANSWERS, "--out", ada.directory)
    assert result.exit_code == sessions.BAD
    assert result.stderr.endswith("old.yaml:0: follows from no answer\n")


def test_init_reports_the_line_of_a_bad_answer(tmp_path):
    bad = tmp_path / "bad.yaml"
    text = ANSWERS.read_text()
    line = text[: text.index("kind: plain")].count("\n") + 1
    bad.write_text(text.replace("kind: plain", "kind: fancy"))
    ada = make(tmp_path)
    result = ada.run("init", "--answers", bad, "--out", ada.directory)
    assert result.exit_code == sessions.BAD
    assert result.stderr.startswith(f"{bad}:{line}: services[1].kind: must be one of")
    assert not ada.directory.exists()


# A part of each question in order, and the answer; empty for the default.
QUESTIONNAIRE = [
    ("Name of the deployment", "yards"),
    ("Failure domains", "north south"),
    ("Region of north", "ontario"),
    ("entry VMs of north", "127.9.1.1, 127.9.1.2"),
    ("Region of south", "ohio"),
    ("entry VMs of south", "127.9.2.1"),
    ("Services", "desk helper"),
    ("Is desk a model", ""),
    ("data of desk", "ontario"),
    ("Methods of desk", ""),
    ("Requests that one server", ""),
    ("servers of desk in north", "127.9.1.9"),
    ("servers of desk in south", ""),
    ("Is helper a model", "model"),
    ("data of helper", ""),
    ("Methods of helper", ""),
    ("Requests that one server", "8"),
    ("Tokens a second", "500"),
    ("servers of helper in north", "127.9.1.8"),
    ("servers of helper in south", "127.9.2.8"),
    ("Organisations", "growers"),
    ("Home region of growers", "ontario"),
    ("data of growers", "ontario"),
    ("callers of growers", "secret-token"),
    ("from ohio to ontario", "18"),
    ("Megabits", ""),
    ("tail latency", ""),
    ("cost", ""),
    ("leaving", "0.5"),
]


def test_answers_at_the_terminal_give_a_valid_deployment(tmp_path):
    ada = make(tmp_path)
    typed = "".join(f"{answer}\n" for _, answer in QUESTIONNAIRE)
    result = ada.run("init", "--out", ada.directory, input=typed)
    assert (result.exit_code, result.stderr) == (0, "")
    position = 0
    for question, _ in QUESTIONNAIRE:
        assert question in result.stdout[position:]
        position = result.stdout.index(question, position) + 1
    docs = documents.read_directory(ada.directory).unwrap()
    assert crosschecks.check(docs) == ()
    keys = {documents.key_of(doc.document) for doc in docs}
    assert {"service/helper", "vm/north-entry-2", "link/ohio~ontario"} <= keys
    helper = ada.text("service/helper")
    assert "POST" in helper
    assert "POST" not in ada.text("service/desk")
    assert "regions:\n- ontario\n" in ada.text("organisation/growers")
    assert "secret" not in (ada.directory / "answers.yaml").read_text()


def test_deployment_must_be_given(tmp_path):
    ada = make(tmp_path)
    ada.deployment = ""
    result = ada.run("history")
    assert result.exit_code == sessions.BAD
    assert "--deployment is not given" in result.stderr
