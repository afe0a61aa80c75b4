"""Measure the resource use of the processes of a whole region.

Run `python -m bench.capacity`. It samples one agent of each kind and takes
about four minutes on a busy machine. All processes that it starts are stopped,
also on failure. Needs `ss` of iproute2.
"""

from __future__ import annotations

import argparse
import signal
import time
from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from bench.capacity_probe import (
    MIB,
    Usage,
    compute_rate,
    read_memory,
    read_peak,
    read_processor,
    read_pss,
    read_usage,
)
from bench.capacity_region import Region, make_layout
from oleanderdyke.logs import parse_line
from tests.calls import call
from tests.deployment import Entry, Server
from tests.processes import ROOT, Child, wait_until

DIRECTORY = ROOT / 'build' / 'capacity'
_IDLE_SECONDS = 10.0
_SINGLE_CHANGES = 5
_BATCH_SIZE = 100
_SETTLE_SECONDS = 8.0
_WAIT_SECONDS = 60.0
_SAMPLED_SERVERS = ('asistente-0', 'taquilla-0', 'memoria-reglas-0')


@dataclass(frozen=True, slots=True)
class MonitoredProcess:
    """A process to measure and the ports of its links."""

    name: str
    pid: int
    ports: Collection[int]

    def read(self) -> Usage:
        """Return the resources used so far."""
        return read_usage(self.pid, self.ports)


