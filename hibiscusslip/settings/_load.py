"""Load a settings file: parse, convert, validate and read the secrets."""

import pathlib
import tomllib

import msgspec

from hibiscusslip.settings import _checks
from hibiscusslip.settings import _convert
from hibiscusslip.settings import _file
from hibiscusslip.settings import _model
from hibiscusslip.settings import _secrets
from hibiscusslip.settings import exceptions


def load(path: str | pathlib.Path) -> _model.Settings:
    """Return the validated settings in the file at `path`.

    Raises SettingsError with all faults that were found.
    """
    file = str(path)
    raw = _parse(pathlib.Path(path), file)
    converter = _convert.Converter(file)
    cfg = converter.convert_table(raw, _file.SettingsFile, '')
    if cfg is None:
        raise exceptions.SettingsError(converter.faults)
    problems = _checks.run(cfg)
    _raise_problems(file, problems)
    return _build(cfg, _read_keys(cfg, file))


def _raise_problems(file: str, problems: list[_checks.Problem]) -> None:
    if problems:
        raise exceptions.SettingsError(
            [
                exceptions.Fault(file, item.key, item.expected, item.remedy)
                for item in problems
            ]
        )


def _parse(path: pathlib.Path, file: str) -> dict[str, object]:
    try:
        return tomllib.loads(path.read_text('utf-8'))
    except OSError as exc:
        expected = f'a readable file, {exc.strerror}'
        remedy = 'create it or correct the path'
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as exc:
        expected = f'TOML in UTF-8, {exc}'
        remedy = 'correct the file at that position'
    raise exceptions.SettingsError(
        [exceptions.Fault(file, '', expected, remedy)]
    )


def _read_keys(cfg: _file.SettingsFile, file: str) -> _model.Keys:
    problems: list[_checks.Problem] = []
    peers = _read_key_list(cfg.keys.peers, 'keys.peers', problems)
    operators = _read_key_list(cfg.keys.operators, 'keys.operators', problems)
    _raise_problems(file, problems)
    return _model.Keys(peers, operators)


def _read_key_list(
    sections: list[_file.KeySection],
    path: str,
    problems: list[_checks.Problem],
) -> tuple[_model.Key, ...]:
    keys = []
    for index, section in enumerate(sections):
        try:
            keys.append(_secrets.read_key(section, f'{path}[{index}]'))
        except _secrets.SecretError as exc:
            problems.append(exc.problem)
    return tuple(keys)


def _build(cfg: _file.SettingsFile, keys: _model.Keys) -> _model.Settings:
    seeds = [seed for seed in cfg.seeds if seed.name != cfg.host.name]
    return _model.Settings(
        host=_host(cfg),
        shards_per_zone=cfg.host.shards_per_zone,
        listeners=_model.Listeners(
            callers=_address(cfg.listen.callers),
            operators=_address(cfg.listen.operators),
            peers=_address(cfg.listen.peers),
        ),
        platform=_model.Platform(
            log=_address(cfg.platform.log),
            host_list=_address(cfg.platform.host_list),
            log_retention=cfg.platform.log_retention,
            host_list_interval=cfg.platform.host_list_interval,
        ),
        seeds=tuple(
            _model.Seed(seed.name, seed.zone, seed.address, seed.port)
            for seed in seeds
        ),
        timing=_model.Timing(**msgspec.structs.asdict(cfg.timing)),
        limits=_model.Limits(**msgspec.structs.asdict(cfg.limits)),
        observe=_observability(cfg.observe),
        keys=keys,
    )


def _host(cfg: _file.SettingsFile) -> _model.Host:
    zones = {zone.name for zone in cfg.zones} | {cfg.host.zone}
    return _model.Host(
        cfg.host.name, cfg.host.region, cfg.host.zone, tuple(sorted(zones))
    )


def _address(
    section: _file.ListenAddress | _file.RemoteAddress,
) -> _model.Address:
    return _model.Address(section.address, section.port)


def _observability(section: _file.ObserveSection) -> _model.Observability:
    return _model.Observability(
        log_level=section.log_level,
        log_json=section.log_json,
        statsd=_address(section.statsd) if section.statsd else None,
        trace_exporter=section.trace_exporter,
        trace_file=section.trace_file or '',
    )
