"""Start the daemon in a process with a small memory footprint.

The command line parser isn't needed once the settings are read, and memory
that compiling modules at startup took isn't returned to the system. So the
command replaces its own process by one that loads only the daemon, from
precompiled bytecode without docstrings if there is any (`make bytecode`).
"""

import os
import sys
import typing

BYTECODE_DIRECTORY = 'bytecode'


def interpreter_flags() -> list[str]:
    """Return the interpreter's flags for precompiled bytecode.

    The list is empty when no bytecode has been compiled.
    """
    path = os.path.join(sys.prefix, BYTECODE_DIRECTORY)
    if not os.path.isdir(path):
        return []
    return ['-OO', '-X', f'pycache_prefix={path}']


def become(module: str, arguments: list[str]) -> typing.NoReturn:
    """Replace this process by one that runs `module`, with the same pid.

    Raises OSError when the interpreter can't be run.
    """
    command = [sys.executable, *interpreter_flags(), '-m', module, *arguments]
    sys.stdout.flush()
    sys.stderr.flush()
    os.execv(sys.executable, command)


def leave_out(modules: tuple[str, ...]) -> None:
    """Make imports of optional modules fail, as if they weren't installed.

    Has to be called before any other import. Libraries then use their
    fallbacks for interpreters that were built without these modules.
    """
    for name in modules:
        sys.modules.setdefault(name, None)  # type: ignore[arg-type]
