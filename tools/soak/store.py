"""The platform's store of a soak, with faults that may overlap."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator

from tests.standins import web
from tests.standins.records import RecordStore
from tools.soak.attempts import Spell

_ENTRY_TOPIC = 'oleander-entries'


class SoakStore(RecordStore):
    """Add outages and lost records to the stand-in of the store.

    `outages` and `deaf` count the faults in progress; a deaf store serves reads
    and takes no records. `spells` keeps when each of them lasted.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        super().__init__()
        self.outages = 0
        self.deaf = 0
        self.spells: list[Spell] = []
        self._now = now

    async def answer(self, request: web.Request) -> web.Answer:
        """Refuse what the faults in progress forbid."""
        is_append = request.path == '/api/log-append'
        if self.outages or (self.deaf and is_append):
            return web.refuse(503, 'down')
        return await super().answer(request)

    @contextlib.contextmanager
    def refusing(self) -> Iterator[None]:
        """Refuse every call."""
        self.outages += 1
        with self._disturbing():
            yield
        self.outages -= 1

    @contextlib.contextmanager
    def refusing_appends(self) -> Iterator[None]:
        """Refuse every append."""
        self.deaf += 1
        with self._disturbing():
            yield
        self.deaf -= 1

    def restore(self) -> None:
        """Restore the backup as a disturbance."""
        with self._disturbing():
            super().restore()

    @contextlib.contextmanager
    def _disturbing(self) -> Iterator[None]:
        spell = Spell(self._now())
        self.spells.append(spell)
        yield
        spell.end = self._now()

    def is_settled(self, seconds: float) -> bool:
        """Return whether it has served every call for some seconds."""
        since = self._now() - seconds
        return all(spell.end < since for spell in self.spells)

    def forget_announcements(self) -> None:
        """Drop the announcements of all entries, as retention does."""
        self.find(_ENTRY_TOPIC).forget()
