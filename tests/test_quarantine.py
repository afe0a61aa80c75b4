from __future__ import annotations

import pytest

from oleanderdyke.kernel.gate import Accepted, Gate, GateSettings
from oleanderdyke.kernel.quarantine import (
    Quarantine,
    QuarantineSettings,
    QuarantineStatus,
    make_quarantine,
)
from oleanderdyke.links.messages import AgentPhase
from test_gate import LOADED, OneTeam, make_dispatch

SETTINGS = QuarantineSettings(capacity=4, expiry=100.0)


def send_heartbeat(source, target, now=0.0):
    """Send the quarantine part of one heartbeat to another process."""
    target.merge(source.list_quarantined(now), source.list_suspects(now), now)


def test_second_crash_anywhere_quarantines_everywhere():
    first, entry, second = (make_quarantine(SETTINGS) for _ in range(3))
    assert first.record_crash('a:1', ['bad', 'good'], 0.0) == ()
    send_heartbeat(first, entry)
    send_heartbeat(entry, second)
    assert second.get_status('bad', 0.0) is QuarantineStatus.SUSPECT
    assert second.record_crash('b:1', ['bad'], 1.0) == ('bad',)
    send_heartbeat(second, entry, 1.0)
    assert entry.get_status('bad', 1.0) is QuarantineStatus.QUARANTINED
    assert entry.get_status('good', 1.0) is QuarantineStatus.SUSPECT


def test_crashes_of_two_processes_add_up_after_a_heartbeat():
    first, second = make_quarantine(SETTINGS), make_quarantine(SETTINGS)
    first.record_crash('a:1', ['bad'], 0.0)
    second.record_crash('b:1', ['bad'], 0.0)
    send_heartbeat(first, second)
    assert second.get_status('bad', 0.0) is QuarantineStatus.QUARANTINED


def test_crash_reported_repeatedly_counts_once():
    first, second = make_quarantine(SETTINGS), make_quarantine(SETTINGS)
    first.record_crash('a:1', ['bad'], 0.0)
    for _ in range(5):
        send_heartbeat(first, second)
        send_heartbeat(second, first)
    assert first.get_status('bad', 0.0) is QuarantineStatus.SUSPECT


def test_crash_while_alone_quarantines_at_once():
    quarantine = make_quarantine(SETTINGS)
    assert quarantine.record_crash('a:1', ['bad'], 0.0, alone=True) == ('bad',)


def test_suspect_that_ran_alone_is_cleared_of_that_crash_only():
    first, second = make_quarantine(SETTINGS), make_quarantine(SETTINGS)
    first.record_crash('a:1', ['good'], 0.0)
    send_heartbeat(first, second)
    second.clear('good')
    send_heartbeat(first, second)
    assert second.get_status('good', 0.0) is QuarantineStatus.CLEAN
    second.record_crash('b:1', ['good'], 1.0)
    assert second.get_status('good', 1.0) is QuarantineStatus.SUSPECT


def test_quarantine_expires_despite_late_heartbeats():
    first, second = make_quarantine(SETTINGS), make_quarantine(SETTINGS)
    first.record_crash('a:1', ['bad'], 0.0, alone=True)
    send_heartbeat(first, second, 50.0)
    for now in range(50, 400, 10):
        send_heartbeat(first, second, float(now))
        send_heartbeat(second, first, float(now))
    assert first.get_status('bad', 400.0) is QuarantineStatus.CLEAN
    assert second.get_status('bad', 400.0) is QuarantineStatus.CLEAN


def test_crash_after_expiry_counts_again():
    quarantine = make_quarantine(SETTINGS)
    quarantine.record_crash('a:1', ['bad'], 0.0, alone=True)
    quarantine.record_crash('a:2', ['bad'], 150.0)
    assert quarantine.get_status('bad', 150.0) is QuarantineStatus.SUSPECT


@pytest.mark.parametrize('alone', [True, False])
def test_memory_is_bounded_and_drops_suspects_first(alone):
    quarantine = make_quarantine(SETTINGS)
    quarantine.record_crash('a:0', ['bad'], 0.0, alone=True)
    for number in range(20):
        quarantine.record_crash(f'a:{number}', [f'd{number}'], 1.0, alone=alone)
    assert len(quarantine) == 4
    if not alone:
        assert quarantine.get_status('bad', 1.0) is QuarantineStatus.QUARANTINED


class SilentQuarantine(Quarantine):
    """Ignore the crashes reported by other processes."""

    def merge(self, quarantined, suspects, now):
        return None


class Servers:
    """Simulate three servers, two entries and a caller that keeps resending."""

    def __init__(self, make):
        self.crashes = 0
        self.entries = [make(QuarantineSettings()) for _ in range(2)]
        self.agents = [make(QuarantineSettings()) for _ in range(3)]
        self.gates = [self.make_gate(number) for number in range(3)]
        self.sent = 0

    def make_gate(self, number):
        gate = Gate(
            f'agent-{number}',
            'i1',
            'taquilla',
            settings=GateSettings(),
            quarantine=self.agents[number],
            rights=OneTeam(),
        )
        gate.set_phase(AgentPhase.SERVING)
        gate.set_loaded(LOADED)
        gate.record_heartbeat(100)
        return gate

    def send(self, name, entry, agent):
        """Send a request through an entry; return whether it was admitted."""
        self.sent += 1
        digest = make_dispatch(name).digest
        status = self.entries[entry].get_status(digest, 0.0)
        if status is QuarantineStatus.QUARANTINED:
            return False
        dispatch = make_dispatch(
            name, attempt=self.sent, alone=status is QuarantineStatus.SUSPECT
        )
        return self.gates[agent].admit(dispatch, 0.0) == Accepted()

    def crash(self, agent):
        """Crash a server; its agent and then the entries send a heartbeat."""
        self.crashes += 1
        self.gates[agent].finish_crashed(0.0)
        for entry in self.entries:
            send_heartbeat(self.agents[agent], entry)
        for entry in self.entries:
            for each in self.agents:
                send_heartbeat(entry, each)

    def send_poison(self):
        self.send('good', 0, 0)
        for number in range(9):
            if self.send('bad', number % 2, number % 3):
                self.crash(number % 3)


def test_poison_crashes_two_servers_and_innocents_are_served():
    servers = Servers(make_quarantine)
    servers.send_poison()
    assert servers.crashes == 2
    assert servers.send('good', 1, 2)


def test_crash_count_catches_a_quarantine_without_heartbeats():
    servers = Servers(SilentQuarantine)
    servers.send_poison()
    assert servers.crashes > 2
