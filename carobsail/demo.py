"""The demo: a complete deployment in one process, and a burst of requests.

`python -m carobsail.demo` starts the deployment of Valtellina with stand-ins,
sends the burst while an engine is killed and an instance is stopped, and
prints the results of the requests. The exit code is 0 only if every promise
was kept.
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
from carobsail.demoresults import BurstResults

DEFAULT_REQUESTS = 900
BURST_S = 15.0
# A cold start took 43 s: the weight store starts one load per second, and a
# load takes up to 10 s.
REACHABLE_TIMEOUT_S = 60.0
ENGINE_RESTART_S = 2.0
PROBE_INTERVAL_S = 0.2
# Range of the output tokens of a draft; the burst requests half of what the
# engines can generate.
DRAFT_TOKENS = (24, 96)
DRAFT_DUE_S = 4.0
LOOKUP_DUE_S = 0.8
BOOKING_DUE_S = 5.0
KILLED_ENGINE = "scrivano-engine-1"
STOPPED_INSTANCE = "entry-2"

_POOLS_BY_ACCOUNT = {
    "clerks": ("scrivano",),
    "vets": ("sportello",),
    "volunteers": ("scrivano", "sportello"),
}
_MODEL_PATH = "/v1/chat/completions"


def access_key(account: str) -> str:
    """Returns the access key of a client account of the demo."""
    return f"demo-{account}-key"


def documents(
    platform_inventory: inventory.Inventory,
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
    contents: list[dict[str, object]] = [template]
    for account, pools in _POOLS_BY_ACCOUNT.items():
        models = [m.name for m in platform_inventory.models if m.pool in pools]
        adapters = [
            a.name for a in platform_inventory.adapters if a.model in models
        ]
        contents.append(
            {
                "kind": "account",
                "name": account,
                "template": "counter",
                "parameters": {"models": models, "adapters": adapters},
                "key_hashes": [deployments.hash_key(access_key(account))],
            }
        )
    found: operations.Documents = {}
    for item in contents:
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
        """Creates a run on a started deployment."""
        self._deployment = deployment
        self._rng = random.Random(seed)
        self._callers = Callers(
            {
                i.inventory_entry.name: i.caller_address
                for i in deployment.instances.values()
            }
        )

    def close(self) -> None:
        """Closes the callers' connections."""
        self._callers.close()

    async def configure(self) -> int:
        """Applies the template and the client accounts; returns the revision.

        Raises:
          RuntimeError: The change was refused.
        """
        client = etcd.EtcdClient(self._deployment.keyvalue_address)
        try:
            platform_inventory = self._deployment.platform_inventory
            result = await operations.apply(
                client,
                documents(platform_inventory),
                configuration.Metadata("demo", "demo"),
                platform_inventory=platform_inventory,
            )
        finally:
            client.close()
        if result.status is not operations.Status.DONE:
            raise RuntimeError("; ".join(result.lines))
        return result.revision

    async def wait_reachable(self) -> float:
        """Waits until each model has answered through each instance.

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
                    self._wait_for_answer(model.name, instance)
                    for model in self._deployment.platform_inventory.models
                    for instance in self._callers.accepting
                )
            )
        return loop.time() - started

    async def _wait_for_answer(self, model: str, instance: str) -> None:
        key = access_key("volunteers")
        job = democallers.draft(key, model, instance, 1, REACHABLE_TIMEOUT_S)
        while True:
            report = await self._callers.send(job, instance)
            if report.correct:
                return
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def run_burst(self, count: int) -> BurstResults:
        """Sends the burst; kills an engine and stops an instance meanwhile."""
        results = BurstResults([], [])
        tasks: list[asyncio.Task[None]] = []
        events = {
            count // 3: self._kill_engine,
            count // 2: lambda: self._stop_instance(results),
        }
        for number, job in enumerate(self._jobs(count)):
            if number in events:
                tasks.append(asyncio.create_task(events[number]()))
            repeated = job.kind is Kind.BOOKING and number % 3 == 0
            work = self._send_twice if repeated else self._send
            tasks.append(asyncio.create_task(work(job, results)))
            await asyncio.sleep(self._rng.expovariate(count / BURST_S))
        await asyncio.gather(*tasks)
        return results

    async def _send(self, job: Job, results: BurstResults) -> None:
        instance = self._rng.choice(self._callers.accepting)
        results.reports.append(await self._callers.send(job, instance))

    async def _send_twice(self, job: Job, results: BurstResults) -> None:
        """Sends a booking and repeats it through another instance."""
        instance, other = self._rng.sample(self._callers.accepting, 2)
        first = await self._callers.send(job, instance)
        if other not in self._callers.accepting:
            other = self._rng.choice(self._callers.accepting)
        second = await self._callers.send(job, other)
        results.reports += first, second
        results.repeats.append((first, second))

    async def _kill_engine(self) -> None:
        engine = self._deployment.engine(KILLED_ENGINE)
        engine.restart_s = ENGINE_RESTART_S
        await engine.crash()

    async def _stop_instance(self, results: BurstResults) -> None:
        """Stops an instance as the platform does.

        It is removed from the load balancer first.
        """
        deployment = self._deployment
        self._callers.accepting.remove(STOPPED_INSTANCE)
        results.stopped = STOPPED_INSTANCE
        results.in_flight_at_stop = self._callers.in_flight[STOPPED_INSTANCE]
        await deployment.stop_instance(STOPPED_INSTANCE)
        deployment.publish(
            _without(deployment.platform_inventory, STOPPED_INSTANCE)
        )

    def _jobs(self, count: int) -> Iterator[Job]:
        """Yields the requests of the burst; bodies are unique unless empty."""
        platform_inventory, rng = self._deployment.platform_inventory, self._rng
        for number in range(count):
            account = rng.choice(list(_POOLS_BY_ACCOUNT))
            key = access_key(account)
            kind_draw = rng.random()
            if kind_draw < 0.1:
                yield democallers.lookup(key, f"AA{number:05}", LOOKUP_DUE_S)
            elif kind_draw < 0.2:
                idempotency_key = f"order-{account}-{number}"
                yield democallers.booking(
                    key, f"collar tag {number}", idempotency_key, BOOKING_DUE_S
                )
            else:
                pools = _POOLS_BY_ACCOUNT[account]
                model = rng.choice(
                    [m for m in platform_inventory.models if m.pool in pools]
                )
                adapters = [
                    a
                    for a in platform_inventory.adapters
                    if a.model == model.name
                ]
                use_adapter = adapters and rng.random() < 0.5
                yield democallers.draft(
                    key,
                    rng.choice(adapters).name if use_adapter else model.name,
                    f"Draft number {number}, for {account}.",
                    rng.randint(*DRAFT_TOKENS),
                    DRAFT_DUE_S,
                    stream=rng.random() < 0.5,
                )


def _without(
    platform_inventory: inventory.Inventory, name: str
) -> inventory.Inventory:
    remaining = [i for i in platform_inventory.instances if i.name != name]
    return msgspec.structs.replace(
        platform_inventory,
        version=platform_inventory.version + 1,
        instances=remaining,
    )


async def _run(requests: int, seed: int) -> int:
    async with localdeployment.LocalDeployment(
        deployments.VALTELLINA
    ) as deployment:
        platform_inventory = deployment.platform_inventory
        print(
            f"Started {len(platform_inventory.instances)} instances,"
            f" {len(platform_inventory.targets)} targets,"
            f" {len(platform_inventory.regions)} data centres on loopback.",
            flush=True,
        )
        demo = Demo(deployment, seed)
        try:
            revision = await demo.configure()
            print(f"Configuration revision {revision} is committed.")
            waited_s = await demo.wait_reachable()
            print(
                f"All {len(platform_inventory.models)} models are reachable"
                f" through every instance after {waited_s:.1f} s."
            )
            print(
                f"Sending {requests} requests; {KILLED_ENGINE} will be killed,"
                f" {STOPPED_INSTANCE} stopped.",
                flush=True,
            )
            results = await demo.run_burst(requests)
        except TimeoutError:
            print("The demo gave up: not every model became reachable.")
            return 1
        finally:
            demo.close()
        print()
        for name, value in demoresults.rows(results, deployment):
            print(f"{name:<36}{value}")
        broken = demoresults.broken_promises(results, deployment)
        print(f"{'broken promises':<36}{len(broken)}")
        for line in broken:
            print(f"  {line}")
    return 1 if broken else 0


def run(
    log_file: str = os.devnull, requests: int = DEFAULT_REQUESTS, seed: int = 1
) -> None:
    """Runs the demo.

    Args:
      log_file: File for the log lines of all instances.
      requests: Number of requests in the burst.
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
