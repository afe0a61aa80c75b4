"""The platform's store of a soak, with faults that may overlap."""

from __future__ import annotations

from tests.standins import web
from tests.standins.records import RecordStore

_ENTRY_TOPIC = 'oleander-entries'


class SoakStore(RecordStore):
    """Add outages and lost records to the stand-in of the store.

    `outages` and `deaf` count the faults in progress; a deaf store serves reads
    and takes no records.
    """

    def __init__(self) -> None:
        super().__init__()
        self.outages = 0
        self.deaf = 0

    async def answer(self, request: web.Request) -> web.Answer:
        """Refuse what the faults in progress forbid."""
        is_append = request.path == '/api/log-append'
        if self.outages or (self.deaf and is_append):
            return web.refuse(503, 'down')
        return await super().answer(request)

    def forget_announcements(self) -> None:
        """Drop the announcements of all entries, as retention does."""
        self.find(_ENTRY_TOPIC).forget()
