"""What operators ask an instance of the group: proposals, versions, members, how it stands."""

from __future__ import annotations

import asyncio
import difflib
from collections.abc import Callable
from typing import Any, Protocol

import msgspec

from pebblehinge.net import Peer
from pebblehinge.raft import Membership, RaftError
from pebblehinge.raft.node import Node
from pebblehinge.replicated_config.leases import Leases
from pebblehinge.replicated_config.proposal_queue import Proposals
from pebblehinge.replicated_config.size_limits import too_large
from pebblehinge.replicated_config.state_machine import State, command
from pebblehinge.replicated_config.version_cache import read
from pebblehinge.settings import Config, SettingsError
from pebblehinge.wire import Kind

MOST_ASKED = 64  # questions of operators that wait at once


class Member(Protocol):
    """The instance that is asked."""

    loop: asyncio.AbstractEventLoop
    name: str
    config: Config
    clock: Callable[[], float]
    node: Node
    state: State
    leases: Leases | None
    proposals: dict[int, Any]
    reads: dict[int, Any]

    def propose(self, data: bytes, tell: Callable[[str], None], session: str = "", serial: int = 0) -> bool: ...
    def after_read(self, tell: Callable[[bool, str], None], look: Callable[[], tuple[bool, str]]) -> None: ...
    def leader_address(self) -> str: ...


