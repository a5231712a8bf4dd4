"""Check request signatures and the operators' API."""

import dataclasses
import json

import curio
import pytest

import hibiscusslip.configuration as configuration
from hibiscusslip.http import messages
from hibiscusslip.model import resources
from hibiscusslip.operator import exceptions
from hibiscusslip.operator import handler
from hibiscusslip.operator import service
from hibiscusslip.operator import signing
from hibiscusslip.operator import views
import hibiscusslip.sheet as sheet
from hibiscusslip.sheet import samples
from tests.operator import fakes

NOW = 5000.0
SECRETS = {'old': b'o' * 16, 'new': b'n' * 16}
NONCE = '0' * 16


def request(method, path, body=b'', **query):
    """Return an unsigned request."""
    return messages.Request(method, path, query, {}, body, '10.0.0.9:1')


def signed(req, key_id='new', secret=None, now=NOW, nonce=NONCE):
    """Return the request with a signature."""
    secret = secret or SECRETS[key_id]
    header = signing.sign(req, key_id, secret, now, nonce)
    return dataclasses.replace(req, headers={signing.HEADER: header})


GET = request('GET', '/v1/jobs', b'body', team='red', kind='web')


@pytest.mark.parametrize('key_id', SECRETS)
def test_each_valid_key_is_accepted(key_id):
    verifier = signing.Verifier(SECRETS)
    assert verifier.verify(signed(GET, key_id), NOW) == key_id


@pytest.mark.parametrize(
    ('change', 'message'),
    [
        ({'method': 'POST'}, 'made this signature'),
        ({'path': '/v1/job'}, 'made this signature'),
        ({'query': {'team': 'blue', 'kind': 'web'}}, 'made this signature'),
        ({'body': b'bodY'}, 'made this signature'),
        ({'headers': {}}, 'not signed'),
        ({'headers': {signing.HEADER: 'Basic x'}}, 'not signed'),
    ],
)
def test_changed_request_is_refused(change, message):
    req = dataclasses.replace(signed(GET), **change)
    with pytest.raises(exceptions.AuthenticationFailed, match=message):
        signing.Verifier(SECRETS).verify(req, NOW)


def test_wrong_secret_unknown_key_and_removed_key_are_refused():
    verifier = signing.Verifier({'new': SECRETS['new']})
    for req in (
        signed(GET, 'new', b'x' * 16),
        signed(GET, 'none', b'x' * 16),
        signed(GET, 'none', b'\x00'),
        signed(GET, 'old'),
    ):
        with pytest.raises(
            exceptions.AuthenticationFailed, match='use the id'
        ):
            verifier.verify(req, NOW)


@pytest.mark.parametrize('offset', [-61, 61])
def test_time_outside_the_window_is_refused(offset):
    with pytest.raises(exceptions.AuthenticationFailed, match='set the clock'):
        signing.Verifier(SECRETS).verify(signed(GET), NOW + offset)


@pytest.mark.parametrize('later', [0, 59, 60])
def test_replay_is_refused_while_its_timestamp_is_valid(later):
    verifier = signing.Verifier(SECRETS)
    verifier.verify(signed(GET, now=NOW), NOW - 60)
    with pytest.raises(exceptions.AuthenticationFailed, match='came before'):
        verifier.verify(signed(GET, now=NOW), NOW + later)


def test_stored_nonces_are_bounded_and_expire(monkeypatch):
    monkeypatch.setattr(signing, 'MAX_NONCES', 3)
    verifier = signing.Verifier(SECRETS)
    for number in range(3):
        verifier.verify(signed(GET, nonce=f'{number:016}'), NOW)
    with pytest.raises(exceptions.Unavailable):
        verifier.verify(signed(GET, nonce='f' * 16), NOW)
    later = NOW + 121
    verifier.verify(signed(GET, now=later, nonce='f' * 16), later)


@pytest.fixture
def fleet():
    """Return a fake fleet service."""
    return fakes.FakeFleet()


def call(fleet, req):
    """Return status and document of the response to a request."""
    api = handler.OperatorHandler(
        fleet,
        signing.Verifier(SECRETS),
        clock=lambda: 0.0,
        unix_clock=lambda: NOW,
    )
    response = curio.run(api.handle, req)
    return response.status, json.loads(response.body)


def call_signed(fleet, *args, **query):
    """Sign a request; return status and document of the response."""
    return call(fleet, signed(request(*args, **query)))


def test_unsigned_request_is_refused_without_effect(fleet):
    status, document = call(fleet, request('POST', '/v1/hosts/h1/drain'))
    assert (status, fleet.calls) == (401, [])
    assert 'hibiscusslip-ctl' in document['detail']


