"""Publish configurations and track the version in force."""

from hibiscusslip.configuration import _policy
from hibiscusslip.configuration import _publishing
from hibiscusslip.configuration import _records
from hibiscusslip.configuration import _tracker
from hibiscusslip.configuration import _view

Accepted = _publishing.Accepted
ConfigRecord = _records.ConfigRecord
ConfigSnapshot = _records.ConfigSnapshot
ConfigTracker = _tracker.ConfigTracker
LogView = _view.LogView
VersionConflict = _publishing.VersionConflict
NotPublished = _publishing.NotPublished
Publication = _publishing.Publication
OutcomeUnknown = _publishing.OutcomeUnknown
decode = _records.decode
encode = _records.encode
make_record = _records.make
publish = _publishing.publish
read_next = _publishing.read_next
to_policy = _policy.to_policy
