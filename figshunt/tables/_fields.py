"""Typed access to a decoded JSON object that collects all faults."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault of a document: the path of the field and what was expected."""

    path: str
    expected: str

    def __str__(self) -> str:
        return f"{self.path}: expected {self.expected}"


class FaultList:
    """The faults of a document, in the order in which they were found."""

    def __init__(self) -> None:
        self._faults: list[Fault] = []

    def add(self, path: str, expected: str) -> None:
        """Record one fault."""
        self._faults.append(Fault(path, expected))

    def as_tuple(self) -> tuple[Fault, ...]:
        """Return the faults in the order in which they were found."""
        return tuple(self._faults)

    def __bool__(self) -> bool:
        return bool(self._faults)


class FieldReader:
    """Reads the fields of one object and records a fault for each invalid one.

    An invalid or missing field reads as a placeholder value of its type, so
    the rest of the document is still checked. Call :meth:`finish` last; it
    records a fault for each key that was not read.
    """

    def __init__(self, value: object, path: str, faults: FaultList) -> None:
        self._path = path
        self._faults = faults
        self._known_names: set[str] = set()
        self._fields: Mapping[str, object] = {}
        if isinstance(value, Mapping):
            self._fields = value
        else:
            faults.add(path, f"an object, got {describe(value)}")

    def path_of(self, name: str) -> str:
        """Return the path of a field for use in messages."""
        return f"{self._path}.{name}" if self._path else name

    def has(self, name: str) -> bool:
        """Return whether the field is present."""
        return name in self._fields

    def fault(self, name: str, expected: str) -> None:
        """Record a fault of the field ``name``."""
        self._faults.add(self.path_of(name), expected)

    def text(self, name: str, default: str | None = None) -> str:
        """Read a non-empty string."""
        value = self._read(name, default)
        if isinstance(value, str) and value:
            return value
        self.fault(name, f"a non-empty string, got {describe(value)}")
        return ""

    def integer(
        self, name: str, minimum: int, maximum: int, default: int | None = None
    ) -> int:
        """Read an integer from ``minimum`` to ``maximum``."""
        value = self._read(name, default)
        if isinstance(value, int) and not isinstance(value, bool):
            if minimum <= value <= maximum:
                return value
        self.fault(
            name, f"an integer from {minimum} to {maximum}, got {describe(value)}"
        )
        return minimum

    def number(
        self, name: str, minimum: float, maximum: float, default: float | None = None
    ) -> float:
        """Read a number from ``minimum`` to ``maximum``."""
        value = self._read(name, default)
        if isinstance(value, (int, float)) and not isinstance(value, bool):
            if minimum <= value <= maximum:
                return float(value)
        self.fault(name, f"a number from {minimum} to {maximum}, got {describe(value)}")
        return minimum

    def boolean(self, name: str, default: bool | None = None) -> bool:
        """Read a boolean."""
        value = self._read(name, default)
        if isinstance(value, bool):
            return value
        self.fault(name, f"true or false, got {describe(value)}")
        return False

    def choice(
        self, name: str, choices: tuple[str, ...], default: str | None = None
    ) -> str:
        """Read a string that is one of ``choices``."""
        value = self._read(name, default)
        if isinstance(value, str) and value in choices:
            return value
        self.fault(name, f"one of {', '.join(choices)}, got {describe(value)}")
        return choices[0]

    def nested(self, name: str) -> "FieldReader":
        """Read a nested object."""
        value = self._read(name, None)
        return FieldReader(value, self.path_of(name), self._faults)

    def objects(self, name: str, optional: bool = False) -> Iterator["FieldReader"]:
        """Read a list of objects."""
        value = self._read(name, [] if optional else None)
        if not isinstance(value, list):
            self.fault(name, f"a list, got {describe(value)}")
            return
        for index, item in enumerate(value):
            yield FieldReader(item, f"{self.path_of(name)}[{index}]", self._faults)

    def finish(self) -> None:
        """Record a fault for each key of the object that was not read."""
        for name in self._fields:
            if name not in self._known_names:
                known_names = ", ".join(sorted(self._known_names))
                self.fault(str(name), f"one of the known keys {known_names}")

    def _read(self, name: str, default: object) -> object:
        self._known_names.add(name)
        return self._fields.get(name, default)


def describe(value: object) -> str:
    """Return a short description of a decoded value for use in messages."""
    if value is None:
        return "nothing"
    text = repr(value)
    return text if len(text) <= 40 else f"{text[:37]}..."
