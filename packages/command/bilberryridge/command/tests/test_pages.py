import pathlib
import re

from bilberryridge.command import main, profiles
from bilberryridge.configuration import located, settings
from bilberryridge.core import outcomes

PAGES = pathlib.Path(__file__).parents[5] / "docs" / "operators"


def text_of(page):
    return (PAGES / f"{page}.md").read_text()


def block(page, name):
    match = re.search(rf"```yaml {name}\n(.*?)```", text_of(page), re.DOTALL)
    return match.group(1).encode()


def test_every_refusal_reason_has_a_row_with_its_status():
    rows = re.findall(r"^\| `([a-z-]+)` \| (\d+) \|", text_of("refusals"), re.MULTILINE)
    assert {reason: int(status) for reason, status in rows} == {
        reason.value: status for reason, status in outcomes.STATUS_BY_REASON.items()
    }
    assert len(outcomes.STATUS_BY_REASON) == len(outcomes.Reason)


def test_settings_on_the_page_are_valid():
    node = located.from_yaml("page", block("first-install", "settings")).unwrap()
    loaded = settings.from_node("page", node).unwrap()
    assert loaded.limits == settings.Limits()
    assert loaded.seeds


def test_profile_on_the_page_is_valid(tmp_path):
    path = tmp_path / "profile.yaml"
    path.write_bytes(block("first-install", "profile"))
    assert profiles.load(str(path), {}, {}).unwrap().deployment == "yards"


def test_pages_name_exactly_the_existing_commands():
    known = {command.callback.__name__ for command in main.app.registered_commands}
    named = set()
    for path in sorted(PAGES.glob("*.md")):
        lines = re.findall(
            r"(?:^    |`)bilberryridge ([^`\n]*)", path.read_text(), re.M
        )
        for line in lines:
            words = re.sub(r"--(store|deployment) \S+", "", line).split()
            named.add(words[0])
    assert named == known
