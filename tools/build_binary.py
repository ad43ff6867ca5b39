"""Packs the package and its pinned libraries into dist/egretcart.

Pex collects the libraries from the installed environment and downloads
nothing. Its loose layout is zipped with tools/binary_main.py as entry point,
because the entry point of pex starts other processes. To run, the file needs
only the Python version that the environment was created with.
"""

import hashlib
import pathlib
import subprocess
import sys
import tempfile
import time
import zipfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
BINARY = ROOT / "dist" / "egretcart"
REQUIREMENTS = ROOT / "requirements" / "runtime.txt"
ENTRY_POINT = ROOT / "tools" / "binary_main.py"
SHEBANG = (
    f"#!/usr/bin/env python{sys.version_info.major}.{sys.version_info.minor}\n"
)
SOURCE_SUFFIXES = (".py", ".thrift")
DIGEST_FILE = "DIGEST"
ZIP_EPOCH = (1980, 1, 1, 0, 0, 0)
FILE_MODE = 0o644 << 16
EXECUTABLE_MODE = 0o755
MIB = 1024 * 1024

Files = dict[str, bytes]


def locked_requirements() -> list[str]:
    """Return the pinned runtime requirements, without hashes.

    Pip checks the hashes when it installs the environment.
    """
    lines = REQUIREMENTS.read_text().splitlines()
    return [
        line.split()[0] for line in lines if "==" in line and line[0].isalnum()
    ]


def library_files(folder: pathlib.Path) -> Files:
    """Return the files of the libraries, each library in a folder."""
    loose = folder / "loose"
    command = [
        sys.executable,
        "-m",
        "pex",
        *locked_requirements(),
        "--venv-repository",
        str(pathlib.Path(sys.prefix).resolve()),
        "--layout",
        "loose",
        "--output-file",
        str(loose),
    ]
    subprocess.run(command, check=True)
    deps = loose / ".deps"
    return {
        f"lib/{path.relative_to(deps)}": path.read_bytes()
        for path in sorted(deps.rglob("*"))
        if path.is_file() and "__pycache__" not in path.parts
    }


def package_files() -> Files:
    """Return the source files of the package."""
    return {
        f"lib/egretcart.dist/{path.relative_to(ROOT)}": path.read_bytes()
        for path in sorted((ROOT / "egretcart").rglob("*"))
        if path.suffix in SOURCE_SUFFIXES
    }


def digest_of(files: Files) -> str:
    """Return the SHA-256 digest of the names and contents of files."""
    digest = hashlib.sha256()
    for name, data in sorted(files.items()):
        digest.update(f"{name}\0{len(data)}\0".encode())
        digest.update(data)
    return digest.hexdigest()


def write_binary(files: Files) -> None:
    """Write the executable zip file."""
    BINARY.parent.mkdir(exist_ok=True)
    with BINARY.open("wb") as output:
        output.write(SHEBANG.encode())
        with zipfile.ZipFile(output, "w", zipfile.ZIP_DEFLATED) as archive:
            for name, data in sorted(files.items()):
                info = zipfile.ZipInfo(name, ZIP_EPOCH)
                info.external_attr = FILE_MODE
                info.compress_type = zipfile.ZIP_DEFLATED
                archive.writestr(info, data)
    BINARY.chmod(EXECUTABLE_MODE)


def main() -> int:
    """Build the binary; print its size and the build time."""
    began = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        files = library_files(pathlib.Path(folder)) | package_files()
    files["__main__.py"] = ENTRY_POINT.read_bytes()
    files[DIGEST_FILE] = digest_of(files).encode()
    write_binary(files)
    size = BINARY.stat().st_size / MIB
    elapsed_s = time.monotonic() - began
    name = BINARY.relative_to(ROOT)
    print(f"{name}: {size:.1f} MiB in {elapsed_s:.1f} s")
    return 0


if __name__ == "__main__":
    sys.exit(main())
