"""Which prompts are held back after which crashes."""

import pytest

from bilberryridge.decisions.ingress import crash_reports, quarantine


def report(number, *prompts, vm="vm-1"):
    parts = tuple(frozenset(prompt.split()) for prompt in prompts)
    return crash_reports.CrashReport(f"server-{number}", vm, parts)


def make_quarantine(*crashes):
    tested = quarantine.Quarantine()
    for number, prompts in enumerate(crashes):
        tested.record_crash(report(number, *prompts), float(number))
    return tested


@pytest.mark.parametrize(
    ("crashes", "held_back", "let_through"),
    [
        ([["a bad"], ["b bad"]], [], ["bad"]),
        ([["a bad"], ["b bad"], ["c bad"]], ["bad", "d bad"], ["a", "a b c"]),
        # Parts that all these prompts had may be sound by themselves.
        ([["a bad"], ["a bad"], ["a bad"]], ["a bad c"], ["a", "bad"]),
        # Another prompt on each server had the part that all prompts have.
        (
            [["base a", "base bad"], ["base bad", "base b"], ["base c", "base bad"]],
            ["base bad"],
            ["base", "base a", "base d"],
        ),
        # Two causes at once.
        (
            [["a x"], ["a y"], ["b x"], ["b y"], ["c x"], ["c y"]],
            ["a x", "d y"],
            ["a", "b", "a z"],
        ),
        # A part of the callers that happens to be in most of the prompts.
        (
            [["a bad"], ["a bad"], ["a bad"], ["b bad"]],
            ["bad", "c bad"],
            ["a", "b"],
        ),
        ([["a"], ["b"], ["c"], ["d"]], [], ["a", "b"]),
    ],
)
def test_prompts_with_what_the_crashes_have_in_common_are_held_back(
    crashes, held_back, let_through
):
    tested = make_quarantine(*crashes)
    for prompt in held_back:
        assert tested.find(prompt.split()), prompt
    for prompt in let_through:
        assert tested.find(prompt.split()) is None, prompt


def test_one_crash_that_several_daemons_report_counts_once():
    tested = quarantine.Quarantine()
    for n in range(5):
        tested.record_crash(report(1, "bad", vm=f"vm-{n}"), 0.0)
    assert tested.find(["bad"]) is None


def test_further_report_of_a_crash_adds_its_prompts():
    tested = make_quarantine(["a"], ["bad"], ["b bad"])
    tested.record_crash(report(0, "a", "c bad"), 3.0)
    assert tested.find(["bad"])
    assert tested.find(["a"]) is None


def test_part_on_which_an_answer_went_well_is_not_held_back():
    tested = make_quarantine(["a"], ["a"], ["a"])
    assert tested.find(["a"])
    assert tested.record_sound(["a"], 5.0) == ["a"]
    assert tested.find(["a"]) is None
    assert tested.record_sound(["a"], 5.1) == []


def test_sound_answer_before_the_crashes_does_not_clear_a_part():
    tested = quarantine.Quarantine()
    tested.record_sound(["a"], 1.0)
    for n in range(3):
        tested.record_crash(report(n, "a"), 2.0 + n)
    assert tested.find(["a"])


def test_sound_part_in_the_store_voids_the_crashes_before_it():
    tested = quarantine.Quarantine()
    crashes = tuple((report(n, "a b"), 10 + n) for n in range(3))
    sound = ((crash_reports.SoundPart("a"), 20),)
    tested.apply_stored(crash_reports.StoredReports(crashes, sound), 0.0)
    assert tested.find(["a"]) is None
    assert tested.find(["b"])


def test_reports_that_the_store_has_lost_still_hold():
    tested = quarantine.Quarantine()
    crashes = tuple((report(n, "a"), 10 + n) for n in range(3))
    tested.apply_stored(crash_reports.StoredReports(crashes), 0.0)
    for _ in range(2):
        tested.apply_stored(crash_reports.StoredReports(), 1.0)
        assert tested.find(["a"])


def test_part_that_the_store_told_to_be_sound_stays_so_when_it_has_lost_that():
    tested = quarantine.Quarantine()
    crashes = tuple((report(n, "a b"), 10 + n) for n in range(3))
    sound = ((crash_reports.SoundPart("a"), 20),)
    tested.apply_stored(crash_reports.StoredReports(crashes, sound), 0.0)
    tested.apply_stored(crash_reports.StoredReports(), 1.0)
    assert tested.find(["a"]) is None
    assert tested.find(["b"])


def test_report_that_is_not_stored_yet_holds():
    tested = make_quarantine(["a"], ["a"], ["a"])
    tested.apply_stored(crash_reports.StoredReports(), 5.0)
    assert tested.find(["a"])


def test_part_is_tried_again_when_its_reports_have_expired():
    tested = make_quarantine(["a"], ["a"], ["a"])
    assert tested.ends_in_s("a", 12.0) == quarantine.REPORT_TTL_S - 10.0
    tested.expire(2.0 + quarantine.REPORT_TTL_S)
    assert tested.find(["a"]) is None


def test_crashes_that_a_whole_fleet_reports_do_not_drop_a_part_held_back():
    tested = quarantine.Quarantine()
    vms = [f"vm-{n}" for n in range(97)]
    for number in range(13):
        prompt = "bad" if number < 3 else f"other-{number}"
        for vm in vms:
            tested.record_crash(report(number, prompt, vm=vm), float(number))
    assert tested.find(["bad"])


def test_reports_on_parts_held_back_are_dropped_last():
    tested = make_quarantine(["bad"], ["bad"], ["bad"])
    for number in range(3, 2 * quarantine.MAX_CRASHES):
        tested.record_crash(report(number, f"other-{number}"), float(number))
    assert tested.find(["bad"])


def test_reports_and_sound_parts_are_bounded():
    tested = quarantine.Quarantine()
    for n in range(quarantine.MAX_CRASHES + 50):
        tested.record_crash(report(n, f"p{n}"), float(n))
    for n in range(quarantine.MAX_PROMPTS + 50):
        tested.record_crash(report(9_999, f"q{n}", vm=f"vm-{n}"), 1_000.0)
    for n in range(quarantine.MAX_SOUND_PARTS + 50):
        tested.record_sound([f"s{n}"], 1_000.0)
    assert len(tested._received) == quarantine.MAX_CRASHES
    assert len(tested._received["server-9999"].report.prompts) == quarantine.MAX_PROMPTS
    assert len(tested._sound_s) == quarantine.MAX_SOUND_PARTS
