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
_TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')
_UTIME_INDEX, _STIME_INDEX = 11, 12
_SOCKET_FIELDS = ('bytes_sent', 'bytes_received', 'segs_out', 'segs_in')
_FIELD = re.compile(rf'\b({"|".join(_SOCKET_FIELDS)}):(\d+)')


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
    sent, received, segments_out, segments_in = read_sockets(pid, ports)
    return Usage(
        time.monotonic(),
        read_processor(pid),
        sent,
        received,
        segments_out,
        segments_in,
    )


def compute_rate(before: Usage, after: Usage) -> Rate:
    """Return the mean use for each second between two moments."""
    seconds = after.at - before.at
    sent = after.sent - before.sent
    received = after.received - before.received
    segments_out = after.sent_segments - before.sent_segments
    segments_in = after.received_segments - before.received_segments
    return Rate(
        (after.processor - before.processor) / seconds,
        sent / seconds,
        received / seconds,
        (sent + HEADER_BYTES * segments_out) / seconds,
        (received + HEADER_BYTES * segments_in) / seconds,
    )


def read_processor(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    text = Path(f'/proc/{pid}/stat').read_text(encoding='ascii')
    fields = text.rpartition(')')[2].split()
    return (
        int(fields[_UTIME_INDEX]) + int(fields[_STIME_INDEX])
    ) / _TICKS_PER_SECOND


def read_memory(pid: int) -> int:
    """Return the resident bytes."""
    return _read_kib(Path(f'/proc/{pid}/status'), 'VmRSS') * KIB


def read_peak(pid: int) -> int:
    """Return the most resident bytes so far."""
    return _read_kib(Path(f'/proc/{pid}/status'), 'VmHWM') * KIB


def read_pss(pid: int) -> int:
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
    output = subprocess.run(
        ['ss', '-tinpHO', 'state', 'established'],  # noqa: S607 - on the path
        capture_output=True,
        check=True,
        text=True,
    ).stdout
    totals = dict.fromkeys(_SOCKET_FIELDS, 0)
    for line in output.splitlines():
        if f'pid={pid},' not in line or not _uses(line, ports):
            continue
        for name, count in _FIELD.findall(line):
            totals[name] += int(count)
    sent, received, segments_out, segments_in = totals.values()
    return sent, received, segments_out, segments_in


def _uses(line: str, ports: Collection[int]) -> bool:
    local, peer = line.split()[2:4]
    endpoint_ports = {int(each.rpartition(':')[2]) for each in (local, peer)}
    return not endpoint_ports.isdisjoint(ports)
