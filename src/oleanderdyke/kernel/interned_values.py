"""Interned values with use counts."""

from __future__ import annotations

from collections.abc import Hashable
from typing import Generic, TypeVar

ValueT = TypeVar('ValueT', bound=Hashable)


class InternedValues(Generic[ValueT]):
    """Store each value once, under a number, while it is in use."""

    def __init__(self) -> None:
        self._numbers: dict[ValueT, int] = {}
        self._values: dict[int, ValueT] = {}
        self._use_counts: dict[int, int] = {}
        self._next = 0

    def get(self, number: int) -> ValueT:
        """Return the value with a number."""
        return self._values[number]

    def acquire(self, value: ValueT) -> int:
        """Add a use of a value and return its number."""
        number = self._numbers.get(value)
        if number is None:
            number = self._next
            self._next += 1
            self._numbers[value] = number
            self._values[number] = value
            self._use_counts[number] = 0
        self._use_counts[number] += 1
        return number

    def release(self, number: int) -> None:
        """Remove a use; drop the value after the last one."""
        self._use_counts[number] -= 1
        if not self._use_counts[number]:
            del self._numbers[self._values.pop(number)]
            del self._use_counts[number]
