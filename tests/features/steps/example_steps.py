import json
import pathlib
import subprocess
import sys

from behave import given
from behave import then
from behave import when
import msgspec

from egretcart.load.profile import LoadProfile
from egretcart.process.settings import AgentSettings
from egretcart.process.settings import BackendStandInSettings
from egretcart.process.settings import EntrySettings
from egretcart.process.settings import load_settings
from egretcart.process.settings import PlatformStandInSettings
from egretcart.process.submit import Submission
from egretcart.request.identity import new_job_id
from egretcart.request.job import parse_job
from egretcart.version.document import Configuration

ROOT = pathlib.Path(__file__).resolve().parents[3]
sys.path.insert(0, str(ROOT / "tools"))

from deployment import Deployment  # noqa: E402

EXAMPLES = ROOT / "examples"
FAILURE_DOMAINS = {
    "snapcheck": {"kl-putra", "kl-cyber", "kl-bangsar"},
    "muffa-casa": {f"emilia-z{n}" for n in (1, 2, 3, 4)},
}
TYPE_BY_NAME = {
    "agents": AgentSettings,
    "backends": BackendStandInSettings,
    "configuration.json": Configuration,
    "entries": EntrySettings,
    "load.json": LoadProfile,
    "platform.json": PlatformStandInSettings,
    "submission.json": Submission,
}
COMMAND_TIMEOUT_S = 90


def load_example(path):
    kind = TYPE_BY_NAME[path.relative_to(EXAMPLES).parts[1]]
    return load_settings(path, kind).unwrap()


@then("every example file is accepted as the type that it is read as")
def check_files(context):
    files = sorted(EXAMPLES.glob("*/**/*.json"))
    assert files
    for path in files:
        loaded = load_example(path)
        if isinstance(loaded, Submission):
            parse_job(
                job_id=new_job_id(),
                service=loaded.service,
                body=bytes(loaded.job),
                max_tasks=2000,
            ).unwrap()


@then("the examples have 11 agents of 8 slots and 3 entries")
def check_sizes(context):
    for service, domains in FAILURE_DOMAINS.items():
        folder = EXAMPLES / service
        agents = [load_example(p) for p in (folder / "agents").iterdir()]
        entries = [load_example(p) for p in (folder / "entries").iterdir()]
        configuration = load_example(folder / "configuration.json")
        assert len(agents) == 11
        assert len(entries) == 3
        assert {(a.slots, a.connections) for a in agents} == {(8, 64)}
        assert {a.failure_domain for a in agents} == domains
        assert {a.service for a in agents} == {service}
        assert configuration.find_service(service)
        job = load_example(folder / "submission.json").job
        document = msgspec.json.decode(job)
        assert configuration.find_team(document["team"])
        assert configuration.find_urgency(document["urgency"])


@then("the check command accepts each example's files together")
def check_together(context):
    for service in FAILURE_DOMAINS:
        folder = EXAMPLES / service
        files = [
            folder / "configuration.json",
            *sorted((folder / "entries").iterdir()),
            *sorted((folder / "agents").iterdir()),
        ]
        subprocess.run(
            [sys.executable, "-m", "egretcart", "check", *files],
            cwd=ROOT,
            timeout=COMMAND_TIMEOUT_S,
            check=True,
        )


@given("the snapcheck example is started on loopback")
def start_example(context):
    context.example = Deployment(EXAMPLES / "snapcheck")
    context.add_cleanup(context.example.close)
    context.example.start_backends()
    context.example.start_system()


@when("its load profile is run")
def run_profile(context):
    path = context.example.work_path / "profile.json"
    path.write_text(json.dumps(context.example.profile))
    context.finished = subprocess.run(
        [sys.executable, "-m", "egretcart", "load", str(path), "--json"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=COMMAND_TIMEOUT_S,
        check=False,
    )


@then("all 1000 tasks are answered and none was started twice")
def check_load(context):
    assert context.finished.returncode == 0, context.finished.stderr
    report = json.loads(context.finished.stdout)
    assert report["tasks"] == 1000
    assert report["outcomes"] == {"complete": report["jobs"]}, report
    assert report["starts"] >= 1000
    assert report["repeated_starts"] == 0
    assert report["silent_processes"] == 0
