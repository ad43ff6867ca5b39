"""Imports trio without starting a child process.

The package imports this module before all others. On its first import,
trio looks up libpthread, to name its threads, with
``ctypes.util.find_library``, which runs ldconfig. A process of egretcart
starts no other process and no threads, so the lookup is replaced during
that import by one that finds nothing.
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
