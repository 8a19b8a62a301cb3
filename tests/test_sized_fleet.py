"""Laboratory and console at the coming size: addresses of 2,048 shelfs, and looks that tell of them all."""

from __future__ import annotations

from pebblehinge.lab.faults.ground import RELEASES, names_of
from pebblehinge.lab.fleet import release_address, released
from pebblehinge.settings.load import loads

SHELFS = 2048
FILE = f"""\
profile look {{
    importance 1
    expected 400ms
    patience 2s
    repeat redoable
}}
kind plain {{
}}
fleet {{
    heads 1024
    shelfs {SHELFS}
}}
"""


def test_no_release_of_a_shelf_has_the_address_of_another() -> None:
    """Before, s1's first release stood where s1001 did, so a fleet of over 1,000 shelfs could not be released."""
    config = loads(FILE)
    names = names_of(config)
    assert len(names) == 1 + 1024 + SHELFS * RELEASES
    assert all(names[shelf.listen] == name for name, shelf in config.shelf.items())
    ports = [int(address.rpartition(":")[2]) for address in names]
    assert max(ports) < 32_768  # below those that the kernel gives to connections
    new = released(config, "s1", 2)
    assert names[config.shelf[new].listen] == "s1"
    assert release_address(config, "127.0.0.1:10001", 0) == "127.0.0.1:10001"


def test_a_small_fleet_s_addresses_are_as_they_were() -> None:
    config = loads(FILE.replace(str(SHELFS), "30"))
    assert release_address(config, config.shelf["s7"].listen, 3) == "127.0.0.1:13007"
