import json
import pathlib
import subprocess
import sys
import tempfile

from behave import given as given_step
from behave import then
from behave import when
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import msgspec
from processes import HOST
from processes import ROOT
from processes import RunningProcess
import trio
import trio.testing

from egretcart.connection.caller import Caller
from egretcart.connection.caller import CallerAnswer
from egretcart.connection.http_server import HttpConnection
from egretcart.connection.http_server import HttpLimits
from egretcart.connection.http_server import HttpRequest
from egretcart.connection.http_server import HttpResponse
from egretcart.load.ideal import ideal_response_s
from egretcart.load.profile import KindProfile
from egretcart.load.profile import LoadProfile
from egretcart.load.profile import ServerGroup
from egretcart.load.report import job_ratios
from egretcart.load.runner import is_correct_answer
from egretcart.load.runner import JobRun
from egretcart.load.workload import plan_jobs
from egretcart.process.settings import Address
from egretcart.request.identity import new_job_id
from egretcart.testing.backend import BackendBehaviour
from egretcart.testing.backend import BackendStandIn

COMMAND_TIMEOUT_S = 90


@then("the ideal response time of any job lies between its bounds")
def check_ideal(context):
    groups = st.builds(
        ServerGroup,
        count=st.integers(1, 3),
        slots=st.integers(1, 4),
        speed=st.floats(0.25, 4),
    )

    @settings(max_examples=200)
    @given(
        st.lists(st.floats(1, 1000), min_size=1, max_size=30),
        st.lists(groups, min_size=1, max_size=3),
    )
    def holds(run_ms, servers):
        ideal_ms = 1000 * ideal_response_s(run_ms, servers, round_trip_ms=1)
        capacity = sum(g.count * g.slots * g.speed for g in servers)
        fastest = max(g.speed for g in servers)
        least = max(sum(run_ms) / capacity, max(run_ms) / fastest)
        assert ideal_ms >= 1 + least * 0.999999
        assert ideal_ms <= 1 + sum(run_ms) / fastest * 1.000001

    holds()


def new_profile(**changes):
    fields = {
        "service": "snapcheck",
        "entries": (Address(host=HOST, port=1),),
        "kinds": (KindProfile(name="pixel-diff", run_ms=20),),
        "servers": (ServerGroup(count=3),),
        "duration_s": 1.0,
    }
    return LoadProfile(**(fields | changes))


@then("the same seed plans the same jobs and another seed others")
def check_seed(context):
    assert plan_jobs(new_profile()) == plan_jobs(new_profile())
    assert plan_jobs(new_profile()) != plan_jobs(new_profile(seed=2))


@then("any plan contains the requested work or number of tasks")
def check_work(context):
    @settings(max_examples=50)
    @given(st.integers(0, 99), st.floats(0.1, 2), st.integers(1, 200))
    def holds(seed, load, tasks):
        profile = new_profile(seed=seed, load=load)
        jobs = plan_jobs(profile)
        work_s = sum(job.work_s for job in jobs)
        wanted_s = load * profile.capacity * profile.duration_s
        largest_s = max(job.work_s for job in jobs)
        assert wanted_s <= work_s <= wanted_s + largest_s
        jobs = plan_jobs(new_profile(seed=seed, tasks=tasks))
        assert sum(len(job.run_ms) for job in jobs) == tasks

    holds()


@then("jobs that are submitted in the warm-up are excluded from all ratios")
def check_warm_up(context):
    profile = LoadProfile(
        service="service",
        entries=(Address(host=HOST, port=1),),
        kinds=(KindProfile(name="kind", run_ms=100.0),),
        servers=(ServerGroup(count=2),),
        min_job_tasks=10,
        warm_up_s=0.4,
        duration_s=1.0,
    )
    runs = [
        JobRun(
            planned_job=planned_job,
            submitted_at_s=planned_job.at_s,
            answered_at_s=planned_job.at_s + 1.0,
        )
        for planned_job in plan_jobs(profile)
    ]
    late = sum(run.submitted_at_s >= 0.4 for run in runs)
    assert 0 < late < len(runs)
    all_jobs, large, after = job_ratios(runs, profile)
    assert all_jobs.count == large.count == late
    assert after.count == 0


@then("a plan with too many tasks is refused")
def check_bound(context):
    refusal = ""
    try:
        plan_jobs(new_profile(load=10, max_tasks=100))
    except ValueError as error:
        refusal = str(error)
    assert "at most 100 are accepted" in refusal


