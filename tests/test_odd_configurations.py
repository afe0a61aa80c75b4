"""Values of a configuration that pass as such and fail where they are used.

Operators make typing errors. One value must not cost the rest: what can be
applied is applied, and the log tells what was wrong and what is allowed.
"""

from __future__ import annotations

import json

import anyio
import h11
import pytest

from oleanderdyke.entry.hosted import attempt
from oleanderdyke.platform.documents import decode_configuration
from tests.hosted import (
    CONFIGURATION,
    OPERATOR,
    configure_store,
    make_request,
    make_store_service,
    read_answer,
    staging,
)
from tests.standins.scripts import answer_well

pytestmark = pytest.mark.anyio

LABEL = 'a' * 64
ODD_ADDRESSES = {
    'port_99999': '127.0.0.1:99999',
    'negative': '127.0.0.1:-5',
    'port_0': '127.0.0.1:0',
    'word': '127.0.0.1:http',
    'no_port': '127.0.0.1:',
    'no_colon': '127.0.0.1',
    'no_host': ':80',
    'empty_label': 'a..b:80',
    'label': f'{LABEL}:80',
    'colons': '[::::]:80',
    'surrogate': '\ud800:80',
    'line': 'a:80\r\nx: y',
    'number': 80,
    'list': ['127.0.0.1:80'],
}
each_address = pytest.mark.parametrize(
    'odd', ODD_ADDRESSES.values(), ids=ODD_ADDRESSES
)


def decode(configuration):
    return decode_configuration(json.dumps(configuration).encode())


@each_address
def test_a_store_at_an_odd_address_is_left_out_alone(odd):
    found = decode(configure_store(odd))
    sound = decode(CONFIGURATION)
    assert found.routes == sound.routes
    assert found.services['rules'].store is None
    (fault,) = found.faults
    assert "'rules'" in fault
    assert 'allowed' in fault


def test_a_sound_configuration_has_no_faults():
    found = decode(configure_store('127.0.0.1:80'))
    assert found.services['rules'].store.address == '127.0.0.1:80'
    assert found.faults == ()


# Guards against an operator's typing error in the address of a context store
# that ends each entry which applies it, and ends it again at each start.
@pytest.mark.parametrize(
    'odd', ['127.0.0.1:99999', '127.0.0.1:', 'a..b:80', f'{LABEL}:80', ':80']
)
@pytest.mark.parametrize('is_known_at_start', [True, False])
async def test_an_entry_serves_while_a_store_has_an_odd_address(
    tmp_path, odd, is_known_at_start
):
    configuration = {**configure_store(odd), 'version': 8}
    first = configuration if is_known_at_start else CONFIGURATION
    async with staging(tmp_path, answer_well, configuration=first) as stage:
        stage.store.put(OPERATOR, 'config', configuration)
        await wait_version(stage, 8)
        # The stores are read by now.
        await anyio.sleep(0.6)
        assert (await stage.call('/once/1')).status == 200
        await stage.core.contexts_ready.wait()
    text = stage.log.read_text()
    (line,) = [line for line in text.splitlines() if 'name=config' in line]
    assert 'event=record_refused' in line
    assert 'allowed: ' in line


# Guards against faults of one configuration that fill the log.
async def test_many_faults_of_a_configuration_take_few_lines(tmp_path):
    services = [make_store_service(f's-{at}', 'a..b:80') for at in range(40)]
    configuration = {**CONFIGURATION, 'services': services}
    async with staging(
        tmp_path, answer_well, configuration=configuration
    ) as stage:
        await wait_version(stage, 7)
    lines = stage.log.read_text().splitlines()
    refused = [line for line in lines if 'event=record_refused' in line]
    # The port of metrics may be in use.
    assert len([line for line in refused if 'name=metrics' not in line]) == 4


async def wait_version(stage, version) -> None:
    with anyio.fail_after(5):
        while (
            stage.core.deployment is None
            or stage.core.deployment.version < version
        ):
            await anyio.sleep(0.02)


ODD_TEAMS = {
    'letters': 'Łódź',
    'line': 'red\r\nx-odd: y',
    'feed': 'red\nblue',
    'space': ' red',
    'zero': 'r\x00d',
    'surrogate': '\ud800',
    'empty': '',
}


# Guards against a name that no header can carry, for which all calls with the
# team's keys were answered 500, or went on without their team.
@pytest.mark.parametrize('odd', ODD_TEAMS.values(), ids=ODD_TEAMS)
async def test_calls_of_a_team_with_an_odd_name_are_refused_alone(
    tmp_path, odd
):
    teams = [{'name': odd, 'apiKeys': ['odd-key']}, *CONFIGURATION['tenants']]
    configuration = {**CONFIGURATION, 'tenants': teams}
    async with staging(
        tmp_path, answer_well, configuration=configuration
    ) as stage:
        found = await stage.call('/once/1', oleanderdyke_key='odd-key')
        assert found.status == 503
        assert 'retry-after' in found.headers
        assert not stage.replicas[0].received
        assert (await stage.call('/once/2')).status == 200
    assert 'allowed: printable Latin-1' in stage.log.read_text()


