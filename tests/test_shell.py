from __future__ import annotations

import dataclasses
import signal
import socket
from pathlib import Path

import anyio
import pytest

from examples.demo import make_token, publish
from oleanderdyke.entry import shell
from oleanderdyke.entry.settings import (
    EntrySettings,
    HttpSettings,
    LogSettings,
    VmSettings,
)
from oleanderdyke.kernel.drain import DrainSettings
from oleanderdyke.links.messages import BackendKind
from tests.calls import call
from tests.deployment import Deployment, load_layout
from tests.processes import wait_until

TLS = Path(__file__).parent / 'tls'
UNREACHABLE = '127.0.0.1:1'


def test_signal_right_after_listening_causes_a_graceful_stop(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
):
    open_listener = shell.open_listener

    def open_and_stop(host: str, port: int) -> socket.socket:
        listener = open_listener(host, port)
        signal.raise_signal(signal.SIGTERM)
        return listener

    async def run() -> None:
        with anyio.fail_after(20):
            await shell.run_entry(
                EntrySettings(
                    process='entry-1',
                    data_centre='here',
                    log=LogSettings(UNREACHABLE),
                    vms=VmSettings(UNREACHABLE),
                    http=HttpSettings(port=0),
                    drain=DrainSettings(accept=0.0, announce=0.0),
                )
            )

    monkeypatch.setattr(shell, 'open_listener', open_and_stop)
    before = signal.signal(signal.SIGTERM, signal.SIG_IGN)
    try:
        anyio.run(run)
    finally:
        signal.signal(signal.SIGTERM, before)
    written = capsys.readouterr().err
    assert 'event=process_stopping' in written
    assert 'event=process_stopped' in written


def test_entry_and_agent_authenticate_each_other(tmp_path: Path):
    """Publish the first configuration over TLS links, with an empty log."""
    paths = {
        name: str(TLS / f'node.{ending}')
        for name, ending in (('certificate', 'pem'), ('key', 'key'))
    } | {'ca': str(TLS / 'ca.pem')}
    layout = load_layout('council')
    plain = [x for x in layout.backends if x.kind is BackendKind.PLAIN]
    small = dataclasses.replace(
        layout, backends=(dataclasses.replace(plain[0], count=1),)
    )
    options = {
        'agent': {'listen': {'tls': paths}},
        'entry': {'links_tls': paths},
    }
    with Deployment(small, tmp_path, entries=1, options=options) as deployment:
        entry = deployment.entries[0]
        wait_until(
            lambda: (
                b'no configuration published yet'
                in call(entry.address, 'GET', '/ready').body
            ),
            'the entry reports why it is not ready',
        )
        publish(deployment)
        deployment.wait_ready()
        reply = call(
            entry.address,
            'GET',
            '/v1/services/claims-desk/status',
            token=make_token('caseworkers'),
        )
        assert reply.status == 200, reply
        assert set(deployment.stop().values()) == {0}
