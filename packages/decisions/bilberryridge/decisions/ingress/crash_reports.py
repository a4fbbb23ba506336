"""What daemons tell each other about requests under which backend servers crash."""

import attrs


@attrs.frozen
class CrashReport:
    """The prompts that a backend server had just begun to answer when it crashed.

    Parameters
    ----------
    server : str
        Id and start time of the server.
    vm : str
        VM of the daemon that reports it.
    prompts : tuple of frozenset of str
        Ids of the shared parts of each prompt, without parts known to be sound.
    """

    server: str
    vm: str
    prompts: tuple[frozenset[str], ...]


@attrs.frozen
class CrashedRequests:
    """The requests that a backend server had not answered when it crashed.

    Parameters
    ----------
    server : str
        Id and start time of the server.
    contents : tuple of str
        See `ingress.Request`.
    """

    server: str
    contents: tuple[str, ...]


@attrs.frozen
class SoundPart:
    """A prompt part, or the content of a request, answered after reports of crashes."""

    part: str


Report = CrashReport | CrashedRequests | SoundPart


@attrs.frozen
class StoredReports:
    """The reports that the store holds, each with the revision of its last change.

    Parameters
    ----------
    crashes : tuple of (CrashReport, int)
    sound_parts : tuple of (SoundPart, int)
    crashed_requests : tuple of (CrashedRequests, int)
    """

    crashes: tuple[tuple[CrashReport, int], ...] = ()
    sound_parts: tuple[tuple[SoundPart, int], ...] = ()
    crashed_requests: tuple[tuple[CrashedRequests, int], ...] = ()
