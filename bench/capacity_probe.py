"""Read what one process takes: memory, processor time, bytes on its links."""

from __future__ import annotations

import os
import re
import subprocess
import time
from collections.abc import Collection
from dataclasses import dataclass
from pathlib import Path

KIB = 1024
MIB = 1024 * KIB
# An IPv4 header and a TCP header with timestamps, for each segment.
HEADER_BYTES = 52
_TICK = os.sysconf('SC_CLK_TCK')
_USER, _SYSTEM = 11, 12
_FIELDS = ('bytes_sent', 'bytes_received', 'segs_out', 'segs_in')
_FIELD = re.compile(rf'\b({"|".join(_FIELDS)}):(\d+)')


@dataclass(frozen=True, slots=True)
class Usage:
    """Hold what a process had used at a moment; times in seconds."""

    at: float
    processor: float
    sent: int
    received: int
    sent_segments: int
    received_segments: int


@dataclass(frozen=True, slots=True)
class Rate:
    """Hold what a process used in each second of a while."""

    processor: float
    sent: float
    received: float
    sent_wire: float
    received_wire: float

    def __str__(self) -> str:
        return (
            f'{self.processor * 100:5.2f}% of a core; out '
            f'{self.sent / 1_000:6.2f} kB/s, in {self.received / 1_000:6.2f} '
            f'kB/s; with IP and TCP headers out '
            f'{self.sent_wire / 1_000:6.2f}, in '
            f'{self.received_wire / 1_000:6.2f} kB/s'
        )


def read_usage(pid: int, ports: Collection[int]) -> Usage:
    """Return what a process has used; bytes of its open connections only."""
    sent, received, out, into = read_sockets(pid, ports)
    return Usage(
        time.monotonic(), read_processor(pid), sent, received, out, into
    )


def compare(before: Usage, after: Usage) -> Rate:
    """Return the mean use for each second between two moments."""
    seconds = after.at - before.at
    sent = after.sent - before.sent
    received = after.received - before.received
    out = after.sent_segments - before.sent_segments
    into = after.received_segments - before.received_segments
    return Rate(
        (after.processor - before.processor) / seconds,
        sent / seconds,
        received / seconds,
        (sent + HEADER_BYTES * out) / seconds,
        (received + HEADER_BYTES * into) / seconds,
    )


def read_processor(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    text = Path(f'/proc/{pid}/stat').read_text(encoding='ascii')
    fields = text.rpartition(')')[2].split()
    return (int(fields[_USER]) + int(fields[_SYSTEM])) / _TICK


def read_memory(pid: int) -> int:
    """Return the resident bytes."""
    return _read_kib(Path(f'/proc/{pid}/status'), 'VmRSS') * KIB


def read_peak(pid: int) -> int:
    """Return the most resident bytes so far."""
    return _read_kib(Path(f'/proc/{pid}/status'), 'VmHWM') * KIB


def read_share(pid: int) -> int:
    """Return the resident bytes, shared pages divided among their users."""
    return _read_kib(Path(f'/proc/{pid}/smaps_rollup'), 'Pss') * KIB


def _read_kib(path: Path, name: str) -> int:
    found = re.search(rf'^{name}:\s+(\d+) kB', path.read_text(), re.MULTILINE)
    if found is None:
        raise ValueError(f'{path} has no {name}')
    return int(found[1])


def read_sockets(pid: int, ports: Collection[int]) -> tuple[int, int, int, int]:
    """Return bytes sent, received, segments out, in, of open connections.

    Only those with one of the ports at either end count. The system counts
    them; `ss` of iproute2 shows them.
    """
    shown = subprocess.run(
        ['ss', '-tinpHO', 'state', 'established'],  # noqa: S607 - on the path
        capture_output=True,
        check=True,
        text=True,
    ).stdout
    totals = dict.fromkeys(_FIELDS, 0)
    for line in shown.splitlines():
        if f'pid={pid},' not in line or not _uses(line, ports):
            continue
        for name, count in _FIELD.findall(line):
            totals[name] += int(count)
    sent, received, out, into = totals.values()
    return sent, received, out, into


def _uses(line: str, ports: Collection[int]) -> bool:
    near, far = line.split()[2:4]
    ends = {int(each.rpartition(':')[2]) for each in (near, far)}
    return not ends.isdisjoint(ports)
