"""Tests that the demo keeps its promises and reports broken ones."""

import dataclasses

from carobsail import (
    demo,
    democallers,
    demoresults,
    deployments,
    errors,
    localdeployment,
)


async def test_burst_keeps_its_promises_and_notices_broken_ones(monkeypatch):
    """R1, R3, R4, R5, R7: a check that never fails would prove nothing."""
    monkeypatch.setattr(demo, "BURST_S", 2.0)
    monkeypatch.setattr(demo, "DRAFT_TOKENS", (4, 24))
    scrivano = [f"scrivano-{n}" for n in range(1, 4)]
    layout = {
        "scrivano-engine-1": scrivano,
        "scrivano-engine-2": scrivano,
        "sportello-engine-1": ["sportello-4"],
    }
    size = dataclasses.replace(
        deployments.VALTELLINA, models=4, pools={"scrivano": 2, "sportello": 1}
    )
    async with localdeployment.LocalDeployment(size, layout) as deployment:
        run = demo.Demo(deployment, seed=1)
        await run.configure()
        await run.wait_reachable()
        results = await run.run_burst(100)
        run.close()
        assert demoresults.broken_promises(results, deployment) == []
        table = dict(demoresults.rows(results, deployment))
        assert table["engine crashes"] == 1
        assert table["cut by the planned stop"] == 0
        assert table["repeats answered from the record"] > 0
        assert table["requests"] == len(results.reports) >= 100
        wrong, cut, ran = [
            r
            for r in results.reports
            if r.answer is not None and r.job.kind is democallers.Kind.DRAFT
        ][:3]
        not_run = dataclasses.replace(
            ran, answer=None, outcome=errors.Outcome.NOT_RUN
        )
        results.reports.remove(ran)
        results.reports += [
            dataclasses.replace(wrong, answer="other"),
            dataclasses.replace(cut, cut=True, instance=results.stopped),
            not_run,
        ]
        deployment.service("bookings-1").executions[b"twice"] = 2
        deployment.engines()[0].memory.violations.append("model m")
        broken = "\n".join(demoresults.broken_promises(results, deployment))
    for expected in (
        "wrong answer",
        "cut by the planned stop",
        "ran 2 times",
        "scrivano-engine-1: model m",
        "but ran",
    ):
        assert expected in broken, expected
