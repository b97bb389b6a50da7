"""What crashed runners may have in common."""

from dataclasses import dataclass
from enum import Enum

from figshunt.types import Fingerprint


class SuspectKind(Enum):
    """The content of a request, or a part of its prompt that others may share."""

    CONTENT = "content"
    PART = "part"


@dataclass(frozen=True, slots=True)
class Suspect:
    """The content of a request, or a part of its prompt, by its fingerprint."""

    kind: SuspectKind
    fingerprint: Fingerprint
