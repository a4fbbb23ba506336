"""Settings of the platform task."""

import attrs


@attrs.frozen
class DirectoryEntry:
    """Entry of this entry VM in the platform's directory for clients.

    Parameters
    ----------
    vm, domain, region : str
    address : str
        ``host:port`` for callers.
    """

    vm: str
    domain: str
    region: str
    address: str


@attrs.frozen
class PlatformSettings:
    """Addresses, time-outs and limits for calls to the platform.

    Parameters
    ----------
    vm : str
        Name of this VM.
    deployment : str
    store_endpoint, list_endpoint : str
        ``http://host:port``.
    entry : DirectoryEntry or None
        Entry to register in the directory; None for no registration.
    source_host : str
        Source address of calls; empty for any.
    call_timeout_s : float
        Time-out of every call; each of a claim's two attempts has half of it.
    check_interval_s : float
        Between checks that the watch has missed no change.
    list_interval_s, load_interval_s : float
        Between reads of the list of VMs and of a load report.
    max_load_reads_per_s : float
        With many servers each is read less often, so that all reads together stay
        within the control task's share of a core.
    directory_interval_s : float
        Between registrations in the directory.
    min_backoff_s, max_backoff_s : float
        Bounds of the wait after a failed call to the store, before jitter.
    max_open_claims : int
        Further claims are answered as unreachable at once.
    """

    vm: str
    deployment: str
    store_endpoint: str
    list_endpoint: str
    entry: DirectoryEntry | None = None
    source_host: str = ""
    call_timeout_s: float = 2.0
    check_interval_s: float = 2.0
    list_interval_s: float = 1.0
    load_interval_s: float = 1.0
    max_load_reads_per_s: float = 8.0
    directory_interval_s: float = 30.0
    min_backoff_s: float = 0.2
    max_backoff_s: float = 2.0
    max_open_claims: int = 256

    @property
    def prefix(self) -> str:
        """Common prefix of all keys of the deployment."""
        return f"/bilberryridge/{self.deployment}/"
