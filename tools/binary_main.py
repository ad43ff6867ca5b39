"""Entry point of dist/egretcart: unpacks the file once and runs the command.

The file is unpacked because libraries with native code can't be loaded from
within a zip file. The entry point of pex isn't used because it starts other
processes to look for interpreters; this one starts none.
"""

import os
import pathlib
import shutil
import sys
import tempfile
import zipfile

PRIVATE_MODE = 0o700
GROUP_AND_OTHER_BITS = 0o077
DIGEST_FILE = "DIGEST"


def cache_folder() -> pathlib.Path:
    """Return a cache folder that only this user can access."""
    cache_home = os.environ.get("XDG_CACHE_HOME")
    base = pathlib.Path(cache_home or os.path.expanduser("~/.cache"))
    folder = base / "egretcart"
    try:
        folder.mkdir(mode=PRIVATE_MODE, parents=True, exist_ok=True)
    except OSError:
        folder = pathlib.Path(tempfile.gettempdir())
        folder /= f"egretcart-{os.getuid()}"
        folder.mkdir(mode=PRIVATE_MODE, exist_ok=True)
    status = folder.stat()
    if status.st_uid != os.getuid() or status.st_mode & GROUP_AND_OTHER_BITS:
        raise SystemExit(
            f"{folder} is not private to this user; set XDG_CACHE_HOME"
        )
    return folder


def unpack(binary: str) -> pathlib.Path:
    """Return the folder with the unpacked files of this binary."""
    with zipfile.ZipFile(binary) as archive:
        digest = archive.read(DIGEST_FILE).decode()
        cache = cache_folder()
        target = cache / digest
        if target.exists():
            return target
        unpacked = tempfile.mkdtemp(dir=cache)
        archive.extractall(unpacked)
    try:
        os.rename(unpacked, target)
    except OSError:
        # Another process has unpacked the same files meanwhile.
        shutil.rmtree(unpacked)
    return target


def main() -> int:
    """Run the command line with the packed libraries.

    Installed site packages are taken off the path.
    """
    root = unpack(sys.argv[0])
    libraries = [str(path) for path in sorted((root / "lib").iterdir())]
    site = [path for path in sys.path if "site-packages" in path]
    sys.path = [
        *libraries,
        *(path for path in sys.path[1:] if path not in site),
    ]
    from egretcart.process.cli import main as run_command

    return run_command()


if __name__ == "__main__":
    sys.exit(main())
