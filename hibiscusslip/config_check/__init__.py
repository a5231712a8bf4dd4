"""Check a configuration of the platform before it is published."""

from hibiscusslip.config_check import _changes
from hibiscusslip.config_check import _model
from hibiscusslip.config_check import _ranges
from hibiscusslip.config_check import _references

Draft = _model.Draft
Finding = _model.Finding
KeyEntry = _model.KeyEntry
OrganisationEntry = _model.OrganisationEntry
Place = _model.Place
QueueEntry = _model.QueueEntry
ServiceEntry = _model.ServiceEntry
Severity = _model.Severity
compare = _changes.compare


def check(draft: Draft) -> list[Finding]:
    """Return what is wrong with a configuration."""
    return [*_references.check(draft), *_ranges.check(draft)]