@then("an answer with missing, reordered or another job's results is wrong")
def check_wrong_answers(context):
    planned_job = plan_jobs(new_profile(min_job_tasks=2))[0]
    run = JobRun(planned_job=planned_job)
    correct_results = [
        {"echo": f"{planned_job.number}/{n}"}
        for n in range(len(planned_job.run_ms))
    ]
    other_job_results = [
        {"echo": f"{planned_job.number + 1}/{n}"}
        for n in range(len(correct_results))
    ]

    def is_correct(results):
        body = msgspec.json.encode({"results": results})
        return is_correct_answer(
            run, CallerAnswer(status=200, body=body, submissions=1)
        )

    assert is_correct(correct_results)
    assert not is_correct(correct_results[:-1])
    assert not is_correct(correct_results[::-1])
    assert not is_correct(other_job_results)


async def submit_to(responses, *, give_up_s):
    """Submit a job to a server that returns these responses in turn."""
    paths = []

    async def handle(request: HttpRequest):
        paths.append(request.path)
        return responses[min(len(paths), len(responses)) - 1]

    async def serve(stream):
        await HttpConnection(
            stream=stream, handler=handle, limits=HttpLimits()
        ).serve()

    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host=HOST)
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        port = listeners[0].socket.getsockname()[1]
        caller = Caller(addresses=[(HOST, port)], service="snapcheck")
        answer = await caller.submit(
            new_job_id(), b"{}", give_up_s=give_up_s, time_limit_s=5
        )
        nursery.cancel_scope.cancel()
    assert len(set(paths)) == 1, paths
    return answer


REFUSAL = HttpResponse(status=503, body=b'{"retry_after_s": 0.01}')


@then("a caller that is asked to retry resubmits its job and gets the answer")
def check_resubmission(context):
    responses = [REFUSAL, REFUSAL, HttpResponse(body=b"{}")]
    answer = trio.run(lambda: submit_to(responses, give_up_s=60))
    assert (answer.status, answer.submissions) == (200, 3)


@then("a caller stops resubmitting at its time limit")
def check_give_up_time(context):
    answer = trio.run(lambda: submit_to([REFUSAL], give_up_s=0.1))
    assert answer.status == 503
    assert answer.submissions > 1


