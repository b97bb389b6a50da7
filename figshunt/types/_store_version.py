"""The order of what a store of published items writes."""

from dataclasses import dataclass
from typing import NewType

# A store that is restored from a copy starts a new era, in which it issues the
# revisions after that of the copy a second time.
StoreEra = NewType("StoreEra", int)
StoreRevision = NewType("StoreRevision", int)


@dataclass(frozen=True, slots=True, order=True)
class Version:
    """A revision of the store; any revision of a later era is newer."""

    era: StoreEra
    revision: StoreRevision

    @classmethod
    def of(cls, era: int, revision: int) -> "Version":
        """Return a version from plain numbers, such as those of a message.

        :raises ValueError: if one of them is negative.
        """
        if era < 0 or revision < 0:
            raise ValueError(f"expected numbers from 0, got {era} and {revision}")
        return cls(StoreEra(era), StoreRevision(revision))


NO_VERSION = Version.of(0, 0)
