"""Read a fleet of endpoints and entry hosts from a TOML file."""

import pathlib
import tomllib
import typing

import msgspec

from hibiscusslip.platform import wire
from hibiscusslip.standin import exceptions


class FleetFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Represent the tables `endpoints` and `entry_hosts` of a fleet file."""

    endpoints: list[wire.EndpointEntry] = []
    entry_hosts: list[wire.EntryHostEntry] = []

    @property
    def members(self) -> list[wire.EndpointEntry | wire.EntryHostEntry]:
        """Return all endpoints and entry hosts."""
        return [*self.endpoints, *self.entry_hosts]


def load(path: pathlib.Path) -> FleetFile:
    """Return the fleet in a TOML file; raises StandinError."""
    try:
        raw = tomllib.loads(path.read_text(encoding='utf-8'))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as exc:
        raise exceptions.StandinError(
            f'{path}: {exc}; pass a readable TOML file'
        ) from exc
    return parse(raw, str(path))


def parse(raw: dict[str, typing.Any], source: str) -> FleetFile:
    """Return the validated fleet; raises StandinError."""
    try:
        fleet = msgspec.convert(raw, FleetFile)
    except msgspec.ValidationError as exc:
        raise exceptions.StandinError(
            f'{source}: {exc}; correct the file'
        ) from exc
    names = [member.name for member in fleet.members]
    if len(set(names)) < len(names):
        raise exceptions.StandinError(
            f'{source}: a name occurs twice; give each member a unique one'
        )
    return fleet
