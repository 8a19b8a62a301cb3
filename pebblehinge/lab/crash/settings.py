"""Settings of the crash rounds: one gateway that buffers writes, three storage nodes."""

from __future__ import annotations

SETTINGS = """
rules {
    cold-share 40%
    warm 1s
    fall-multiple 8x
    mean-units 2
    most-units 6
    stay-away-max 100ms
}
log {
    level error
}
buffer {
    most 4MiB
    delay 15ms
    segment 24KiB
    out 12
    patience 1500ms
    stop 20s
}
profile save {
    importance 2
    expected 400ms
    patience 3s
    late-share 10%
    repeat irreversible
}
profile look {
    importance 1
    expected 400ms
    patience 3s
    late-share 10%
    repeat redoable
}
profile bring {
    importance 1
    expected 400ms
    patience 3s
    late-share 10%
    repeat labelled
    group all
    window 30s
}
plan p {
    rate 400/s
    reserve 400/s
}
volume bids {
    plan p
    slots 0 1 2
    save buffered
    back bring
}
kind k {
    cores 4
    unit-work 3ms
    noise 20%
    flush 10m
    cold 1s
    cold-from 50%
    queue 200
}
fleet {
    heads 1
    shelfs 3
    kinds k
}
"""
