"""Imports trio without starting a process; imported before all else.

When it is first imported, trio looks for libpthread to name its threads,
and ``ctypes.util.find_library`` runs ldconfig for that. A process of
egretcart starts no other process and no threads.
"""

import ctypes.util
import sys

if "trio" not in sys.modules:
    find_library = ctypes.util.find_library
    ctypes.util.find_library = lambda name: None
    try:
        import trio  # noqa: F401
    finally:
        ctypes.util.find_library = find_library
