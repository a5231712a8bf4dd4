"""Check a configuration of the platform and show the findings."""

import collections
import dataclasses
import pathlib

from hibiscusslip import config_check
from hibiscusslip.commands import _options
from hibiscusslip.commands import _output
from hibiscusslip.commands import exceptions
from hibiscusslip.platform import placed_configuration

Findings = list[config_check.Finding]


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigReport:
    """Report the findings in a configuration and their numbers."""

    file: str
    errors: int
    warnings: int
    changes: int
    findings: Findings


def check(
    path: pathlib.Path,
    in_force: pathlib.Path | None,
    strict: bool,
    as_json: bool,
) -> int:
    """Print the findings in a file; return the exit code.

    Warnings count as errors if `strict` is set. Raises CommandError if a
    file is unreadable or no host could have `in_force` in force.
    """
    base = None if in_force is None else _read_in_force(in_force)
    report = _make_report(path, _find(_options.read_file(path), base))
    _output.show(report, as_json, _format(report))
    if report.errors or (strict and report.warnings):
        return exceptions.ExitCode.REFUSED
    return exceptions.ExitCode.DONE


def _read_in_force(path: pathlib.Path) -> config_check.Draft:
    draft = placed_configuration.read(_options.read_file(path))
    if isinstance(draft, config_check.Draft):
        return draft
    raise exceptions.CommandError(
        f'{path}: hosts refuse this document, so it is not in force; give the'
        ' one that is',
        exceptions.ExitCode.USAGE,
    )


def _find(data: bytes, base: config_check.Draft | None) -> Findings:
    draft = placed_configuration.read(data)
    if not isinstance(draft, config_check.Draft):
        return draft
    findings = config_check.check(draft)
    if base is not None:
        findings += config_check.compare(base, draft)
    return sorted(findings, key=lambda finding: finding.severity.rank)


def _make_report(path: pathlib.Path, findings: Findings) -> ConfigReport:
    numbers = collections.Counter(finding.severity for finding in findings)
    return ConfigReport(
        str(path),
        numbers[config_check.Severity.ERROR],
        numbers[config_check.Severity.WARNING],
        numbers[config_check.Severity.CHANGE],
        findings,
    )


def _format(report: ConfigReport) -> str:
    lines = [str(finding) for finding in report.findings]
    lines.append(
        f'{report.file}: {report.errors} errors, {report.warnings} warnings,'
        f' {report.changes} changes'
    )
    return '\n'.join(lines)