async def test_a_team_with_a_name_of_latin_letters_is_told(tmp_path):
    teams = [{'name': 'são paulo', 'apiKeys': ['key']}]
    configuration = {**CONFIGURATION, 'tenants': teams}
    async with staging(
        tmp_path, answer_well, configuration=configuration
    ) as stage:
        found = await stage.call('/once/1', oleanderdyke_key='key')
        assert found.status == 200
        (request,) = stage.replicas[0].received
    assert request.headers['oleanderdyke-tenant-id'] == 'são paulo'


# Guards against a 500 for whatever else of a request no header can carry.
@pytest.mark.parametrize('fault', [UnicodeError, h11.LocalProtocolError])
async def test_a_head_that_cannot_be_sent_is_a_refusal(
    tmp_path, monkeypatch, fault
):
    def fail(*_):
        raise fault('odd')

    async with staging(tmp_path, answer_well, answer_well) as stage:
        with monkeypatch.context() as patched:
            patched.setattr(attempt, 'make_head', fail)
            for path in ('/safe/1', '/once/1'):
                assert (await stage.call(path)).status == 503
        assert (await stage.call('/safe/2')).status == 200


# Guards against a head that one parser takes and the other refuses to send.
@pytest.mark.parametrize('byte', [1, 9, 11, 12, 127, 128, 160, 255])
async def test_odd_bytes_of_callers_are_passed_on_or_refused(tmp_path, byte):
    async with staging(tmp_path, answer_well) as stage:
        reader, writer = await stage.connect()
        request = make_request('/once/1', x_odd='before-after')
        odd = bytes([byte])
        writer.write(request.replace(b'before-after', b'before' + odd + b'x'))
        answer = await read_answer(reader)
        writer.close()
    assert answer.status in {200, 400}


def change_route(**changes):
    """Return the configuration with one more route that is changed."""
    route = {**CONFIGURATION['routes'][0], 'pathPrefix': '/odd/', **changes}
    return {**CONFIGURATION, 'routes': [*CONFIGURATION['routes'], route]}


def change_service(**changes):
    """Return the configuration with one more service that is changed."""
    service = {'name': 'odd', **changes}
    services = [*CONFIGURATION['services'], service]
    return {**CONFIGURATION, 'services': services}


def split(*weights):
    shares = [{'service': 'desk', 'weight': weight} for weight in weights]
    return change_route(trafficSplit=shares)


HUGE = 10**400
ODD_NUMBERS = {
    'timeout_0': change_route(timeoutMs=0),
    'timeout_negative': change_route(timeoutMs=-1),
    'timeout_endless': change_route(timeoutMs=float('inf')),
    'timeout_1e308': change_route(timeoutMs=1e308),
    'timeout_huge': change_route(timeoutMs=HUGE),
    'timeout_nan': change_route(timeoutMs='nan'),
    'target_endless': change_route(targetLatencyMs=float('inf')),
    'target_nan': change_route(targetLatencyMs='nan'),
    'gap_1e308': change_route(gapTargetMs=1e308),
    'priority_huge': change_route(priority=HUGE),
    'attempts_negative': change_route(maxAttempts=-1),
    'attempts_huge': change_route(maxAttempts=HUGE),
    'weight_nan': split('nan', 1),
    'weight_negative': split(-5, 1),
    'weight_endless': split(float('inf'), 1),
    'weights_huge': split(HUGE, 1e308),
    'weights_0': split(0, -1),
    'cold_huge': change_service(coldStartS=HUGE, coldPerS=1),
    'cold_rate': change_service(coldStartS=5, coldPerS='nan'),
}
# Hints are left out without a fault, as before.
ODD_HINTS = {
    'memory': change_service(engine={'kvCapacity': HUGE, 'linkMbps': 0}),
    'capacity': change_service(kvStoreAddr='127.0.0.1:9', kvCapacity=HUGE),
    'link': change_service(kvStoreAddr='127.0.0.1:9', linkMbps=-HUGE),
    'link_0': change_service(kvStoreAddr='127.0.0.1:9', linkMbps=0),
    'zone': change_service(kvStoreAddr='127.0.0.1:9', zone='\ud800\n'),
}


def encode_wide(configuration) -> bytes:
    """Encode a configuration with numbers that no float can hold."""
    return json.dumps(configuration).replace('Infinity', '1e999').encode()


@pytest.mark.parametrize('odd', ODD_NUMBERS.values(), ids=ODD_NUMBERS)
def test_a_number_out_of_its_range_is_a_fault_of_its_object_alone(odd):
    found = decode_configuration(encode_wide(odd))
    assert found.faults
    assert all('allowed: a number from' in fault for fault in found.faults)
    assert found.routes[:4] == decode(CONFIGURATION).routes


# Guards against a number that an operator may write and that fails, or rules,
# where it is used.
@pytest.mark.parametrize(
    'odd',
    [*ODD_NUMBERS.values(), *ODD_HINTS.values()],
    ids=[*ODD_NUMBERS, *ODD_HINTS],
)
async def test_calls_are_answered_beside_an_odd_number(tmp_path, odd):
    async with staging(tmp_path, answer_well, configuration={}) as stage:
        topic = stage.store.find(OPERATOR)
        topic.put('config', encode_wide({**odd, 'version': 8}))
        await wait_version(stage, 8)
        assert (await stage.call('/once/1')).status == 200
        if len(odd['routes']) > 4:
            for number in range(4):
                found = await stage.call(
                    f'/odd/{number}', oleanderdyke_deadline_ms=''
                )
                assert found.status == 200
