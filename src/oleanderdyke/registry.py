"""Registry of plug-ins by name."""

from __future__ import annotations

import difflib
from collections.abc import Callable
from typing import Generic, TypeVar

from oleanderdyke.errors import SettingsError

PluginT = TypeVar('PluginT')


class Registry(Generic[PluginT]):
    """The factories of one kind of plug-in, by name."""

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._factories: dict[str, PluginT] = {}

    def register(self, name: str) -> Callable[[PluginT], PluginT]:
        """Return a decorator that registers a factory under a name."""

        def add(factory: PluginT) -> PluginT:
            self._factories[name] = factory
            return factory

        return add

    def names(self) -> tuple[str, ...]:
        """Return the registered names in alphabetical order."""
        return tuple(sorted(self._factories))

    def find(self, name: str) -> PluginT:
        """Return the factory; raise SettingsError for an unknown name."""
        if name in self._factories:
            return self._factories[name]
        near = difflib.get_close_matches(name, self._factories, n=1)
        hint = f'; did you mean {near[0]!r}?' if near else ''
        allowed = ', '.join(self.names())
        fault = f'unknown {self._kind} {name!r}; allowed: {allowed}{hint}'
        raise SettingsError((fault,))
