"""Caps of what heads share: settings, the group, the wire, the node list. Used by `caps.py`."""

from __future__ import annotations

from caps_points import ENOUGH, NAMED, RAISED, Cap, constant, default, inline
from caps_sizes import (
    COMING_HEADS,
    HEADS,
    LONGEST_NAME,
    SHELFS,
    VERSIONS_A_DAY,
    VOLUMES,
    grant_bytes,
    list_bytes,
    longest_line,
    version_text,
)

from pebblehinge.daemon.files import files_of
from pebblehinge.settings.schema import GroupBlock, LimitsBlock

LINES, LOAD, SCHEMA, UNITS = (f"pebblehinge/settings/{n}.py" for n in ("lines", "load", "schema", "units"))
LEADER, PROGRESS, READ_INDEX, RECORDS, REPLICATION, STORAGE, TRANSPORT = (
    f"pebblehinge/raft/{n}.py"
    for n in ("leader", "progress", "read_index", "records", "replication", "storage", "transport")
)
SERVER, STATE, ASKING, ASK, FEED, LEASES, RENEWALS, PROPOSALS = (
    f"pebblehinge/agreed/{n}.py"
    for n in ("server", "state", "asking", "ask", "feed", "leases", "renewals", "proposals")
)
LISTING, FILES = "pebblehinge/listing/server.py", "pebblehinge/daemon/files.py"
OPENED = "none until they are open"
BOUNDS = "pebblehinge/agreed/bounds.py"
TEXT, BIGGEST = version_text(), constant("pebblehinge.agreed.bounds", "TEXT")
KEPT = constant("pebblehinge.agreed.state", "VERSIONS")

