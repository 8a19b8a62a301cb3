"""Caps of what heads share: settings, the group, the wire, the node list. Used by `caps.py`."""

from __future__ import annotations

from caps_group import GROUP_CAPS
from caps_list import LIST_CAPS
from caps_log import LOG_CAPS
from caps_settings import SETTINGS_CAPS
from caps_versions import VERSION_CAPS

SHARED = SETTINGS_CAPS + GROUP_CAPS + LOG_CAPS + VERSION_CAPS + LIST_CAPS
