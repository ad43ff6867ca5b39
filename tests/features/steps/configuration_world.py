"""Deployments that are configured by commands, and proposed changes."""

from concurrent.futures import ThreadPoolExecutor
import json
import pathlib
import random
import subprocess
import sys

from platform_world import HOST
from processes import Deployment
from processes import eventually
from processes import request
from processes import ROOT
import trio

from egretcart.version.change import ProposedChange
from egretcart.version.document import Configuration
from egretcart.version.document import Service

COMMAND_LIMIT_S = 60


class ConfiguredDeployment(Deployment):
    """A deployment whose platform keeps its data in a file.

    It runs the operators' commands.
    """

    def start(self, name, role, settings):
        if name == "platform":
            kept = pathlib.Path(self.folder.name) / "platform-data.json"
            settings = {**settings, "file": str(kept)}
        return super().start(name, role, settings)

    def restart_platform(self):
        port = self.platform.ready["port"]
        address = {"host": HOST, "port": port}
        self.platform = self.start(
            "platform", ["standin", "platform"], {"listen": address}
        )

    def command(self, *arguments, entry=None):
        """Return exit code and output of a command."""
        where = ["--platform", f"{HOST}:{self.platform.ready['port']}"]
        if entry is not None:
            where = ["--entry", f"{HOST}:{entry.ready['http_port']}"]
        done = subprocess.run(
            [sys.executable, "-m", "egretcart", *arguments, *where],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=COMMAND_LIMIT_S,
            check=False,
        )
        return done.returncode, done.stdout + done.stderr

    def write_file(self, **changes):
        """Write the active document, with changes, to a file.

        Return the file's path.
        """
        entry = self.entries[0].ready["http_port"]
        current = request(entry, "GET", "/v1/configuration")[2]
        path = pathlib.Path(self.folder.name) / "configuration.json"
        path.write_text(json.dumps({**current["document"], **changes}))
        return str(path)

    def apply_file(self, *options, entry=None, **changes):
        path = self.write_file(**changes)
        options = ("--reason", "test", "--yes", *options)
        return self.command("apply", path, *options, entry=entry)

    def versions(self):
        """Return the version of every live process."""
        found = {}
        for entry in self.entries:
            if entry.process.poll() is not None:
                continue
            port = entry.ready["http_port"]
            report = request(port, "GET", "/v1/processes")[2]
            found[entry.name] = report["entry"]["config_version"]
            for agent in report["agents"]:
                if agent["is_led"]:
                    found[agent["agent_id"]] = agent["config_version"]
        return found

    def wait_for_version(self, version):
        processes = len(self.entries) + len(self.agents)

        def reached():
            found = self.versions()
            return len(found) == processes and set(found.values()) == {version}

        eventually(reached)


def proposed(number, base):
    """Return a change that sets `max_tasks_per_job` to its number."""
    return ProposedChange(
        change_id=f"change-{number}",
        base=base,
        document=Configuration(
            services=(Service(name="snapcheck"),), max_tasks_per_job=number
        ),
        who="x",
        why="y",
        when="z",
    )


async def lose_answers(standin):
    """Make the stand-in drop the answer to about every tenth transaction."""
    source = random.Random(1)
    while True:
        await trio.sleep(0.01)
        standin.faults.lost_replies = int(source.random() < 0.1)


def answer_through_every_entry(deployment, tasks=24):
    """Submit a job through each entry at once; all must be answered."""
    payloads = [{"payload": {"run_ms": 20, "echo": n}} for n in range(tasks)]
    with ThreadPoolExecutor() as pool:
        answers = list(
            pool.map(
                lambda entry: deployment.submit(entry, payloads),
                deployment.entries,
            )
        )
    for status, answer in answers:
        assert status == 200, answer
