"""What daemons tell each other about prompts under which backend servers crash."""

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
class SoundPart:
    """A prompt part under which a server has answered after crashes were reported."""

    part: str


Report = CrashReport | SoundPart


@attrs.frozen
class StoredReports:
    """The reports that the store holds, each with the revision of its last change.

    Parameters
    ----------
    crashes : tuple of (CrashReport, int)
    sound_parts : tuple of (SoundPart, int)
    """

    crashes: tuple[tuple[CrashReport, int], ...] = ()
    sound_parts: tuple[tuple[SoundPart, int], ...] = ()
