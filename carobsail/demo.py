"""The demo: a whole deployment in one process, and a burst of requests.

`python -m carobsail.demo` starts the deployment of Valtellina over stand-ins,
sends the burst while an engine is killed and an instance is stopped, and
prints what became of the requests. The exit code is 0 only if every promise
held.
"""

import asyncio
import json
import os
import random
import sys
from collections.abc import Iterator

import fire
import msgspec

from carobsail import (
    configuration,
    democallers,
    demoresults,
    deployments,
    errors,
    etcd,
    inventory,
    localdeployment,
    operations,
    telemetry,
)
from carobsail.democallers import Callers, Job, Kind
from carobsail.demoresults import Outcome

DEFAULT_REQUESTS = 900
BURST_S = 15.0
# A cold start took 43 s: the store starts one load of up to 10 s a second.
REACHABLE_TIMEOUT_S = 60.0
RESTART_S = 2.0
PROBE_PAUSE_S = 0.2
# Output tokens of a draft; the burst asks for half of what the engines
# generate.
TOKENS = (24, 96)
DRAFT_DUE_S = 4.0
LOOKUP_DUE_S = 0.8
BOOKING_DUE_S = 5.0
KILLED_ENGINE = "scrivano-engine-1"
STOPPED_INSTANCE = "entry-2"

_ACCOUNTS = {
    "clerks": ("scrivano",),
    "vets": ("sportello",),
    "volunteers": ("scrivano", "sportello"),
}
_MODEL_PATH = "/v1/chat/completions"


def access_key(account: str) -> str:
    """Returns the access key of a client account of the demo."""
    return f"demo-{account}-key"


def documents(
    listed: inventory.Inventory,
) -> operations.Documents:
    """Returns the demo's template and client accounts."""
    template: dict[str, object] = {
        "kind": "template",
        "name": "counter",
        "parameters": [
            {"name": name, "type": "list", "required": True}
            for name in ("models", "adapters")
        ],
        "account": {
            "models": {"$param": "models"},
            "adapters": {"$param": "adapters"},
            "limits": {
                "requests_per_s": 1000,
                "burst": 1000,
                "concurrency": 1000,
            },
            "operations": [
                {"path": _MODEL_PATH, "due_ms": int(DRAFT_DUE_S * 1000)},
                {
                    "path": "/services/registrations/registrations/*",
                    "method": "GET",
                    "service": "registrations",
                    "due_ms": int(LOOKUP_DUE_S * 1000),
                },
                {
                    "path": "/services/bookings/bookings",
                    "service": "bookings",
                    "idempotent": False,
                    "key_required": True,
                    "due_ms": int(BOOKING_DUE_S * 1000),
                },
            ],
        },
    }
    plain: list[dict[str, object]] = [template]
    for account, pools in _ACCOUNTS.items():
        models = [m.name for m in listed.models if m.pool in pools]
        adapters = [a.name for a in listed.adapters if a.model in models]
        plain.append(
            {
                "kind": "account",
                "name": account,
                "template": "counter",
                "parameters": {"models": models, "adapters": adapters},
                "key_hashes": [deployments.hash_key(access_key(account))],
            }
        )
    found: operations.Documents = {}
    for item in plain:
        data = json.dumps(item).encode()
        document = configuration.parse_document(data, str(item["name"]))
        assert not isinstance(document, errors.Failure), document
        found[configuration.document_key(document)] = document
    return found