class Run:
    """Run all measurements in sequence on one region."""

    def __init__(self, region: Region) -> None:
        self._region = region
        self._teams_created = 0

    def run(self) -> None:
        """Run and print every measurement."""
        region = self._region
        print_line(
            f'{len(region.servers)} agents listen; {region.appends} appends '
            f'filled the log in {region.fill_seconds:.1f} s'
        )
        for server in self._list_samples():
            print_memory(f'agent {server.name} without peers', server.agent)
        first, second = self._start_entries()
        self._wait_for_agents(first, 'every agent has the configuration')
        self._wait_for_agents(second, 'the other entry knows it')
        self._truncate_log()
        self._measure_idle()
        self._measure_changes(first)
        self._measure_entry_restart(second)
        self._measure_agent_restart(first)
        self._print_totals()

    def _list_samples(self) -> Iterator[Server]:
        for server in self._region.servers:
            if server.name in _SAMPLED_SERVERS:
                yield server

    def _start_entries(self) -> tuple[Entry, Entry]:
        """Start two entries, which send the configuration to the agents."""
        region = self._region
        started = time.monotonic()
        entries = region.add_entry(), region.add_entry()
        for entry in entries:
            region.wait_entry_ready(entry)
            self._print_start('an entry that reads the log', entry, started)
        return entries

    def _print_start(
        self, description: str, entry: Entry, started: float
    ) -> None:
        seconds = time.monotonic() - started
        used = read_processor(get_pid(entry.child))
        print_line(
            f'{description}: ready after {seconds:.1f} s, '
            f'processor {used:.1f} s'
        )

    def _wait_for_agents(self, entry: Entry, description: str) -> None:
        started = time.monotonic()
        offset = self._region.read_status(entry)['offset']
        self._region.wait_configuration(entry, offset)
        seconds = time.monotonic() - started
        links = self._make_monitored(
            entry.child, self._region.agent_ports
        ).read()
        print_line(
            f'  {description} after {seconds:.1f} s more, '
            f'{links.processor:.1f} s of processor time in all; links out '
            f'{links.sent / MIB:.2f} MiB, in {links.received / MIB:.2f} MiB'
        )
        print_memory(f'  entry {entry.name}', entry.child)

    def _truncate_log(self) -> None:
        """Truncate the log up to the newest snapshot."""
        region = self._region
        log = region.platform['log']
        line = wait_value(self._find_snapshot, 'a snapshot is appended')
        before = int(line['offset'])
        call(log, 'PUT', '/faults', {'truncate': {'configuration': before + 1}})
        vms = call(region.platform['vms'], 'GET', '/vms').body
        print_line(
            f'a snapshot of {line["records"]} records is in the log; the VM '
            f'list has {len(vms) / 1_000:.1f} kB'
        )

    def _find_snapshot(self) -> dict[str, str] | None:
        for entry in self._region.entries:
            for line in read_lines(entry.child.log):
                if line.get('event') == 'snapshot_appended':
                    return line
        return None

    def _measure_idle(self) -> None:
        time.sleep(_SETTLE_SECONDS)
        processes = list(self._list_monitored())
        before = [each.read() for each in processes]
        time.sleep(_IDLE_SECONDS)
        print_line(f'{_IDLE_SECONDS:.0f} s without requests:')
        for each, earlier in zip(processes, before, strict=True):
            print_line(
                f'  {each.name:28}: {compute_rate(earlier, each.read())}'
            )
            memory = read_memory(each.pid) / MIB
            share = read_pss(each.pid) / MIB
            print_line(f'  {"":28}  RSS {memory:.1f} MiB, PSS {share:.1f} MiB')

    def _list_monitored(self) -> Iterator[MonitoredProcess]:
        region = self._region
        entry = region.entries[0]
        yield self._make_monitored(entry.child, region.agent_ports, 'links')
        for server in self._list_samples():
            port = int(server.agent_address.rpartition(':')[2])
            yield self._make_monitored(server.agent, frozenset({port}), 'links')

    def _make_monitored(
        self, child: Child, ports: Collection[int], description: str = ''
    ) -> MonitoredProcess:
        return MonitoredProcess(
            f'{child.name} {description}', get_pid(child), ports
        )

    def _measure_changes(self, entry: Entry) -> None:
        singles = [self._time_change(entry, 1) for _ in range(_SINGLE_CHANGES)]
        seconds_text = ', '.join(f'{each:.2f}' for each in singles)
        print_line(
            f'one change in force in every process after {seconds_text} s'
        )
        seconds = self._time_change(entry, _BATCH_SIZE)
        print_line(
            f'{_BATCH_SIZE} changes in one append: after {seconds:.2f} s'
        )

    def _time_change(self, entry: Entry, count: int) -> float:
        """Return the seconds until the last process has applied new changes."""
        before = time.time()
        offset = self._region.publish(entry, list(self._make_changes(count)))
        children = self._list_children()
        wait_until(
            lambda: all(find_applied(each, offset) for each in children),
            f'{offset} is applied everywhere',
            seconds=30,
        )
        return max(find_applied(each, offset) for each in children) - before

    def _make_changes(self, count: int) -> Iterator[Any]:
        for _ in range(count):
            self._teams_created += 1
            yield {
                'kind': 'team',
                'name': f'fresh-{self._teams_created}',
                'expected': 0,
                'spec': {'labels': {'region': 'costa'}},
            }

    def _list_children(self) -> list[Child]:
        agents = [server.agent for server in self._region.servers]
        return agents + [entry.child for entry in self._region.entries]

    def _measure_entry_restart(self, entry: Entry) -> None:
        server = next(self._list_samples())
        used = read_processor(get_pid(server.agent))
        entry.child.kill()
        started = time.monotonic()
        entry.child.start()
        self._region.wait_entry_ready(entry)
        self._print_start('an entry killed and replaced', entry, started)
        self._wait_for_agents(entry, 'its view is full')
        used = read_processor(get_pid(server.agent)) - used
        print_line(f'  processor time of {server.name} meanwhile: {used:.2f} s')

    def _measure_agent_restart(self, entry: Entry) -> None:
        """Measure the restart of a killed agent."""
        server = next(self._list_samples())
        before = read_processor(get_pid(entry.child))
        server.agent.kill()
        started = time.monotonic()
        server.agent.start()
        self._wait_listed(entry, server)
        seconds = time.monotonic() - started
        pid = get_pid(server.agent)
        print_line(
            f'an agent killed and replaced: {seconds:.1f} s until it serves '
            f'with the whole configuration, {read_processor(pid):.1f} s of '
            'processor time; of the entry '
            f'{read_processor(get_pid(entry.child)) - before:.2f} s'
        )
        print_memory(f'  agent {server.name}', server.agent)

    def _wait_listed(self, entry: Entry, server: Server) -> None:
        started = time.time()
        wait_until(
            lambda: find_started(server.agent) > 0, 'the agent runs', seconds=60
        )
        offset = self._region.read_status(entry)['offset']
        wait_until(
            lambda: find_applied(server.agent, offset) > started,
            'the agent has the configuration',
            seconds=60,
        )
        self._region.wait_configuration(entry, offset)

    def _print_totals(self) -> None:
        children = self._list_children()
        rss = sorted(read_memory(get_pid(each)) for each in children)
        shared = sum(read_pss(get_pid(each)) for each in children)
        print_line(
            f'{len(children)} processes: RSS {rss[0] / MIB:.1f} to '
            f'{rss[-1] / MIB:.1f} MiB, median {rss[len(rss) // 2] / MIB:.1f}; '
            f'PSS together {shared / MIB / 1024:.2f} GiB; '
            f'{len(self._region.children)} processes in all'
        )