def test_queries_and_drains_call_the_fleet_service(fleet):
    assert call_signed(fleet, 'GET', '/v1/status')[1]['version'] == 3
    events = call_signed(fleet, 'GET', '/v1/history', limit='5')[1]['events']
    assert events[0]['why'] == 'h2 died'
    assert not call_signed(fleet, 'POST', '/v1/hosts/h1/drain')[1]['done']
    assert call_signed(fleet, 'POST', '/v1/endpoints/w1/drain')[1]['done']
    assert call_signed(fleet, 'GET', '/v1/jobs/j1/explain')[1]['lines'][1]
    hosts = call_signed(fleet, 'GET', '/v1/configuration/in-force')[1]['hosts']
    assert hosts[0]['reachable']
    assert fleet.calls == [5, 'h1', 'w1']


def test_cancel_carries_selector_and_previewed_count(fleet):
    selector = service.Selector(team='red', outcome='queued')
    call_signed(fleet, 'GET', '/v1/jobs', team='red', outcome='queued')
    body = b'{"team": "red", "outcome": "queued", "at_most": 2}'
    assert (
        call_signed(fleet, 'POST', '/v1/cancellations', body)[1]['count'] == 2
    )
    assert fleet.calls == [selector, (selector, 2)]


@pytest.mark.parametrize(
    ('method', 'path', 'body', 'query'),
    [
        ('GET', '/v1/jobs', b'', {}),
        ('GET', '/v1/jobs', b'', {'team': 'a', 'outcome': 'failed'}),
        ('GET', '/v1/jobs', b'', {'teem': 'a'}),
        ('GET', '/v1/history', b'', {'limit': '-1'}),
        ('GET', '/v1/history', b'', {'limit': '9999'}),
        ('POST', '/v1/cancellations', b'{"at_most": 1}', {}),
        ('POST', '/v1/cancellations', b'{"team": "a"}', {}),
        ('POST', '/v1/cancellations', b'{"at_most":1,"all":1}', {}),
        ('POST', '/v1/cancellations', b'', {}),
    ],
)
def test_malformed_request_is_refused(fleet, method, path, body, query):
    status, document = call_signed(fleet, method, path, body, **query)
    assert (status, fleet.calls) == (400, [])
    assert document['detail']


@pytest.mark.parametrize(
    ('error', 'status'),
    [
        (exceptions.UnknownTarget('no host h1; see status'), 404),
        (exceptions.SelectionGrew('3 match; preview again'), 409),
        (exceptions.Unavailable('partitioned; try later'), 503),
        (exceptions.OutcomeUnknown('no answer; ask again'), 504),
    ],
)
def test_service_errors_map_to_their_status(fleet, error, status):
    fleet.error = error
    response = call_signed(fleet, 'POST', '/v1/hosts/h1/drain')
    assert (response[0], response[1]['detail']) == (status, str(error))


def test_current_sheet_can_be_applied_again(fleet):
    document = call_signed(fleet, 'GET', '/v1/configuration')[1]
    assert (document['version'], document['author']) == (3, 'ann')
    data = document['sheet'].encode()
    assert sheet.parse(data) == sheet.parse(samples.read('estendal'))


def apply(fleet, data, **query):
    """Send a sheet to be published; return status and document."""
    query = {'made_from': '2', 'author': 'ann', 'record_id': 'r1'} | query
    return call_signed(fleet, 'POST', '/v1/configuration', data, **query)


def test_apply_publishes_the_parsed_sheet(fleet):
    data = samples.read('peachtree')
    assert apply(fleet, data) == (200, {'result': 'accepted', 'version': 3})
    assert fleet.calls == [
        service.ConfigProposal('r1', 2, 'ann', sheet.parse(data))
    ]


def test_version_conflict_names_the_winner(fleet):
    content = sheet.parse(samples.read('peachtree'))
    fleet.publication = configuration.VersionConflict(
        configuration.make_record('r9', 2, 'bob', content, NOW),
        sheet.diff(None, content)[:1],
    )
    status, document = apply(fleet, samples.read('peachtree'))
    assert (status, document['winner_author']) == (409, 'bob')
    assert document['changes'] == ['added share press']


def test_faulty_sheet_is_not_applied(fleet):
    status, document = apply(fleet, b'row,kind\nshare,web\n')
    assert (status, fleet.calls) == (422, [])
    assert document['faults'][0]['column']


@pytest.mark.parametrize(
    'query', [{'made_from': 'x'}, {'author': ''}, {'record_id': '\n'}]
)
def test_apply_with_invalid_parameters_is_refused(fleet, query):
    assert apply(fleet, samples.read('peachtree'), **query)[0] == 400


def test_merge_sums_kinds_and_names_unreachable_hosts():
    demand = resources.Resources(1000, 10, 0)
    kind = views.KindView('web', 1, 2, demand, demand, 3.0)
    hosts = [
        views.HostView('h2', 'b', views.HostCondition.UNREACHABLE),
        views.HostView(
            'h1', 'a', views.HostCondition.LIVE, kinds=[kind, kind]
        ),
    ]
    copies = [views.decode_host(views.encode_host(host)) for host in hosts]
    assert copies == hosts
    status = views.merge(1, 'ann', copies)
    assert status.unreachable == ['h2']
    assert status.kinds[0].running == 4
    assert status.kinds[0].held == demand + demand
    assert [host.name for host in status.hosts] == ['h1', 'h2']