class Demo:
    """One run of the demo."""

    __slots__ = ("_callers", "_deployment", "_rng")

    def __init__(
        self, deployment: localdeployment.LocalDeployment, seed: int
    ) -> None:
        """Takes a deployment that runs."""
        self._deployment = deployment
        self._rng = random.Random(seed)
        self._callers = Callers(
            {i.listed.name: i.callers for i in deployment.instances.values()}
        )

    def close(self) -> None:
        """Closes the callers' connections."""
        self._callers.close()

    async def configure(self) -> int:
        """Applies template and client accounts; returns the revision.

        Raises:
          RuntimeError: The change was refused.
        """
        client = etcd.EtcdClient(self._deployment.keyvalue_address)
        try:
            listed = self._deployment.listed
            result = await operations.apply(
                client,
                documents(listed),
                configuration.Metadata("demo", "demo"),
                platform_inventory=listed,
            )
        finally:
            client.close()
        if result.status is not operations.Status.DONE:
            raise RuntimeError("; ".join(result.lines))
        return result.revision

    async def wait_reachable(self) -> float:
        """Waits until each instance answers for each model.

        Returns:
          Seconds waited.

        Raises:
          TimeoutError: A model is not reachable after 60 s.
        """
        loop = asyncio.get_running_loop()
        started = loop.time()
        async with asyncio.timeout(REACHABLE_TIMEOUT_S):
            await asyncio.gather(
                *(
                    self._wait_answer(model.name, instance)
                    for model in self._deployment.listed.models
                    for instance in self._callers.open
                )
            )
        return loop.time() - started

    async def _wait_answer(self, model: str, instance: str) -> None:
        key = access_key("volunteers")
        job = democallers.draft(key, model, instance, 1, REACHABLE_TIMEOUT_S)
        while True:
            report = await self._callers.send(job, instance)
            if report.right:
                return
            await asyncio.sleep(PROBE_PAUSE_S)

    async def run_burst(self, count: int) -> Outcome:
        """Sends the burst; kills an engine and stops an instance on the way."""
        outcome = Outcome([], [])
        tasks: list[asyncio.Task[None]] = []
        events = {
            count // 3: self._kill_engine,
            count // 2: lambda: self._stop_instance(outcome),
        }
        for number, job in enumerate(self._jobs(count)):
            if number in events:
                tasks.append(asyncio.create_task(events[number]()))
            repeated = job.kind is Kind.BOOKING and number % 3 == 0
            work = self._repeat if repeated else self._send
            tasks.append(asyncio.create_task(work(job, outcome)))
            await asyncio.sleep(self._rng.expovariate(count / BURST_S))
        await asyncio.gather(*tasks)
        return outcome

    async def _send(self, job: Job, outcome: Outcome) -> None:
        instance = self._rng.choice(self._callers.open)
        outcome.reports.append(await self._callers.send(job, instance))

    async def _repeat(self, job: Job, outcome: Outcome) -> None:
        """Sends a booking, and the same one again through another instance."""
        instance, other = self._rng.sample(self._callers.open, 2)
        first = await self._callers.send(job, instance)
        if other not in self._callers.open:
            other = self._rng.choice(self._callers.open)
        second = await self._callers.send(job, other)
        outcome.reports += first, second
        outcome.repeats.append((first, second))

    async def _kill_engine(self) -> None:
        engine = self._deployment.engine(KILLED_ENGINE)
        engine.restart_s = RESTART_S
        await engine.crash()

    async def _stop_instance(self, outcome: Outcome) -> None:
        """Stops an instance as the platform does: balancer first."""
        deployment = self._deployment
        self._callers.open.remove(STOPPED_INSTANCE)
        outcome.stopped = STOPPED_INSTANCE
        outcome.in_flight_at_stop = self._callers.in_flight[STOPPED_INSTANCE]
        await deployment.stop_instance(STOPPED_INSTANCE)
        deployment.publish(_without(deployment.listed, STOPPED_INSTANCE))

    def _jobs(self, count: int) -> Iterator[Job]:
        """Returns the requests of the burst; each body is unique."""
        listed, rng = self._deployment.listed, self._rng
        for number in range(count):
            account = rng.choice(list(_ACCOUNTS))
            key = access_key(account)
            sort = rng.random()
            if sort < 0.1:
                yield democallers.lookup(key, f"AA{number:05}", LOOKUP_DUE_S)
            elif sort < 0.2:
                idempotency_key = f"order-{account}-{number}"
                yield democallers.booking(
                    key, f"collar tag {number}", idempotency_key, BOOKING_DUE_S
                )
            else:
                pools = _ACCOUNTS[account]
                model = rng.choice(
                    [m for m in listed.models if m.pool in pools]
                )
                adapters = [a for a in listed.adapters if a.model == model.name]
                adapted = adapters and rng.random() < 0.5
                yield democallers.draft(
                    key,
                    rng.choice(adapters).name if adapted else model.name,
                    f"Draft number {number}, for {account}.",
                    rng.randint(*TOKENS),
                    DRAFT_DUE_S,
                    stream=rng.random() < 0.5,
                )


def _without(listed: inventory.Inventory, name: str) -> inventory.Inventory:
    left = [i for i in listed.instances if i.name != name]
    return msgspec.structs.replace(
        listed, version=listed.version + 1, instances=left
    )


async def _run(requests: int, seed: int) -> int:
    async with localdeployment.LocalDeployment(
        deployments.VALTELLINA
    ) as deployment:
        listed = deployment.listed
        print(
            f"Started {len(listed.instances)} instances,"
            f" {len(listed.targets)} targets, {len(listed.regions)} data"
            " centres on loopback.",
            flush=True,
        )
        demo = Demo(deployment, seed)
        try:
            revision = await demo.configure()
            print(f"Configuration revision {revision} is committed.")
            waited_s = await demo.wait_reachable()
            print(
                f"All {len(listed.models)} models are reachable through every"
                f" instance after {waited_s:.1f} s."
            )
            print(
                f"Sending {requests} requests; {KILLED_ENGINE} will be killed,"
                f" {STOPPED_INSTANCE} stopped.",
                flush=True,
            )
            outcome = await demo.run_burst(requests)
        except TimeoutError:
            print("The demo gave up: not every model became reachable.")
            return 1
        finally:
            demo.close()
        print()
        for name, value in demoresults.rows(outcome, deployment):
            print(f"{name:<36}{value}")
        broken = demoresults.broken_promises(outcome, deployment)
        print(f"{'broken promises':<36}{len(broken)}")
        for line in broken:
            print(f"  {line}")
    return 1 if broken else 0


def run(
    log_file: str = os.devnull, requests: int = DEFAULT_REQUESTS, seed: int = 1
) -> None:
    """Runs the demo.

    Args:
      log_file: Receives the log lines of all instances.
      requests: Requests of the burst.
      seed: Seed of the burst.
    """
    with open(log_file, "w") as stream:
        telemetry.configure_logging("info", stream)
        code = asyncio.run(_run(requests, seed))
    raise SystemExit(code)


def main() -> None:
    """Entry point of the demo."""
    fire.Fire(run, sys.argv[1:], "carobsail.demo")


if __name__ == "__main__":
    main()
