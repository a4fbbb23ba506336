"""Claims: keys that are created once and name the daemon that may run a request.

The value names the holder and the request, so that an earlier claim of the same daemon
for another request is not mistaken for this one.
"""

from returns import result

from bilberryridge.decisions import effects, events
from bilberryridge.store import etcd, etcd_messages, settings, store, store_calls
from bilberryridge.utilities import metrics

N_ATTEMPTS = 2
SEPARATOR = "#"


def claim_value(holder: str, request_id: str) -> bytes:
    """Return the value of a claim.

    Examples
    --------
    >>> claim_value("toronto-a-1/ab12", "r-7")
    b'toronto-a-1/ab12#r-7'
    """
    return f"{holder}{SEPARATOR}{request_id}".encode()


def holder_of(value: bytes) -> str:
    """Return the holder named in a claim's value.

    Examples
    --------
    >>> holder_of(b"toronto-a-1/ab12#r-7")
    'toronto-a-1/ab12'
    """
    return value.decode(errors="replace").partition(SEPARATOR)[0]


class Claimer:
    """Creates claims in the store.

    Parameters
    ----------
    cfg : PlatformSettings
    store_client : StoreCalls
    post : callable
        Takes events.
    counts : Metrics
    """

    def __init__(
        self,
        cfg: settings.PlatformSettings,
        store_client: store_calls.StoreCalls,
        post: store_calls.Post,
        counts: metrics.Metrics,
    ):
        self._cfg = cfg
        self._store_client = store_client
        self._post = post
        self._counts = counts
        self._n_open = 0

    def claim(self, effect: effects.Claim) -> None:
        """Create the claim if it does not exist, else read its holder."""
        if self._n_open >= self._cfg.max_open_claims:
            self._counts.count("claims_refused")
            self._report(effect, events.ClaimResult.UNREACHABLE)
            return
        self._n_open += 1
        self._attempt(effect, N_ATTEMPTS)

    def _attempt(self, effect: effects.Claim, n_attempts_left: int) -> None:
        value = claim_value(effect.holder, effect.request_id)

        def on_result(
            call_result: result.Result[store.Claimed, etcd.StoreFailure],
        ) -> None:
            self._on_result(effect, call_result, n_attempts_left - 1)

        self._store_client.start(
            "claim",
            etcd_messages.TXN_PATH,
            etcd_messages.claim_request(self._cfg.prefix, effect.name, value, 0),
            lambda body: etcd_messages.claim_answer(body, self._cfg.prefix, value),
            on_result,
            timeout_s=self._cfg.call_timeout_s / N_ATTEMPTS,
        )

    def _on_result(
        self,
        effect: effects.Claim,
        call_result: result.Result[store.Claimed, etcd.StoreFailure],
        n_attempts_left: int,
    ) -> None:
        if isinstance(call_result, result.Failure):
            is_lost = isinstance(call_result.failure(), store.AnswerLost)
            if is_lost and n_attempts_left:
                # If the first transaction took effect, the same one reads its value.
                self._counts.count("claims_read_back")
                self._attempt(effect, n_attempts_left)
                return
            self._n_open -= 1
            self._report(effect, events.ClaimResult.UNREACHABLE)
            return
        self._n_open -= 1
        claimed = call_result.unwrap()
        holder = holder_of(claimed.value)
        if claimed.is_held:
            self._report(effect, events.ClaimResult.HELD, holder)
        else:
            self._report(effect, events.ClaimResult.TAKEN, holder)

    def _report(
        self, effect: effects.Claim, claim_result: events.ClaimResult, holder: str = ""
    ) -> None:
        self._counts.count("claims_answered", (claim_result.value,))
        self._post(events.ClaimAnswered(effect.request_id, claim_result, holder))
