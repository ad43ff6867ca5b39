"""Installs the libraries of the platform's roles, for this kind of machine.

They are put under target/deps, together with what they were built for: a
folder of another kind of machine, Python or list of requirements, or of a
build that was cut short, is replaced. The build fails if the roles can't be
imported with them.
"""

import compileall
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
# Names what the libraries in the same folder were built for.
BUILT_FOR = "built-for.txt"
IMPORT_ROLES = "import adapter.main, adapter.entry_role, adapter.agent_role"


def build_target() -> str:
    """Return what the libraries depend on: requirements, Python, machine."""
    digest = hashlib.sha256(REQUIREMENTS.read_bytes()).hexdigest()
    abi = sysconfig.get_config_var("SOABI")
    return f"{digest} {abi} {sysconfig.get_platform()}\n"


def is_built(target: str) -> bool:
    """Return whether the folder has all libraries of a finished build."""
    try:
        if (LIBRARIES / BUILT_FOR).read_text() != target:
            return False
        check_imports(LIBRARIES)
    except (FileNotFoundError, subprocess.CalledProcessError):
        return False
    return True


def install(target: str) -> None:
    """Install the libraries beside their folder, then replace it."""
    shutil.rmtree(UNFINISHED, ignore_errors=True)
    command = ["install", "--quiet", "--no-input", "--require-hashes"]
    subprocess.run(
        [
            *(sys.executable, "-m", "pip", *command),
            *("--target", UNFINISHED, "--requirement", REQUIREMENTS),
        ],
        check=True,
    )
    compileall.compile_dir(UNFINISHED, quiet=2)
    check_imports(UNFINISHED)
    (UNFINISHED / BUILT_FOR).write_text(target)
    shutil.rmtree(LIBRARIES, ignore_errors=True)
    UNFINISHED.rename(LIBRARIES)


def check_imports(libraries: pathlib.Path) -> None:
    """Import the roles in a fresh interpreter, without site-packages."""
    path = (libraries, ROOT / "platform", ROOT)
    subprocess.run(
        [sys.executable, "-S", "-c", IMPORT_ROLES],
        env={**os.environ, "PYTHONPATH": os.pathsep.join(map(str, path))},
        check=True,
    )


def main() -> int:
    """Build what is missing; return the exit status."""
    target = build_target()
    try:
        if not is_built(target):
            install(target)
    except subprocess.CalledProcessError as error:
        words = " ".join(map(str, error.cmd))
        print(f"the build failed: {words}", file=sys.stderr)
        return 1
    for folder in SOURCES:
        compileall.compile_dir(folder, quiet=1)
    return 0


if __name__ == "__main__":
    sys.exit(main())
