"""Start the daemon of an entry host, or only check its settings.

The command line is parsed here, and then the process becomes the daemon:
what parsing needs doesn't stay in the daemon's memory.
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
    help='Run an entry host: take work, place it and tell its outcome.',
    help_epilogue=(
        'SIGTERM stops it gracefully: work is handed over and no request in'
        ' flight is cut off. Exit codes: 0 stopped or settings without a'
        ' fault, 1 failed, 2 settings with faults, 70 crashed.'
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
        Only read and check the settings.
    """
    try:
        cfg = settings.load(settings_file)
    except settings.SettingsError as exc:
        raise exceptions.CommandError(
            f'the settings can not be used\n{exc}',
            exceptions.Exit.USAGE,
        ) from exc
    if check:
        print(f'{settings_file}: no fault, host {cfg.host.name}')
        return exceptions.Exit.DONE
    lean.become(NODE_MODULE, ['--settings', str(settings_file)])


def main() -> None:
    """Run the command and exit with its code."""
    _output.run_app(app)


if __name__ == '__main__':
    main()
