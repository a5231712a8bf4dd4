"""Convert parsed TOML to models and collect all faults."""

import difflib
import types
import typing

import msgspec

from hibiscusslip.settings import exceptions


class Converter:
    """Convert the tables of a file and collect their faults."""

    def __init__(self, file: str) -> None:
        self._file = file
        self.faults: list[exceptions.Fault] = []

    def convert_table(
        self, raw: typing.Any, model: type[msgspec.Struct], path: str
    ) -> typing.Any:
        """Return `raw` as `model`, or None if it has faults."""
        if not isinstance(raw, dict):
            self._add_fault(path, 'a table', f'write it as [{path}]')
            return None
        fault_count = len(self.faults)
        fields = msgspec.structs.fields(model)
        self._check_unknown_keys(raw, [field.name for field in fields], path)
        values = {
            field.name: self._convert_field(
                raw, field, _join(path, field.name)
            )
            for field in fields
            if field.name in raw or field.required
        }
        return model(**values) if len(self.faults) == fault_count else None

    def _check_unknown_keys(
        self, raw: dict[str, typing.Any], known: list[str], path: str
    ) -> None:
        for name in raw:
            if name not in known:
                matches = difflib.get_close_matches(name, known, 1)
                remedy = (
                    f'rename it to {matches[0]}'
                    if matches
                    else 'remove this key'
                )
                names = ', '.join(known)
                self._add_fault(_join(path, name), f'one of {names}', remedy)

    def _convert_field(
        self,
        raw: dict[str, typing.Any],
        field: msgspec.structs.FieldInfo,
        path: str,
    ) -> typing.Any:
        annotation = _strip_none(field.type)
        if field.name not in raw:
            self._add_fault(
                path,
                _describe(annotation),
                _suggest_remedy(annotation, 'add'),
            )
            return None
        value = raw[field.name]
        if _is_model(annotation):
            return self.convert_table(value, annotation, path)
        if typing.get_origin(annotation) is list:
            return self._convert_tables(
                value, typing.get_args(annotation)[0], path
            )
        return self._convert_value(value, annotation, path)

    def _convert_tables(
        self, raw: typing.Any, model: type[msgspec.Struct], path: str
    ) -> list[typing.Any]:
        if not isinstance(raw, list):
            self._add_fault(
                path, 'a list of tables', f'write it as [[{path}]]'
            )
            return []
        return [
            self.convert_table(item, model, f'{path}[{index}]')
            for index, item in enumerate(raw)
        ]

    def _convert_value(
        self, value: typing.Any, annotation: typing.Any, path: str
    ) -> typing.Any:
        try:
            return msgspec.convert(value, annotation)
        except msgspec.ValidationError:
            expected = f'{_describe(annotation)}, found {value!r}'
            self._add_fault(
                path, expected, _suggest_remedy(annotation, 'change')
            )
            return None

    def _add_fault(self, key: str, expected: str, remedy: str) -> None:
        fault = exceptions.Fault(self._file, key, expected, remedy)
        self.faults.append(fault)


def _join(path: str, name: str) -> str:
    return f'{path}.{name}' if path else name


def _is_model(annotation: typing.Any) -> bool:
    return isinstance(annotation, type) and issubclass(
        annotation, msgspec.Struct
    )


def _strip_none(annotation: typing.Any) -> typing.Any:
    if isinstance(annotation, types.UnionType) or (
        typing.get_origin(annotation) is typing.Union
    ):
        return next(
            part
            for part in typing.get_args(annotation)
            if part is not types.NoneType
        )
    return annotation


def _find_meta(annotation: typing.Any) -> msgspec.Meta | None:
    for part in getattr(annotation, '__metadata__', ()):
        if isinstance(part, msgspec.Meta):
            return part
    return None


def _describe(annotation: typing.Any) -> str:
    meta = _find_meta(annotation)
    if meta is not None:
        return str(meta.description)
    if _is_model(annotation):
        return 'a table'
    return 'a list of tables'


def _suggest_remedy(annotation: typing.Any, verb: str) -> str:
    meta = _find_meta(annotation)
    if meta is None or not meta.examples:
        return f'{verb} it, see docs/SETTINGS.md'
    example = meta.examples[0]
    if isinstance(example, bool):
        return f'{verb} it, for example {str(example).lower()}'
    shown = f'"{example}"' if isinstance(example, str) else example
    return f'{verb} it, for example {shown}'