SETTINGS_CAPS = [
    Cap("characters of a line of settings", LINES, "LONGEST = ", constant("pebblehinge.settings.lines", "LONGEST"),
        "characters", "a directive with its values, `through` the longest of them", longest_line(),
        f"`through` with {HEADS} names of {LONGEST_NAME} characters", "the file or version is refused with line and "
        "length", RAISED, "0.95 MB while such a line is read, 0.17 MB held (tracemalloc)"),
    Cap("blocks within blocks, includes within includes", LINES, "DEEPEST = ",
        constant("pebblehinge.settings.lines", "DEEPEST"), "deep", "open blocks, files that include files", 4,
        "a version has no includes and blocks two deep", "refused with its place", ENOUGH),
    Cap("volumes in one `volumes` block", LOAD, "if not 1 <= count <=", inline(LOAD, r"1 <= count <= ([0-9_]+)"),
        "volumes", "`volumes PREFIX COUNT`", VOLUMES, "the issue's volumes", "refused with its place", ENOUGH),
    Cap("count", UNITS, "Count = Annotated", inline(UNITS, r"Count = .*le=([0-9_]+)"), "", "heads of a volume, a "
        "fleet's heads and shelfs, most counts", SHELFS, "shelfs of a fleet block", "refused with its place", ENOUGH),
    Cap("characters of a name", UNITS, "Name = Annotated", inline(UNITS, r"\{0,(\d+)\}\$"), "more than one",
        "names of heads, shelfs, volumes", None, "", "refused with its place", NAMED),
    Cap("ports of a fleet block's heads", LOAD, "PORTS = ", lambda: _ports("rsync") - _ports("head"), "heads",
        "heads before their ports meet those for rsync", HEADS, "a laboratory's fleet", "two processes want one "
        "address: the second does not start", ENOUGH),
    Cap("ports of a fleet block's rsync", LOAD, "PORTS = ", lambda: _ports("shelf") - _ports("rsync"), "heads",
        "heads with rsync before those ports meet shelfs'", HEADS, "a laboratory's fleet", "as above", ENOUGH),
    Cap("bytes of a version's text", BOUNDS, "TEXT = ", constant("pebblehinge.agreed.bounds", "TEXT"), "bytes",
        "a proposal; there was no bound of its own, and one over a frame left the operator with *no instance can be "
        "reached* after 10 s", 2 * TEXT, f"{TEXT:,} for {HEADS} heads, {SHELFS} shelfs, {VOLUMES} volumes, twice; with "
        f"200 volumes that name all heads {version_text(named=200):,}", "refused at propose with both sizes", ENOUGH,
        "two in a head, those kept and 16 that are read in an instance"),
]  # fmt: skip
GROUP_CAPS = [
    Cap("bytes of a frame of the group", BOUNDS, "FRAME = ", constant("pebblehinge.agreed.bounds", "FRAME"), "bytes",
        "every frame between instances, heads and operators; `limits frame`, 1 MiB, before", grant_bytes(BIGGEST()),
        f"a GRANT with two of the largest texts and {VOLUMES} volumes set aside", "the reader cuts the connection with "
        "a line that names the size; no text that was let in comes to that", RAISED, "of a connection, only while a "
        "frame is not whole: 1 to 2 MB at size where both texts come, at worst 8 MiB each"),
    Cap("bytes of a frame", SCHEMA, "frame: Size = ", default(LimitsBlock, "frame"), "bytes", "frames of clients, "
        "shelfs and the list", 65536 + 1024, "an access of 64 KiB", "the connection is cut with a line that names the "
        "size", ENOUGH, "of a connection, only while a frame is not whole"),
    Cap("questions that wait", ASKING, "MOST_ASKED = ", constant("pebblehinge.agreed.asking", "MOST_ASKED"),
        "questions", "proposals and reads of operators that wait; all renewals of heads are one read among them", 8,
        "some operators at once", "operators are told *too much is asked at once*, exit 1", ENOUGH),
    Cap("reads that wait", READ_INDEX, "MAX_PENDING_READS = ",
        constant("pebblehinge.raft.read_index", "MAX_PENDING_READS"), "reads",
        "reads that wait for a round of the majority; 256, one for each renewal, before rounds were shared", HEADS + 64,
        "more than a renewal of each head and some operators' looks", "the read is refused", RAISED, "36 bytes each"),
    Cap("renewals that wait", RENEWALS, "MOST_RENEWALS = ", constant("pebblehinge.agreed.renewals", "MOST_RENEWALS"),
        "renewals", "of heads that wait for their round, or for their acknowledgement in the log", HEADS + 64,
        "a renewal of each head: all renew after NEWS", "the head keeps its connection and comes back after a spread "
        "pause", ENOUGH, "about 500 bytes each, 2 MB"),
    Cap("proposals that wait", LEADER, "MAX_UNCOMMITTED_ENTRIES = ",
        constant("pebblehinge.raft.leader", "MAX_UNCOMMITTED_ENTRIES"),
        "entries", "entries of the log that are not committed", 64, "a command a tick holds what all heads "
        "acknowledge; some of operators", "refused; an acknowledgement comes again with the next tick", ENOUGH),
    Cap("messages to one instance", TRANSPORT, "MAX_QUEUED_MESSAGES = ",
        constant("pebblehinge.raft.transport", "MAX_QUEUED_MESSAGES"),
        "messages", "what waits for an instance that does not take it", 64,
        "appends under way, heartbeats, one round at a time for all renewals",
        "the oldest are dropped, unsaid; Raft sends again after a heartbeat", ENOUGH),
    Cap("appends under way", PROGRESS, "MAX_INFLIGHT_APPENDS = ",
        constant("pebblehinge.raft.progress", "MAX_INFLIGHT_APPENDS"), "messages",
        "appends to one follower with no answer", None, "at 40 ms there and back 16 give 400 a second", "later entries "
        "go together in the next", NAMED),
    Cap("bytes of entries in a message", REPLICATION, "MAX_APPEND_BYTES = ",
        constant("pebblehinge.raft.replication", "MAX_APPEND_BYTES"),
        "bytes", "entries in one append", 1024 * 128, f"acknowledgements of {HEADS} heads",
        "the rest goes in the next; one "
        "entry always goes", ENOUGH),
    Cap("bytes of a snapshot's piece", REPLICATION, "SNAPSHOT_CHUNK_BYTES = ",
        constant("pebblehinge.raft.replication", "SNAPSHOT_CHUNK_BYTES"), "bytes",
        "a snapshot goes piece by piece, one under way", None, "200 versions at size are "
        f"{200 * TEXT / 1e6:.0f} MB: {200 * TEXT / 65536 * 0.04:.0f} s at 40 ms a piece (reckoned)", "an instance that "
        "comes back across regions is behind for so long", NAMED),
    Cap("bytes of a log's segment", STORAGE, "SEGMENT_BYTES = ",
        constant("pebblehinge.raft.storage", "SEGMENT_BYTES"), "bytes",
        "one file of the log", None, "four versions at size", "the next file begins", NAMED),
    Cap("bytes of a record", RECORDS, "MAX_RECORD_BYTES = ",
        constant("pebblehinge.raft.records", "MAX_RECORD_BYTES"), "bytes",
        "one entry, read back; not a snapshot", 3 << 20, "a version's text three times over", "the instance calls it "
        "damage and does not start", ENOUGH),
    Cap("entries before a snapshot", SCHEMA, "compact: Count = ", default(GroupBlock, "compact"), "entries",
        "the log's length in memory and on disk", 64, "a burst of ten versions: six entries each at the most, once "
        "acknowledgements go together", "a snapshot of all versions kept, "
        f"{200 * TEXT / 1e6:.0f} MB at size, its write and fsync in the loop", ENOUGH),
    Cap("versions kept", STATE, "VERSIONS = ", KEPT, "versions", "the history that `show`, `diff`, `rollback` reach",
        None, f"{VERSIONS_A_DAY} a day: 200 are six hours", "the oldest that nobody acts on goes", NAMED,
        f"{200 * TEXT / 1e6:.0f} MB of text at size in each instance, and as much in each snapshot (reckoned)"),
    Cap("sessions kept", STATE, "SESSIONS = ", constant("pebblehinge.agreed.state", "SESSIONS"), "sessions",
        "proposals that are known when they come again", VERSIONS_A_DAY, "a day's proposals, a session each",
        "the one used longest ago is forgotten: a repeat of it is refused by its base", ENOUGH,
        "about 200 bytes each, 0.2 MB"),
    Cap("versions read by a leader", LEASES, "for old in sorted(self.configs)", inline(LEASES, r"\[:-(\d+)\]"),
        "versions", "what heads that are behind act on", 2, "the active and the pending one; more where heads are cut "
        "off", "an older one is read again", ENOUGH, "see the run of the settings' memory"),
    Cap("backlog of an instance", SERVER, "BACKLOG = ", constant("pebblehinge.agreed.server", "BACKLOG"), "connections",
        "connections not yet accepted: heads after a leader's loss; 256 before", HEADS + 64, "all heads at once", "the "
        "kernel drops the rest; they try again after 1 s, then 3 s", RAISED, "none until they are open"),
    Cap("versions that wait for the pending one", PROPOSALS, "MOST_QUEUED = ",
        constant("pebblehinge.agreed.proposals", "MOST_QUEUED"), "versions", "proposals that come while a version is "
        "pending; they were refused before", 10, "a burst of ten", "refused: so many wait already", ENOUGH,
        "a text of 3 MiB each at most"),
    Cap("time to connect to an instance", FEED, "asyncio.timeout(", inline(FEED, r"asyncio\.timeout\(([0-9.]+)\)"), "s",
        "a head's try at an instance", None, "one try of the kernel after a drop comes at 1 s: just too late", "the "
        "head tries the next instance", NAMED),
    Cap("lease", SCHEMA, "lease: Ms = ", default(GroupBlock, "lease"), "ms", "how long a head acts without word", None,
        f"{COMING_HEADS} heads ask every half second: {2 * COMING_HEADS} renewals a second", "the floor", NAMED),
]  # fmt: skip
LIST_CAPS = [
    Cap("bytes of a whole list", SCHEMA, "frame: Size = ", default(LimitsBlock, "frame"), "bytes",
        "a LIST of all shelfs", list_bytes(), f"{SHELFS} shelfs, names of {LONGEST_NAME}, addresses of 60 characters",
        "the head cuts the "
        "connection to the list, comes again, is cut again", ENOUGH,
        f"{list_bytes(1500, 10, 20):,} bytes for 1,500 shelfs; for each head that does not read yet"),
    Cap("backlog of the list", LISTING, "BACKLOG = ", constant("pebblehinge.listing.server", "BACKLOG"), "connections",
        "heads and shelfs after its restart", HEADS + SHELFS, "all of them within 0.2 to 0.6 s; the kernel takes the "
        "smaller of this and net.core.somaxconn", "the kernel drops the rest; they try again after 1 s, then 3 s",
        RAISED, "about 1 KB each in the kernel, only while it waits (reckoned)"),
    Cap("open files of the list", FILES, 'role == "head"', lambda: files_of("listing"), "files", "connections to the "
        "list", HEADS + SHELFS + 64, "all heads and shelfs", "a warning at the start where the hard limit is lower; "
        "what comes then is closed at once, and comes again and again", RAISED, OPENED),
    Cap("open files of a shelf", "pebblehinge/cli/stand_ins.py", 'files_of("shelf"', lambda: files_of("shelf"),
        "files", "connections of heads", HEADS + 64, "all heads", "as above", RAISED, OPENED),
    Cap("open files of an instance", "pebblehinge/cli/group.py", 'files_of("group"', lambda: files_of("group"),
        "files", "connections of heads, instances, operators", HEADS + 64, "all heads", "as above", RAISED, OPENED),
    Cap("calls to the list that wait", "pebblehinge/head/listing.py", "del self.calls[",
        inline("pebblehinge/head/listing.py", r"self\.calls\[:-(\d+)\]"), "calls",
        "what the module asks while no list is there", 1, "one would do", "the oldest goes", ENOUGH),
    Cap("bytes of a greeting", "pebblehinge/wire/session.py", "GREETING_LIMIT = ",
        constant("pebblehinge.wire.session", "GREETING_LIMIT"), "bytes", "HELLO, names of at most 200 characters", 900,
        "200 characters of four bytes", "cut, with why", ENOUGH),
]  # fmt: skip
SHARED = SETTINGS_CAPS + GROUP_CAPS + LIST_CAPS


def _ports(role: str) -> int:
    return constant("pebblehinge.settings.load", "PORTS")()[role]