def run_command(*arguments):
    return subprocess.run(
        [sys.executable, "-m", "egretcart", *map(str, arguments)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=COMMAND_TIMEOUT_S,
        check=False,
    )


def address(port):
    return {"host": HOST, "port": port}


def write_file(context, name, document):
    path = pathlib.Path(context.deployment.folder.name) / name
    path.write_text(json.dumps(document))
    return path


def run_load(context, **changes):
    deployment = context.deployment
    profile = {
        "service": "snapcheck",
        "entries": [address(e.ready["http_port"]) for e in deployment.entries],
        "agents": [address(a.ready["http_port"]) for a in deployment.agents],
        "backends": [address(b.ready["port"]) for b in deployment.backends],
        "kinds": [{"name": "pixel-diff", "run_ms": 20}],
        "servers": [{"count": len(deployment.backends)}],
        "tasks": 300,
        "duration_s": 2,
    }
    path = write_file(context, "profile.json", profile | changes)
    finished = run_command("load", path, "--json")
    context.exit_code = finished.returncode
    context.report = json.loads(finished.stdout)
    assert "jobs submitted" in finished.stderr, finished.stderr


@when(
    "the load command runs {tasks:d} tasks with resubmissions and a cancel "
    "wave"
)
def run_with_waves(context, tasks):
    run_load(
        context,
        tasks=tasks,
        resubmit_share=0.5,
        declared_error=10,
        bursts=[{"at_s": 0.9, "tasks": 400}],
        cancel_waves=[{"at_s": 1.0, "share": 0.8}],
    )


@when("the load command runs {tasks:d} tasks without faults")
def run_without_faults(context, tasks):
    run_load(context, tasks=tasks)


@then("the report counts every job once and no answer is wrong")
def check_report(context):
    report = context.report
    assert context.exit_code == 0, report
    outcomes = report["outcomes"]
    assert sum(outcomes.values()) == report["jobs"]
    assert set(outcomes) <= {"complete", "cancelled"}, outcomes
    assert report["ratio"]["count"] == outcomes["complete"]
    assert report["wrong_answers"] == report["differing_answers"] == 0
    assert report["repeated_starts"] == 0
    assert report["silent_processes"] == 0


@then("its message counts agree with its starts, results and cancellations")
def check_report_messages(context):
    report = context.report
    messages = report["messages"]
    assert messages["Start"] >= report["starts"]
    assert messages["Start"] == messages["TaskResult"]
    assert report["wasted"].get("cancelled", 0) >= messages["CancelTasks"] > 0
    assert report["resubmissions"] > 0
    assert all(us > 0 for us in report["cpu_us_per_start"].values())


class NaiveDeployment:
    """The naive version and its backend servers."""

    def __init__(self, context, count):
        context.deployment = self
        self.folder = tempfile.TemporaryDirectory()
        self.backends = [
            RunningProcess(
                self.folder.name,
                f"backend-{number}",
                ["standin", "backend"],
                {"listen": address(0)},
            )
            for number in range(count)
        ]
        naive = RunningProcess(
            self.folder.name,
            "naive",
            ["standin", "naive"],
            {
                "http": address(0),
                "backends": [address(b.ready["port"]) for b in self.backends],
            },
        )
        self.entries = [naive]
        self.agents = []

    def close(self):
        for process in (*self.entries, *self.backends):
            process.kill()
            process.process.stdout.close()
        self.folder.cleanup()


@given_step("the naive version with {count:d} backend servers")
def start_naive(context, count):
    deployment = NaiveDeployment(context, count)
    context.add_cleanup(deployment.close)


@then("backend servers have counted starts with repeated keys")
def check_repeated(context):
    report = context.report
    assert report["repeated_starts"] > 0
    assert report["wasted"]["duplicate_answer"] > 0


@then("a profile with an invalid field is refused with exit code 2")
def check_wrong_profile(context):
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "profile.json"
        profile = msgspec.to_builtins(new_profile())
        path.write_text(json.dumps(profile | {"duration_s": 0}))
        finished = run_command("load", path)
    assert finished.returncode == 2
    assert "$.duration_s" in finished.stderr, finished.stderr


def submit_file(context, **changes):
    entries = [
        address(e.ready["http_port"]) for e in context.deployment.entries
    ]
    submission = {
        "service": "snapcheck",
        "entries": entries,
        "id": str(new_job_id()),
        "job": {"tasks": [{"payload": {"echo": f"t{n}"}} for n in range(5)]},
    }
    path = write_file(context, "submission.json", submission | changes)
    return path, run_command("submit", path)


@then("submitting a file twice with one id prints the same complete answer")
def check_submit(context):
    path, first = submit_file(context)
    assert first.returncode == 0, first.stderr
    answer = json.loads(first.stdout)
    assert answer["results"] == [{"echo": f"t{n}"} for n in range(5)]
    assert run_command("submit", path).stdout == first.stdout
    assert sum(context.deployment.recorded_starts().values()) == 5


@then("an invalid job is refused with exit code 1")
def check_refused_job(context):
    _, finished = submit_file(context, job={"tasks": []})
    assert finished.returncode == 1
    assert json.loads(finished.stdout)["verdict"] == "not_run"


@then("an invalid file is refused with exit code 2")
def check_refused_file(context):
    _, finished = submit_file(context, id="7")
    assert finished.returncode == 2
    assert "$.id" in finished.stderr


def run_tasks(count, **options):
    """Run tasks of 20 ms in parallel; return their end times and statuses."""
    standin = BackendStandIn(**options)
    answers = []

    async def run_one():
        answer = await standin.handle(
            HttpRequest(
                method="POST", path="/", headers={}, body=b'{"run_ms": 20}'
            )
        )
        answers.append((trio.current_time(), answer.status))

    async def main():
        started_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(run_one)
        return [(round(at - started_at, 6), status) for at, status in answers]

    return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


@then("a stand-in runs no more tasks at a time than it has slots")
def check_slots(context):
    ended = run_tasks(5, slots=2)
    assert [at for at, _ in ended] == [0.02, 0.02, 0.04, 0.04, 0.06]


@then("a black-hole stand-in fails every task immediately")
def check_black_hole(context):
    behaviour = BackendBehaviour(black_hole=True)
    assert run_tasks(3, behaviour=behaviour) == [(0, 500)] * 3


@then("a straggling start takes longer")
def check_straggler(context):
    behaviour = BackendBehaviour(straggler_share=1, straggler_factor=5)
    assert run_tasks(1, behaviour=behaviour) == [(0.1, 200)]
