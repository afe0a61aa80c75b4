"""Builders of small store indexes and of writes to them."""

from __future__ import annotations

from random import Random

from oleanderdyke.kernel.blocks import digest_segment
from oleanderdyke.kernel.store_index import StoreIndex, StoreLimits
from oleanderdyke.links.messages.segments import (
    SegmentPart,
    SegmentWrite,
)

SPACES = (b'n' * 32, b'm' * 32)


SIZE = 8


LIMITS = StoreLimits(
    capacity_bytes=4 * SIZE, write_time=50, pin_time=20, pins=4, writes=3
)


class GapPolicy:
    """Value a segment by its expected gap; short gaps are worth more."""

    def estimate_value(self, segment, length, gap, now):
        return -gap

    def record_use(self, segment, now):
        pass


def make_index(kind=StoreIndex, limits=LIMITS, incarnation='i1'):
    return kind(limits, GapPolicy(), incarnation, Random(7))


def make_id(number):
    return bytes([number]) * 32


def make_write(request, number, data, space=SPACES[0], gap=0.0, depth=0):
    digest = digest_segment(data)
    return SegmentWrite(
        request, space, make_id(number), len(data), digest, gap, depth
    )


def make_parts(write, data, step=3):
    starts = range(0, len(data), step)
    return [
        SegmentPart(
            request=write.request,
            segment=write.segment,
            generation=0,
            position=start,
            data=data[start : start + step],
            length=write.length,
            digest=write.digest,
            last=start == starts[-1],
        )
        for start in starts
    ]
