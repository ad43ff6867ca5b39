"""Installs the libraries of the platform's roles, for this kind of machine.

They are put under target/deps, together with what they were built for: a
folder of another kind of machine, Python or list of requirements, or of a
build that was cut short, is replaced. The build fails if the roles can't be
imported with them.
"""

from collections.abc import Iterator
import compileall
import contextlib
import fcntl
import hashlib
import os
import pathlib
import shutil
import subprocess
import sys
import sysconfig

ROOT = pathlib.Path(__file__).resolve().parent.parent
REQUIREMENTS = ROOT / "requirements" / "runtime.txt"
SOURCES = (ROOT / "egretcart", ROOT / "platform")
LIBRARIES = ROOT / "target" / "deps"
UNFINISHED = ROOT / "target" / "deps.unfinished"
FORMER = ROOT / "target" / "deps.former"
LOCK = ROOT / "target" / "deps.lock"
# Names what the libraries in the same folder were built for.
BUILT_FOR = "built-for.txt"
# The last one is imported on demand.
IMPORT_ROLES = (
    "import adapter.main, adapter.entry_role, adapter.agent_role,"
    " egretcart.direct.process.metered_log"
)


def build_target() -> str:
    """Return what the libraries depend on: requirements, Python, machine."""
    digest = hashlib.sha256(REQUIREMENTS.read_bytes()).hexdigest()
    abi = sysconfig.get_config_var("SOABI")
    return f"{digest} {abi} {sysconfig.get_platform()}\n"


def is_built(target: str) -> bool:
    """Return whether the folder has all libraries of a finished build."""
    try:
        if (LIBRARIES / BUILT_FOR).read_bytes() != target.encode():
            return False
    except OSError:
        return False
    return imports_roles(LIBRARIES, error_output=subprocess.DEVNULL)


def install(target: str) -> None:
    """Install the libraries beside their folder, then replace it."""
    remove(UNFINISHED)
    command = ["install", "--quiet", "--no-input", "--require-hashes"]
    subprocess.run(
        [
            *(sys.executable, "-m", "pip", *command),
            *("--target", UNFINISHED, "--requirement", REQUIREMENTS),
        ],
        check=True,
    )
    compileall.compile_dir(UNFINISHED, quiet=2)
    if not imports_roles(UNFINISHED):
        raise ImportError("the roles can't be imported with the libraries")
    (UNFINISHED / BUILT_FOR).write_text(target)
    remove(FORMER)
    with contextlib.suppress(FileNotFoundError):
        LIBRARIES.rename(FORMER)
    UNFINISHED.rename(LIBRARIES)
    remove(FORMER)


def remove(path: pathlib.Path) -> None:
    """Remove a folder, a link or a file, if there is one."""
    if path.is_symlink() or path.is_file():
        path.unlink()
    elif path.exists():
        shutil.rmtree(path)


def imports_roles(
    libraries: pathlib.Path, *, error_output: int | None = None
) -> bool:
    """Return whether a fresh interpreter imports the roles.

    It has no site-packages, as the roles' interpreters.
    """
    path = (libraries, ROOT / "platform", ROOT)
    completed = subprocess.run(
        [sys.executable, "-S", "-c", IMPORT_ROLES],
        env={**os.environ, "PYTHONPATH": os.pathsep.join(map(str, path))},
        stderr=error_output,
        check=False,
    )
    return completed.returncode == 0


@contextlib.contextmanager
def only_build() -> Iterator[None]:
    """Wait for other builds in this folder, and let others wait."""
    LOCK.parent.mkdir(exist_ok=True)
    with LOCK.open("w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield


def main() -> int:
    """Build what is missing; return the exit status."""
    target = build_target()
    try:
        with only_build():
            if not is_built(target):
                install(target)
    except (ImportError, OSError, subprocess.CalledProcessError) as error:
        print(f"the build failed: {error}", file=sys.stderr)
        return 1
    for folder in SOURCES:
        compileall.compile_dir(folder, quiet=1)
    return 0


if __name__ == "__main__":
    sys.exit(main())
