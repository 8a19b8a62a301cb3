"""Roles by which connections to a member of the group greet. The words are sent."""

from __future__ import annotations

MEMBER = "member"
GATEWAY = "head"
OPERATOR = "operator"
