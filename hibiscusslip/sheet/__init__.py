"""Parse, validate, compare and render the operators' sheet."""

from hibiscusslip.sheet import _diff
from hibiscusslip.sheet import _model
from hibiscusslip.sheet import _parse
from hibiscusslip.sheet import _render

Change = _diff.Change
ChangeType = _diff.ChangeType
Fault = _model.Fault
Quota = _model.Quota
Share = _model.Share
Sheet = _model.Sheet
Workload = _model.Workload
diff = _diff.diff
parse = _parse.parse
render = _render.render
