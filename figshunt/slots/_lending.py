"""What this daemon lent, and what peers wish to borrow."""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from figshunt.slots._leases import SKEW_MS, WISH_MS
from figshunt.types import (
    AskId,
    PoolName,
    ReturnedSlots,
    RunnerId,
    SeatNumber,
    SlotRequest,
    Tier,
)


@dataclass(slots=True)
class LentSlots:
    """One loan as its owner counts it; it is over at ``over_ms``."""

    seat: SeatNumber
    runner_id: RunnerId
    count: int
    over_ms: int
    returned: int = 0


class LendingBook:
    """Counts lent slots until they are returned or their lease is over.

    A lost return only delays the slot to the end of the lease; a repeated or
    late one changes nothing, since it carries the total returned so far.
    """

    def __init__(self) -> None:
        self._loans_by_number: dict[int, LentSlots] = {}
        self._lent_by_runner: Counter[RunnerId] = Counter()
        self._last_number = 0

    def lent(self, runner_id: RunnerId) -> int:
        """Return how many slots of the runner are lent."""
        return self._lent_by_runner[runner_id]

    def lend(
        self,
        seat: SeatNumber,
        runner_id: RunnerId,
        count: int,
        lease_ms: int,
        session: int,
        now_ms: int,
    ) -> int:
        """Record a loan and return its number, unique over occupants."""
        self._last_number = max(self._last_number, session) + 1
        over_ms = now_ms + lease_ms + SKEW_MS
        loan = LentSlots(seat, runner_id, count, over_ms)
        self._loans_by_number[self._last_number] = loan
        self._lent_by_runner[runner_id] += count
        return self._last_number

    def take_back(
        self, seat: SeatNumber, returns: Sequence[ReturnedSlots]
    ) -> set[RunnerId]:
        """Take returned slots back; return the runners that got some."""
        runner_ids = set()
        for one in returns:
            loan = self._loans_by_number.get(one.loan)
            if loan is None or loan.seat != seat:
                continue
            returned = min(one.returned, loan.count)
            if returned > loan.returned:
                self._lent_by_runner[loan.runner_id] -= returned - loan.returned
                loan.returned = returned
                runner_ids.add(loan.runner_id)
            if loan.returned == loan.count:
                del self._loans_by_number[one.loan]
        return runner_ids

    def expire(self, now_ms: int) -> set[RunnerId]:
        """Take back what is over; return the runners concerned."""
        runner_ids = set()
        for number, loan in tuple(self._loans_by_number.items()):
            if loan.over_ms <= now_ms:
                self._lent_by_runner[loan.runner_id] -= loan.count - loan.returned
                del self._loans_by_number[number]
                runner_ids.add(loan.runner_id)
        return runner_ids

    def next_over_ms(self) -> int | None:
        """Return when the next lease is over."""
        return min(
            (loan.over_ms for loan in self._loans_by_number.values()), default=None
        )


@dataclass(slots=True)
class Wish:
    """What is left of a peer's request that could not be met at once."""

    seat: SeatNumber
    ask: AskId
    pool: PoolName
    tier: Tier
    wanted: int
    lease_ms: int
    until_ms: int


class WishList:
    """Holds at most one open wish for each pool of each seat."""

    def __init__(self) -> None:
        self._wishes: dict[tuple[PoolName, SeatNumber], Wish] = {}

    def add(self, seat: SeatNumber, request: SlotRequest, now_ms: int) -> None:
        """Add a wish in place of the seat's last one for this pool."""
        self._wishes[request.pool, seat] = Wish(
            seat,
            request.ask,
            request.pool,
            request.tier,
            request.wanted,
            request.lease_ms,
            now_ms + WISH_MS,
        )

    def open(self, pool: PoolName, now_ms: int) -> list[Wish]:
        """Return the open wishes of a pool, highest tier first."""
        for key, wish in tuple(self._wishes.items()):
            if wish.until_ms <= now_ms or wish.wanted <= 0:
                del self._wishes[key]
        wishes = [one for one in self._wishes.values() if one.pool == pool]
        return sorted(wishes, key=lambda one: one.tier)
