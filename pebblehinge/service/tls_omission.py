"""Keeps OpenSSL out of the process: the gateway speaks plain TCP, and asyncio and uvloop import `ssl` all the same.

The library takes 4.5 MB, an eighth of the least memory limit. In its place they find a module with the names that they
look up at their import; none of them does anything.
"""

from __future__ import annotations

import sys
import types

ERROR_NAMES = ("SSLWantReadError", "SSLWantWriteError", "SSLSyscallError", "SSLZeroReturnError", "CertificateError")
ERROR_NUMBERS = {"SSL_ERROR_WANT_READ": 2, "SSL_ERROR_WANT_WRITE": 3, "SSL_ERROR_SYSCALL": 5}


class TlsUnavailableError(OSError):
    """TLS was asked for, which this process does not have."""


def _refuse(*arguments: object, **options: object) -> None:
    raise TlsUnavailableError("this process has no TLS")


def omit_tls() -> None:
    """Registers the substitute for `ssl`; must be called before asyncio is imported, and does nothing after that."""
    if "ssl" in sys.modules:
        return
    module = types.ModuleType("ssl", "A substitute without TLS.")
    names: dict[str, object] = {name: type(name, (TlsUnavailableError,), {}) for name in ERROR_NAMES}
    names |= ERROR_NUMBERS
    names |= {"SSLError": TlsUnavailableError, "create_default_context": _refuse}
    names |= {name: type(name, (), {"__init__": _refuse}) for name in ("SSLContext", "MemoryBIO", "SSLObject")}
    for name, value in names.items():
        setattr(module, name, value)
    sys.modules["ssl"] = module
