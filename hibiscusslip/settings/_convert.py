"""Turn parsed TOML into models, collecting every fault on the way."""

import difflib
import types
import typing

import msgspec

from hibiscusslip.settings import exceptions


class Converter:
    """Convert the tables of one file and keep the faults found."""

    def __init__(self, file: str) -> None:
        self._file = file
        self.faults: list[exceptions.Fault] = []

    def table(
        self, raw: typing.Any, model: type[msgspec.Struct], path: str
    ) -> typing.Any:
        """Return `raw` as `model`, or None when it has faults."""
        if not isinstance(raw, dict):
            self._add(path, 'a table', f'write it as [{path}]')
            return None
        before = len(self.faults)
        fields = msgspec.structs.fields(model)
        self._refuse_unknown(raw, [field.name for field in fields], path)
        values = {
            field.name: self._field(raw, field, _join(path, field.name))
            for field in fields
            if field.name in raw or field.required
        }
        return model(**values) if len(self.faults) == before else None

    def _refuse_unknown(
        self, raw: dict[str, typing.Any], known: list[str], path: str
    ) -> None:
        for name in raw:
            if name not in known:
                close = difflib.get_close_matches(name, known, 1)
                remedy = (
                    f'rename it to {close[0]}' if close else 'remove this key'
                )
                names = ', '.join(known)
                self._add(_join(path, name), f'one of {names}', remedy)

    def _field(
        self,
        raw: dict[str, typing.Any],
        field: msgspec.structs.FieldInfo,
        path: str,
    ) -> typing.Any:
        wanted = _without_none(field.type)
        if field.name not in raw:
            self._add(path, _describe(wanted), _proposal(wanted, 'add'))
            return None
        value = raw[field.name]
        if _is_model(wanted):
            return self.table(value, wanted, path)
        if typing.get_origin(wanted) is list:
            return self._tables(value, typing.get_args(wanted)[0], path)
        return self._value(value, wanted, path)

    def _tables(
        self, raw: typing.Any, model: type[msgspec.Struct], path: str
    ) -> list[typing.Any]:
        if not isinstance(raw, list):
            self._add(path, 'a list of tables', f'write it as [[{path}]]')
            return []
        return [
            self.table(item, model, f'{path}[{index}]')
            for index, item in enumerate(raw)
        ]

    def _value(
        self, value: typing.Any, wanted: typing.Any, path: str
    ) -> typing.Any:
        try:
            return msgspec.convert(value, wanted)
        except msgspec.ValidationError:
            expected = f'{_describe(wanted)}, found {value!r}'
            self._add(path, expected, _proposal(wanted, 'change'))
            return None

    def _add(self, key: str, expected: str, remedy: str) -> None:
        fault = exceptions.Fault(self._file, key, expected, remedy)
        self.faults.append(fault)


def _join(path: str, name: str) -> str:
    return f'{path}.{name}' if path else name


def _is_model(wanted: typing.Any) -> bool:
    return isinstance(wanted, type) and issubclass(wanted, msgspec.Struct)


def _without_none(wanted: typing.Any) -> typing.Any:
    if isinstance(wanted, types.UnionType) or (
        typing.get_origin(wanted) is typing.Union
    ):
        return next(
            part
            for part in typing.get_args(wanted)
            if part is not types.NoneType
        )
    return wanted


def _meta(wanted: typing.Any) -> msgspec.Meta | None:
    for part in getattr(wanted, '__metadata__', ()):
        if isinstance(part, msgspec.Meta):
            return part
    return None


def _describe(wanted: typing.Any) -> str:
    meta = _meta(wanted)
    if meta is not None:
        return str(meta.description)
    if _is_model(wanted):
        return 'a table'
    return 'a list of tables'


def _proposal(wanted: typing.Any, verb: str) -> str:
    meta = _meta(wanted)
    if meta is None or not meta.examples:
        return f'{verb} it, see docs/SETTINGS.md'
    example = meta.examples[0]
    if isinstance(example, bool):
        return f'{verb} it, for example {str(example).lower()}'
    shown = f'"{example}"' if isinstance(example, str) else example
    return f'{verb} it, for example {shown}'
