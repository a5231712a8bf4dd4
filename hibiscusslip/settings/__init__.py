"""Load and validate the settings of a process."""

from hibiscusslip.settings import _load
from hibiscusslip.settings import _model
from hibiscusslip.settings import exceptions

Address = _model.Address
Fault = exceptions.Fault
Host = _model.Host
Key = _model.Key
Keys = _model.Keys
Limits = _model.Limits
Listeners = _model.Listeners
Observability = _model.Observability
Platform = _model.Platform
Seed = _model.Seed
Settings = _model.Settings
SettingsError = exceptions.SettingsError
Timing = _model.Timing
TraceExporter = _model.TraceExporter
load = _load.load
