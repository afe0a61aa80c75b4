"""Follow the era of the platform's store, which rises with each restore."""

from __future__ import annotations

import re

from oleanderdyke.links.messages import Headers
from oleanderdyke.platform.names import STORE_ERA

# An era rises by one with each restore; fences hold it beside an offset.
_ERA = re.compile('[0-9]{1,6}')
_MOST_SHOWN = 40


class EraFault(Exception):
    """An answer has an era that no sound store would tell."""


class StoreEra:
    """Highest era that answers to one client have told.

    None while none has: stores that are never restored tell no era.
    """

    def __init__(self) -> None:
        self.highest: int | None = None

    def take(self, headers: Headers) -> None:
        """Take the era of an answer; raise EraFault."""
        text = dict(headers).get(STORE_ERA)
        if text is None and self.highest is None:
            return
        if text is None:
            raise EraFault(f'{STORE_ERA} is missing after {self.highest}')
        if not _ERA.fullmatch(text):
            shown = text[:_MOST_SHOWN]
            raise EraFault(f'{STORE_ERA} is {shown!r}, not a whole number')
        era = int(text)
        if self.highest is not None and era < self.highest:
            raise EraFault(f'{STORE_ERA} went back to {era}')
        self.highest = era

    def adopt(self, era: int | None) -> None:
        """Take the era that a neighbour read in, if it is later."""
        if era is not None:
            self.highest = max(era, self.highest or 0)
