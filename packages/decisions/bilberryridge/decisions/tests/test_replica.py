import hypothesis
import pytest
from hypothesis import strategies as st

from bilberryridge.core import documents, encoding
from bilberryridge.decisions import replica


def version(key, revision, value=b"{}"):
    return documents.Version(key, revision, value)


def test_highest_revision_wins_whatever_comes_last():
    store = replica.Replica()
    store.merge(0, 5, [version("domain/a", 5, b"new")])
    assert store.merge(0, 5, [version("domain/a", 3, b"old")]) == []
    assert store.get("domain/a").value == b"new"


def test_gap_is_not_taken():
    store = replica.Replica()
    with pytest.raises(replica.GapError):
        store.merge(4, 6, [version("domain/a", 5)])
    assert (store.complete_revision, len(store)) == (0, 0)


def test_whole_state_deletes_what_it_lacks_for_ever():
    store = replica.Replica()
    store.merge_snapshot(5, [version("domain/a", 5), version("domain/b", 4)])
    store.merge_snapshot(8, [version("domain/b", 4)])
    assert store.get("domain/a").is_tombstone
    assert store.merge(0, 8, [version("domain/a", 5)]) == []


def test_older_whole_state_is_refused():
    store = replica.Replica()
    store.merge_snapshot(9, [version("domain/a", 9)])
    with pytest.raises(replica.RevertError):
        store.merge_snapshot(8, [])
    assert not store.get("domain/a").is_tombstone


@pytest.mark.parametrize(
    ("versions", "is_lacking_nothing"),
    [
        ([version("domain/a", 9, b"x")], True),
        ([version("domain/a", 3, b"x")], True),
        ([version("domain/a", 3, b"y")], False),
        ([], False),
    ],
)
def test_store_that_lost_changes_is_noticed(versions, is_lacking_nothing):
    store = replica.Replica()
    store.merge_snapshot(9, [version("domain/a", 9, b"x")])
    assert store.is_covered_by(versions) is is_lacking_nothing


@hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
@hypothesis.given(
    st.lists(st.tuples(st.integers(0, 9), st.integers(0, 3)), min_size=1, max_size=60),
    st.integers(1, 12),
)
def test_chunks_bring_a_peer_to_the_same_state(changes, n_per_chunk):
    # Each change is a key's next version; some share one revision.
    source = replica.Replica()
    revision = 0
    for key, step in changes:
        before, revision = revision, revision + step
        if revision == 0:
            revision = 1
        source.merge(
            before, revision, [version(f"domain/{key}", revision, b"v%d" % revision)]
        )
    old = replica.MAX_CHUNK_BYTES
    replica.MAX_CHUNK_BYTES = 45 * n_per_chunk
    try:
        peer = replica.Replica()
        for _ in range(len(changes) + 1):
            chunk = source.since(peer.complete_revision)
            peer.merge(chunk.after_revision, chunk.complete_revision, chunk.versions)
    finally:
        replica.MAX_CHUNK_BYTES = old
    assert peer.complete_revision == source.complete_revision
    for key in range(10):
        assert peer.get(f"domain/{key}") == source.get(f"domain/{key}")


def test_invalid_document_leaves_the_one_before_in_force():
    deployment = replica.Deployment()
    value = encoding.to_json(documents.Domain("a", "r"))
    deployment.update(version("domain/a", 1, value))
    with pytest.raises(encoding.DocumentError):
        deployment.update(version("domain/a", 2, b"{"))
    assert deployment.domains["a"].region == "r"


def test_token_of_a_changed_organisation_no_longer_names_it():
    deployment = replica.Deployment()
    for revision, digests in ((1, ("old",)), (2, ("new",))):
        document = documents.Organisation("growers", "r", (), digests)
        value = encoding.to_json(document)
        deployment.update(version("organisation/growers", revision, value))
    assert deployment.organisation_of("old") is None
    assert deployment.organisation_of("new").name == "growers"
