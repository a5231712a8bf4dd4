"""Start the daemon of an entry host."""

import pathlib
import sys
import typing

import cyclopts

from hibiscusslip import lean
from hibiscusslip import settings

USAGE_EXIT = 2

app = cyclopts.App(
    name='hibiscusslip-entry',
    help='Serve callers, endpoints and neighbours as one entry host.',
)


@app.default
def serve(
    *,
    settings_file: typing.Annotated[
        pathlib.Path, cyclopts.Parameter(name='--settings')
    ],
    check: bool = False,
) -> int:
    """Serve until SIGTERM, then hand over and stop gracefully.

    Parameters
    ----------
    settings_file
        TOML file with the settings, see docs/SETTINGS.md.
    check
        Check the settings, print every fault, and do nothing else.
    """
    try:
        settings.load(settings_file)
    except settings.SettingsError as exc:
        print(exc, file=sys.stderr)
        return USAGE_EXIT
    if check:
        print(f'{settings_file}: no faults')
        return 0
    lean.become('hibiscusslip.node', [str(settings_file)])


def main() -> None:
    """Run the command line."""
    sys.exit(app())


if __name__ == '__main__':
    main()
