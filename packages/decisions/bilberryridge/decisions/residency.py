"""Data residency: the regions where an organisation's data may be."""

from bilberryridge.core import documents
from bilberryridge.decisions import (
    state,
)


def is_allowed_here(
    st: state.State, service: documents.Service, organisation: documents.Organisation
) -> bool:
    """Whether the organisation's data of the service may be in this region."""
    allowed = st.deployment.allowed_regions(service, organisation)
    return st.cfg.region in allowed


def governing_revision(
    st: state.State, service: documents.Service, organisation: documents.Organisation
) -> int:
    """Return the newest revision of the documents that determine the regions."""
    return max(
        st.replica.revision_of(f"service/{service.name}"),
        st.replica.revision_of(f"organisation/{organisation.name}"),
    )
