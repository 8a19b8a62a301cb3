"""Roles that a connection to a member of the group announces in its greeting. The values are sent."""

from __future__ import annotations

MEMBER = "member"
GATEWAY = "head"
OPERATOR = "operator"
