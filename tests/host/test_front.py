"""Check what a host answers callers, and what it records of that."""

import curio

from hibiscusslip.host import context
from hibiscusslip.host import front
from hibiscusslip.http import messages
from hibiscusslip.platform import documents
from tests.host import fakes
from tests.platform import cell


def make_handler():
    ctx = fakes.make_context(None)
    ctx.config = documents.read_configuration(cell.config_document(7))
    ctx.config_confirmed_at = context.monotonic()
    return ctx, front.FrontHandler(ctx, None, None)


def request(path):
    headers = {'host': cell.HOST}
    return messages.Request('GET', path, {}, headers, b'', '127.0.0.1:1')


def test_unknown_queue_is_counted_and_logged_with_the_version():
    ctx, handler = make_handler()
    response = curio.run(handler.handle, request('/elsewhere/1'))
    assert response.status == 404
    (line,) = ctx.log.named('queue_not_found')
    assert line['path'] == '/elsewhere/1'
    assert line['version'] == 7
    assert 0 <= line['config_age'] < 5
    rendered = ctx.metrics.render().decode()
    assert 'answers{method="GET",status="404"} 1' in rendered
