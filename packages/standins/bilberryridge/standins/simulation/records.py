"""What callers and backend servers see; the only input of the auditor."""

import attrs


@attrs.frozen
class Sent:
    """A caller sent a request.

    Parameters
    ----------
    at_s : float
    request_id : str
        New for each request, also where a caller repeats one.
    vm : str
    content_id : str
    is_repeatable : bool
    timeout_s : float
    is_first_try : bool
        Whether the caller didn't come back with it.
    """

    at_s: float
    request_id: str
    vm: str
    content_id: str
    is_repeatable: bool
    timeout_s: float
    is_first_try: bool = True


@attrs.frozen
class Answered:
    """A caller got the end of an answer.

    Parameters
    ----------
    at_s : float
    request_id : str
    answer_of : str
        Request to which the server's answer belongs; empty for a refusal.
    is_not_run : bool
        Whether a refusal says that the request did not run.
    status : int
        0 if the connection ended without an answer.
    """

    at_s: float
    request_id: str
    answer_of: str = ""
    is_not_run: bool = False
    status: int = 0


@attrs.frozen
class Received:
    """A backend server received a request from a daemon.

    Parameters
    ----------
    at_s : float
    server : str
        Names one start of the server.
    vm : str
    request_id, content_id : str
    has_run : bool
    """

    at_s: float
    server: str
    vm: str
    request_id: str
    content_id: str
    has_run: bool


@attrs.frozen
class Crashed:
    """A backend server crashed under a request of a daemon."""

    at_s: float
    server: str
    vm: str
    content_id: str


@attrs.frozen
class Said:
    """A daemon got the head of an answer with the server's words.

    Parameters
    ----------
    at_s : float
    server, vm : str
    is_leaving : bool
    asked_s, limit_per_s : float or None
        As in `events.ServerSaid`.
    """

    at_s: float
    server: str
    vm: str
    is_leaving: bool = False
    asked_s: float | None = None
    limit_per_s: float | None = None


@attrs.frozen
class Disturbed:
    """A daemon was killed, frozen or cut off for a while."""

    at_s: float
    vm: str
    for_s: float


@attrs.frozen
class PathsLost:
    """A daemon lost paths to backend servers for a while.

    Parameters
    ----------
    at_s : float
    vm : str
    for_s : float
    is_all : bool
        Whether to all servers.
    """

    at_s: float
    vm: str
    for_s: float
    is_all: bool


Record = Sent | Answered | Received | Crashed | Said | Disturbed | PathsLost