def wait_value(
    find: Callable[[], dict[str, str] | None], description: str
) -> dict[str, str]:
    """Poll `find` until it returns a value, and return that value."""
    found: list[dict[str, str]] = []

    def poll() -> bool:
        value = find()
        if value is not None:
            found.append(value)
        return bool(found)

    wait_until(poll, description, seconds=_WAIT_SECONDS)
    return found[0]


def find_started(child: Child) -> float:
    """Return the time of the last `process_started` event, in seconds.

    0 if there is none.
    """
    return max(
        (
            float(line['at']) / 1_000
            for line in read_lines(child.log)
            if line.get('event') == 'process_started'
        ),
        default=0.0,
    )


def find_applied(child: Child, offset: int) -> float:
    """Return when a process first applied an offset, in seconds.

    0 if it has not applied the offset yet.
    """
    for line in read_lines(child.log):
        if line.get('event') != 'configuration_applied':
            continue
        if int(line['offset']) >= offset:
            return float(line['at']) / 1_000
    return 0.0


def read_lines(path: Path) -> list[dict[str, str]]:
    """Parse the lines of an event log since the last process start."""
    found: list[dict[str, str]] = []
    for text in path.read_text(errors='replace').splitlines():
        line = parse_line(text)
        if line.get('event') == 'process_started':
            found.clear()
        found.append(line)
    return found


def get_pid(child: Child) -> int:
    """Return the process ID of a child.

    Raises `ValueError` if it was never started.
    """
    if child.process is None:
        raise ValueError(f'process {child.name} was never started')
    return child.process.pid


def print_memory(description: str, child: Child) -> None:
    """Print the current and peak memory of a process."""
    pid = get_pid(child)
    print_line(
        f'{description}: RSS {read_memory(pid) / MIB:.1f} MiB, at most '
        f'{read_peak(pid) / MIB:.1f}, PSS {read_pss(pid) / MIB:.1f}'
    )


def print_line(text: str) -> None:
    """Print a line and flush it."""
    print(text, flush=True)


def main() -> None:
    """Parse the options and run all measurements."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--engines', type=int, default=100)
    parser.add_argument('--plains', type=int, default=17)
    parser.add_argument('--stores', type=int, default=10)
    parser.add_argument('--teams', type=int, default=42_000)
    options = parser.parse_args()
    # Turn SIGTERM into KeyboardInterrupt, so that `Region` stops children.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    layout = make_layout(options.engines, options.plains, options.stores)
    started = time.monotonic()
    with Region(layout, DIRECTORY, teams=options.teams) as region:
        Run(region).run()
    print_line(f'{time.monotonic() - started:.0f} s in all')


if __name__ == '__main__':
    main()
