"""Read the memory, processor time and link traffic of a process."""

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
# IPv4 header plus TCP header with timestamps, per TCP segment.
HEADER_BYTES = 52
_TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')
# Positions in /proc/PID/stat after the command name.
_UTIME_INDEX, _STIME_INDEX = 11, 12
_SOCKET_FIELDS = ('bytes_sent', 'bytes_received', 'segs_out', 'segs_in')
_FIELD = re.compile(rf'\b({"|".join(_SOCKET_FIELDS)}):(\d+)')


@dataclass(frozen=True, slots=True)
class Usage:
    """Total resource use of a process at one time; times in seconds."""

    at: float
    processor: float
    sent: int
    received: int
    sent_segments: int
    received_segments: int


@dataclass(frozen=True, slots=True)
class Rate:
    """Mean resource use of a process per second."""

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
    """Return the resource use so far; bytes are of open connections only."""
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
    """Return the mean use per second between two readings."""
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
    """Return the user and system time of a process, in seconds."""
    text = Path(f'/proc/{pid}/stat').read_text(encoding='ascii')
    fields = text.rpartition(')')[2].split()
    return (
        int(fields[_UTIME_INDEX]) + int(fields[_STIME_INDEX])
    ) / _TICKS_PER_SECOND


def read_memory(pid: int) -> int:
    """Return the resident set size, in bytes."""
    return _read_kib(Path(f'/proc/{pid}/status'), 'VmRSS') * KIB


def read_peak(pid: int) -> int:
    """Return the peak resident set size, in bytes."""
    return _read_kib(Path(f'/proc/{pid}/status'), 'VmHWM') * KIB


def read_pss(pid: int) -> int:
    """Return the proportional set size, in bytes.

    Each shared page is divided among the processes that map it.
    """
    return _read_kib(Path(f'/proc/{pid}/smaps_rollup'), 'Pss') * KIB


def _read_kib(path: Path, name: str) -> int:
    found = re.search(rf'^{name}:\s+(\d+) kB', path.read_text(), re.MULTILINE)
    if found is None:
        raise ValueError(f'{path} has no field {name} in kB')
    return int(found[1])


def read_sockets(pid: int, ports: Collection[int]) -> tuple[int, int, int, int]:
    """Return bytes sent, bytes received, TCP segments out and segments in.

    Covers the open connections that have one of the ports at either end. The
    counters are those of the kernel, as `ss` of iproute2 shows them.
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
