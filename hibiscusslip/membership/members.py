"""Know which entry hosts live."""

from hibiscusslip.membership import _member

Member = _member.Member
