"""Define hibiscusslip-entry, which starts the daemon of an entry host.

The process parses the command line and then replaces itself by the daemon,
so that the modules needed for parsing don't stay in the daemon's memory.
"""

import pathlib
import typing

import cyclopts

from hibiscusslip import lean
from hibiscusslip.commands import _output
from hibiscusslip.commands import exceptions
import hibiscusslip.settings as settings

NODE_MODULE = 'hibiscusslip.node'

app = cyclopts.App(
    name='hibiscusslip-entry',
    help='Run an entry host: accept jobs, place them and report outcomes.',
    help_epilogue=(
        'SIGTERM stops it gracefully: work is handed over and requests in'
        ' flight are completed. Exit codes: 0 stopped or settings valid,'
        ' 1 failed, 2 settings invalid, 70 crashed.'
    ),
    result_action='return_value',
)


@app.default
def start(
    *,
    settings_file: typing.Annotated[
        pathlib.Path, cyclopts.Parameter(name='--settings')
    ],
    check: typing.Annotated[bool, cyclopts.Parameter(negative='')] = False,
) -> int:
    """Start the daemon with a settings file.

    Parameters
    ----------
    settings_file
        TOML file with the settings, see docs/SETTINGS.md.
    check
        Only load and validate the settings.
    """
    try:
        cfg = settings.load(settings_file)
    except settings.SettingsError as exc:
        raise exceptions.CommandError(
            f'the settings are invalid\n{exc}',
            exceptions.ExitCode.USAGE,
        ) from exc
    if check:
        print(f'{settings_file}: valid, host {cfg.host.name}')
        return exceptions.ExitCode.DONE
    lean.become(NODE_MODULE, ['--settings', str(settings_file)])


def main() -> None:
    """Run the program and exit with its code."""
    _output.run_app(app)


if __name__ == '__main__':
    main()
