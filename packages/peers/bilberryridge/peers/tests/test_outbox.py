import pytest

from bilberryridge.peers import outbox

BOUNDS = [
    ("oldest load first", ["ca", "lb", "lc"], 2, 99, ["ca", "lc"]),
    ("a new load too", ["ca", "cb", "lc"], 2, 99, ["ca", "cb"]),
    ("no load: oldest", ["ca", "cb", "cc"], 2, 99, ["cb", "cc"]),
    ("bytes", ["ca", "lb" * 5, "cc"], 9, 13, ["ca", "cc"]),
    ("too large itself", ["lb" * 9], 9, 13, []),
]


@pytest.mark.parametrize(
    ("put", "max_messages", "max_bytes", "left"),
    [case[1:] for case in BOUNDS],
    ids=[case[0] for case in BOUNDS],
)
def test_messages_above_the_bounds_are_dropped(put, max_messages, max_bytes, left):
    box = outbox.Outbox(max_messages, max_bytes)
    dropped = []
    for encoded in put:
        is_load = encoded.startswith("l")
        dropped += box.put(outbox.QueuedMessage("kind", encoded.encode(), is_load))
    assert [box.take().encoded.decode() for _ in range(len(box))] == left
    assert len(dropped) == len(put) - len(left)
