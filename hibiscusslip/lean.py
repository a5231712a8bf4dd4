"""Start the daemon in a process that takes little memory.

A command line parser is of no use once the settings are read, and bytecode
that has to be compiled at the start leaves its waste behind. So the command
replaces its own process by one that loads only the daemon, from bytecode
without docstrings if that has been prepared (`make bytecode`).
"""

import os
import sys
import typing

BYTECODE_DIRECTORY = 'bytecode'


def interpreter_flags() -> list[str]:
    """Return the interpreter's flags for prepared bytecode, if any."""
    path = os.path.join(sys.prefix, BYTECODE_DIRECTORY)
    if not os.path.isdir(path):
        return []
    return ['-OO', '-X', f'pycache_prefix={path}']


def become(module: str, arguments: list[str]) -> typing.NoReturn:
    """Replace this process by one that runs `module`; keeps the pid.

    Raises OSError when the interpreter can't be run.
    """
    line = [sys.executable, *interpreter_flags(), '-m', module, *arguments]
    sys.stdout.flush()
    sys.stderr.flush()
    os.execv(sys.executable, line)


def leave_out(modules: tuple[str, ...]) -> None:
    """Have imports of optional modules fail, as if they weren't installed.

    Call it before anything else is imported. The libraries then take the
    way that they have for Pythons without these modules.
    """
    for name in modules:
        sys.modules.setdefault(name, None)  # type: ignore[arg-type]
