"""Provide the default configuration of an entry host."""

import functools
import pathlib
import tempfile

from hibiscusslip import settings
from hibiscusslip.model import places
from hibiscusslip.node import assembly
from hibiscusslip.node import config

_TEXT = """
[host]
name = "a"
region = "r"
zone = "z"
[listen]
callers = {{ address = "10.0.0.1", port = 7400 }}
operators = {{ address = "10.0.0.1", port = 7401 }}
peers = {{ address = "10.0.0.1", port = 7402 }}
[platform]
log = {{ address = "10.0.0.2", port = 7500 }}
host_list = {{ address = "10.0.0.2", port = 7501 }}
[[keys.peers]]
id = "p"
secret_file = "{secret}"
[[keys.operators]]
id = "o"
secret_file = "{secret}"
"""


@functools.cache
def node_config() -> config.NodeConfig:
    """Return the configuration for settings with only required values."""
    with tempfile.TemporaryDirectory() as directory:
        secret = pathlib.Path(directory) / 'secret'
        secret.write_text('0123456789abcdef', encoding='ascii')
        secret.chmod(0o600)
        path = pathlib.Path(directory) / 'entry.toml'
        path.write_text(_TEXT.format(secret=secret), encoding='ascii')
        cfg = settings.load(path)
    return assembly.make_node_config(cfg, places.HostId('a', 'i'), 0.0)
