"""Track the era of the platform's store, a count of its restores."""

from __future__ import annotations

import re

from oleanderdyke.links.messages import Headers
from oleanderdyke.platform.names import STORE_ERA

# Each restore raises the era by one. Fences combine it with an offset, so the
# number of digits is bounded.
_ERA = re.compile('[0-9]{1,6}')
_SHOWN_LENGTH = 40


class EraFault(Exception):
    """An answer has a missing, malformed or lower era."""


class StoreEra:
    """Track the highest era in the answers to one client.

    `highest` is None until an answer has an era: a store that was never
    restored sends none.
    """

    def __init__(self) -> None:
        self.highest: int | None = None

    def update(self, headers: Headers) -> None:
        """Update from the headers of an answer; raise EraFault."""
        text = dict(headers).get(STORE_ERA)
        if text is None and self.highest is None:
            return
        if text is None:
            raise EraFault(f'{STORE_ERA} is missing after {self.highest}')
        if not _ERA.fullmatch(text):
            shown = text[:_SHOWN_LENGTH]
            raise EraFault(f'{STORE_ERA} is {shown!r}, not a whole number')
        era = int(text)
        if self.highest is not None and era < self.highest:
            raise EraFault(
                f'{STORE_ERA} went back to {era} from {self.highest}'
            )
        self.highest = era

    def adopt(self, era: int | None) -> None:
        """Update from the era of records that a neighbour has read."""
        if era is not None:
            self.highest = max(era, self.highest or 0)