class Asking:
    """Answers each question once, by the leader where it is about what is agreed."""

    def __init__(self, member: Member) -> None:
        self.member, self.proposals = member, Proposals(member)

    def asked(self, conn: Peer, token: int, verb: str, values: dict[str, str | int]) -> None:
        def tell(ok: bool, text: str) -> None:
            conn.send(Kind.TOLD, token, ok, text, "")

        if verb == "status":
            tell(True, self._status_object() if values.get("json") else self._status())
            return
        if not self.member.node.is_leader:
            leader = self.member.leader_address()
            conn.send(Kind.TOLD, token, False, "not the leader" if leader else "no leader is known", leader)
            return
        if len(self.member.reads) + len(self.member.proposals) > MOST_ASKED:
            tell(False, "too much is asked at once")
            return
        try:
            call = getattr(self, f"_ask_{verb.replace('-', '_')}", None)
            if call is None:
                tell(False, f"{verb!r} is not known")
            else:
                call(tell, values)
        except (KeyError, TypeError, ValueError) as error:
            tell(False, f"{verb}: {error}")

    def _ask_propose(self, tell: Callable[[bool, str], None], v: dict[str, str | int]) -> None:
        text = str(v["text"])
        if refused := too_large(text):
            tell(False, refused)
            return
        try:
            read(text, "proposal")
        except SettingsError as error:
            tell(False, str(error))
            return
        self.proposals.come(
            int(v["base"]),
            text,
            str(v.get("author", "")),
            str(v.get("note", "")),
            str(v.get("session", "")),
            int(v.get("serial", 0)),
            tell,
        )

    def _ask_rollback(self, tell: Callable[[bool, str], None], v: dict[str, str | int]) -> None:
        text = self.member.state.text(int(v["version"]))
        if text is None:
            tell(False, f"version {v['version']} is not kept")
            return
        note = f"back to version {v['version']}"
        self._ask_propose(tell, {**v, "text": text, "base": self.member.state.newest, "note": note})

    def _ask_forget(self, tell: Callable[[bool, str], None], v: dict[str, str | int]) -> None:
        if not self.member.propose(command("forget", str(v["head"])), lambda said: tell(not said, said or "forgotten")):
            tell(False, "this instance takes no proposals now")

    def _ask_show(self, tell: Callable[[bool, str], None], v: dict[str, str | int]) -> None:
        def look() -> tuple[bool, str]:
            number = int(v.get("version", 0)) or self.member.state.active
            text = self.member.state.text(number)
            return (True, text) if text is not None else (False, f"version {number} is not kept")

        self.member.after_read(tell, look)

    def _ask_diff(self, tell: Callable[[bool, str], None], v: dict[str, str | int]) -> None:
        def look() -> tuple[bool, str]:
            texts = [self.member.state.text(int(v[side])) for side in ("a", "b")]
            if None in texts:
                return False, "one of the versions is not kept"
            a, b = (str(t).splitlines() for t in texts)
            return True, "\n".join(difflib.unified_diff(a, b, f"version {v['a']}", f"version {v['b']}", lineterm=""))

        self.member.after_read(tell, look)

    def _ask_history(self, tell: Callable[[bool, str], None], v: dict[str, str | int]) -> None:
        def look() -> tuple[bool, str]:
            lines, state = [], self.member.state
            for number, version in state.versions.items():
                what = "active" if number == state.active else "pending" if number == state.pending else ""
                what = f"refused: {version.refused}" if version.refused else what
                lines.append(f"{number}  {version.author or '-'}  {version.note or '-'}  {what}".rstrip())
            return True, "\n".join(lines) or "no version yet"

        self.member.after_read(tell, look)

    def _ask_members(self, tell: Callable[[bool, str], None], v: dict[str, str | int]) -> None:
        raft, what, name = self.member.node.raft, str(v.get("do", "list")), str(v.get("name", ""))
        now = raft.membership
        if what == "list":
            tell(True, f"voters {' '.join(now.voters)}\nlearners {' '.join(now.learners) or 'none'}")
            return
        if what == "add" and name not in self.member.config.member:
            tell(False, f"{name!r} has no member block here: expected one of {', '.join(self.member.config.member)}")
            return
        if what == "add" and name in now.learners:
            new = Membership(tuple(sorted({*now.voters, name})), tuple(n for n in now.learners if n != name))
        elif what == "add":
            new = Membership(now.voters, tuple(sorted({*now.learners, name})))
        elif what == "remove":
            new = Membership(tuple(n for n in now.voters if n != name), tuple(n for n in now.learners if n != name))
        else:
            tell(False, f"members {what!r}: expected list, add or remove")
            return
        if new == now:
            tell(True, "it is so already")
            return
        try:
            raft.change_membership(new)
        except RaftError as error:
            tell(False, str(error))
            return
        self.member.node.process_ready()
        tell(True, f"voters {' '.join(new.voters)}; learners {' '.join(new.learners) or 'none'}")

    def _ask_transfer(self, tell: Callable[[bool, str], None], v: dict[str, str | int]) -> None:
        try:
            self.member.node.raft.transfer_leadership(str(v["to"]))
        except RaftError as error:
            tell(False, str(error))
            return
        self.member.node.process_ready()
        tell(True, "under way")

    def _status_object(self) -> str:
        raft, state, now = self.member.node.raft, self.member.state, self.member.clock()
        held = self.member.leases.holding if self.member.leases is not None else {}
        return msgspec.json.encode(
            {
                "instance": self.member.name,
                "role": raft.role.value,
                "leader": raft.leader_id,
                "term": raft.current_term,
                "commit": raft.commit_index,
                "version": state.active,
                "pending": state.pending,
                "members": list(raft.membership.voters),
                "learners": list(raft.membership.learners),
                "heads": [
                    {
                        "id": n,
                        "version": row.version,
                        "lag_ms": round(now - held[n].answered_ms, 1) if n in held else None,
                    }
                    for n, row in sorted(state.heads.items())
                ],
            }
        ).decode()

    def _status(self) -> str:
        raft, state = self.member.node.raft, self.member.state
        lines = [
            f"{self.member.name}: {raft.role.value}, term {raft.current_term}, leader {raft.leader_id or 'none'}",
            f"log {raft.log.snapshot_index}..{raft.log.last_index}, committed {raft.commit_index}, "
            f"applied {raft.last_applied}",
            f"active {state.active}, pending {state.pending or 'none'}",
        ]
        lines += [f"head {row.name}: version {row.version}" for _, row in sorted(state.heads.items())]
        lines += [f"set aside for {v}: {r:g}/s, {b:g} at once" for v, (r, b) in state.aside.items() if r or b]
        if self.member.leases is not None:
            lines += [f"waits: {w}" for w in self.member.leases.waits_for(self.member.clock(), state)]
        return "\n".join(lines)
