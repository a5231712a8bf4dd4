"""Check the command that checks a configuration document."""

import json

import pytest

from hibiscusslip.commands import _output
from hibiscusslip.commands import ctl
from tests.platform.config_check import drafts

KEY = drafts.KEY


@pytest.fixture
def run(capsys, tmp_path):
    """Return a function that checks documents.

    It returns the exit code, the output and the error output.
    """

    def check(content, *args, in_force=None):
        path = tmp_path / 'config.json'
        path.write_text(json.dumps(content))
        args = ['config', 'check', str(path), *args]
        if in_force is not None:
            base = tmp_path / 'in_force.json'
            base.write_text(json.dumps(in_force))
            args += ['--in-force', str(base)]
        with pytest.raises(SystemExit) as caught:
            _output.run_app(ctl.app, args)
        out, err = capsys.readouterr()
        return caught.value.code, out, err

    return check


def test_exit_code_is_0_for_a_clean_configuration(run):
    code, out, err = run(drafts.document())
    assert (code, err) == (0, '')
    assert out.endswith('config.json: 0 errors, 0 warnings, 0 changes\n')


def test_exit_code_is_1_for_errors(run):
    code, out, _ = run(drafts.document({'Service': 'x'}))
    assert code == 1
    assert out.startswith("error: Routes[0].Service: there is no service 'x'")
    code, out, _ = run({'Version': 1})
    assert code == 1
    assert 'error: Routes: the field is missing' in out


def test_warnings_fail_only_if_strict(run):
    content = drafts.document(Services=[{'Name': 's'}, {'Name': 'idle'}])
    assert run(content)[0] == 0
    code, out, _ = run(content, '--strict')
    assert code == 1
    assert out.startswith('warning: Services[1]:')


def test_exit_code_is_2_for_wrong_usage(run):
    assert run({}, '--unknown')[0] == 2
    assert run({}, '--in-force', '/nonexistent')[0] == 2
    code, _, err = run(drafts.document(), in_force={'Version': 1})
    assert code == 2
    assert 'not in force' in err


def test_differences_are_shown_most_severe_first(run):
    old = drafts.document(organisations=[drafts.organisation()])
    new = drafts.document(
        {'Stretch': 2}, [drafts.organisation(keys=[drafts.OTHER_KEY])]
    )
    code, out, _ = run(new, '--json', in_force=old)
    report = json.loads(out)
    found = [(item['severity'], item['place']) for item in report['findings']]
    assert code == 1
    assert found == [
        ('error', 'Version'),
        ('warning', 'Tenants[0].ApiKeys'),
        ('change', 'Routes[0].Stretch'),
        ('change', 'Tenants[0].ApiKeys'),
    ]
    assert (report['errors'], report['warnings'], report['changes']) == (
        1,
        1,
        2,
    )


@pytest.mark.parametrize('option', ['--strict', '--json'])
def test_keys_are_not_printed(run, option):
    organisations = [
        drafts.organisation(),
        drafts.organisation('p', Weight='x'),
        drafts.organisation('p', AtMost=[KEY]),
    ]
    refused = drafts.document(organisations=organisations)
    shared = drafts.document(
        organisations=[drafts.organisation(), drafts.organisation('p')]
    )
    for content in (refused, shared):
        code, out, err = run(content, option, in_force=drafts.document())
        assert code == 1
        assert KEY not in out + err
