"""Continuous batching of a fake engine: slots, queue, prefill and decode."""

import asyncio
import heapq
import itertools
from collections.abc import Callable

import attrs

from bilberryridge.standins import expected, prefix_cache


@attrs.frozen
class Speed:
    """Speed and capacity of an engine.

    Parameters
    ----------
    n_slots : int
        Largest number of sequences in the batch.
    max_waiting : int
        Largest number of sequences in the queue.
    step_s : float
        Time of one decoding step with one sequence.
    full_step_s : float
        Time of one decoding step with all slots busy; linear in between.
    prefill_tokens_per_s : float
    max_chunk_tokens : int
        Prompt tokens prefilled per step; a long prompt delays the tokens of other
        sequences.
    n_cache_blocks : int
        Blocks of `prefix_cache.BLOCK_BYTES` that the prefix cache holds.
    """

    n_slots: int = 16
    max_waiting: int = 32
    step_s: float = 0.02
    full_step_s: float = 0.04
    prefill_tokens_per_s: float = 8000.0
    max_chunk_tokens: int = 256
    n_cache_blocks: int = 2048

    def decode_s(self, n_decoding: int) -> float:
        """Time of one decoding step.

        Examples
        --------
        >>> Speed(n_slots=3, step_s=1.0, full_step_s=2.0).decode_s(2)
        1.5
        """
        if not n_decoding:
            return 0.0
        load_fraction = (n_decoding - 1) / max(1, self.n_slots - 1)
        return self.step_s + load_fraction * (self.full_step_s - self.step_s)


@attrs.define(eq=False)
class Sequence:
    """One request in the engine.

    Parameters
    ----------
    priority : int
        Sequences of lower value are served first.
    tokens : list of str
        Tokens of the answer.
    digests : list of bytes
        Digests of the prefixes of its prompt.
    n_prompt_tokens : int
    on_token : callable
        Called with each token.
    on_end : callable
        Called after the last.
    """

    priority: int
    tokens: list[str]
    digests: list[bytes]
    n_prompt_tokens: int
    on_token: Callable[[str], None]
    on_end: Callable[[], None]
    n_to_prefill: int = 0
    n_cached_tokens: int = 0
    n_done: int = 0
    is_cancelled: bool = False


class Batch:
    """Sequences of one engine and the loop that processes them.

    Parameters
    ----------
    speed : Speed
    """

    def __init__(self, speed: Speed):
        self.speed = speed
        self.slow_factor = 1.0
        self.cache = prefix_cache.PrefixCache(speed.n_cache_blocks)
        self.running: list[Sequence] = []
        self.n_prompt_tokens = 0
        self.n_cached_tokens = 0
        self.n_output_tokens = 0
        self.busy_s = 0.0
        self._waiting: list[tuple[int, int, Sequence]] = []
        self._order = itertools.count()
        self._wake = asyncio.Event()

    @property
    def n_waiting(self) -> int:
        """Sequences in the queue."""
        return len(self._waiting)

    @property
    def n_inside(self) -> int:
        """Sequences in the batch and in the queue."""
        return len(self.running) + self.n_waiting

    @property
    def is_full(self) -> bool:
        """Whether the queue is full."""
        return self.n_waiting >= self.speed.max_waiting

    def add(self, seq: Sequence) -> None:
        """Queue a sequence."""
        heapq.heappush(self._waiting, (seq.priority, next(self._order), seq))
        self._wake.set()

    def cancel(self, seq: Sequence) -> None:
        """Stop a sequence and free its slot or position in the queue."""
        seq.is_cancelled = True
        self._waiting = [item for item in self._waiting if item[2] is not seq]
        heapq.heapify(self._waiting)

    def clear(self) -> None:
        """Drop all sequences and cached blocks, as a restart does."""
        self._waiting = []
        self.running = []
        self.cache.clear()

    async def run(self) -> None:
        """Process sequences until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            self._admit()
            if not self.running:
                self._wake.clear()
                await self._wake.wait()
                continue
            began_s = loop.time()
            step_s = self._prefill_s() + self._decode_s()
            # Sleep until a deadline: on a busy machine, late wake-ups must not add up.
            due_s = began_s + step_s * self.slow_factor
            await asyncio.sleep(max(0.0, due_s - loop.time()))
            self.busy_s += loop.time() - began_s
            self._emit()

    def _admit(self) -> None:
        self.running = [seq for seq in self.running if not seq.is_cancelled]
        while self._waiting and len(self.running) < self.speed.n_slots:
            _, _, seq = heapq.heappop(self._waiting)
            n_cached = self.cache.n_cached_bytes(seq.digests)
            seq.n_cached_tokens = n_cached // expected.BYTES_PER_TOKEN
            seq.n_to_prefill = max(1, seq.n_prompt_tokens - seq.n_cached_tokens)
            self.n_prompt_tokens += seq.n_prompt_tokens
            self.n_cached_tokens += seq.n_cached_tokens
            self.running.append(seq)

    def _prefill_s(self) -> float:
        n_left = self.speed.max_chunk_tokens
        for seq in self.running:
            if seq.n_to_prefill and n_left:
                n_taken = min(n_left, seq.n_to_prefill)
                seq.n_to_prefill -= n_taken
                n_left -= n_taken
                if not seq.n_to_prefill:
                    self.cache.add(seq.digests)
        n_prefilled = self.speed.max_chunk_tokens - n_left
        return n_prefilled / self.speed.prefill_tokens_per_s

    def _decode_s(self) -> float:
        n_decoding = sum(1 for seq in self.running if not seq.n_to_prefill)
        return self.speed.decode_s(n_decoding)

    def _emit(self) -> None:
        for seq in self.running:
            if seq.n_to_prefill or seq.is_cancelled:
                continue
            seq.on_token(seq.tokens[seq.n_done])
            seq.n_done += 1
            self.n_output_tokens += 1
            if seq.n_done == len(seq.tokens):
                seq.is_cancelled = True
                seq.on_end()
