import hypothesis
import pytest
from hypothesis import strategies as st

from bilberryridge.core import documents, encoding
from bilberryridge.decisions import replica


def version(key, revision, value=b"{}"):
    return documents.Version(key, revision, value)


def test_highest_revision_wins_in_any_order_of_arrival():
    local = replica.Replica()
    local.merge(0, 5, [version("domain/a", 5, b"new")])
    assert local.merge(0, 5, [version("domain/a", 3, b"old")]) == []
    assert local.get("domain/a").value == b"new"


def test_changes_after_a_gap_are_rejected():
    local = replica.Replica()
    with pytest.raises(replica.GapError):
        local.merge(4, 6, [version("domain/a", 5)])
    assert (local.complete_revision, len(local)) == (0, 0)


def test_snapshot_permanently_deletes_documents_that_it_lacks():
    local = replica.Replica()
    local.merge_snapshot(5, [version("domain/a", 5), version("domain/b", 4)])
    local.merge_snapshot(8, [version("domain/b", 4)])
    assert local.get("domain/a").is_tombstone
    assert local.merge(0, 8, [version("domain/a", 5)]) == []


def test_older_snapshot_is_rejected():
    local = replica.Replica()
    local.merge_snapshot(9, [version("domain/a", 9)])
    with pytest.raises(replica.RevertError):
        local.merge_snapshot(8, [])
    assert not local.get("domain/a").is_tombstone


@pytest.mark.parametrize(
    ("versions", "is_covered"),
    [
        ([version("domain/a", 9, b"x")], True),
        ([version("domain/a", 3, b"x")], True),
        ([version("domain/a", 3, b"y")], False),
        ([], False),
    ],
)
def test_store_that_lost_changes_is_detected(versions, is_covered):
    local = replica.Replica()
    local.merge_snapshot(9, [version("domain/a", 9, b"x")])
    assert local.is_covered_by(versions) is is_covered


@hypothesis.settings(max_examples=60)
@hypothesis.given(
    st.lists(st.tuples(st.integers(0, 9), st.integers(0, 3)), min_size=1, max_size=60),
    st.integers(1, 12),
)
def test_chunks_bring_a_peer_to_the_same_state(changes, n_per_chunk):
    # Each change is the next version of a key; some have the same revision.
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


def test_invalid_document_leaves_the_previous_one_in_force():
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
