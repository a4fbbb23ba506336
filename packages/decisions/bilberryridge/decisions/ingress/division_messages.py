"""Messages in which daemons ask each other for parts of a divided rate."""

import attrs


@attrs.frozen
class PartRequest:
    """Asks for tokens, or for a share for a fixed time.

    Parameters
    ----------
    key : str
        Names the divided rate.
    number : int
        Differs between all requests of one run of a daemon; the answer repeats it.
    n_needed : float
        Tokens that are of use only together.
    n_wanted : float
        Further tokens, of which a part is of use as well.
    wait_s : float
        Time that the asking daemon waits for the needed tokens.
    is_share : bool
        Whether a share is asked for, and no tokens.
    """

    key: str
    number: int
    n_needed: float = 0.0
    n_wanted: float = 0.0
    wait_s: float = 0.0
    is_share: bool = False


@attrs.frozen
class PartGrant:
    """Answers a `PartRequest`; what it gives has left the sender's account.

    Parameters
    ----------
    key : str
    number : int
    n_tokens : float
    share : float
        0 to 1, of the whole.
    lasts_s : float
        Longest time from the question for which the tokens or the share are of use.
    demand_per_s : float
        Demand that the sender knows.
    n_left : float
        Tokens that it could have given beside.
    """

    key: str
    number: int
    n_tokens: float = 0.0
    share: float = 0.0
    lasts_s: float = 0.0
    demand_per_s: float = 0.0
    n_left: float = 0.0


@attrs.frozen
class PartReturn:
    """Brings tokens back that were granted and not used.

    Parameters
    ----------
    key : str
    number : int
        Of the `PartRequest` that they were granted for.
    n_tokens : float
    """

    key: str
    number: int
    n_tokens: float


@attrs.frozen
class HeldDaemons:
    """Names daemons that the sender counts though it doesn't see them.

    Parameters
    ----------
    ages_s : dict of str to float
        Time since each was last seen.
    """

    ages_s: dict[str, float]


PartMessage = PartRequest | PartGrant | PartReturn
Message = PartMessage | HeldDaemons
