"""Suite `scheduling-walks`: random walks over the worker simulation."""

from collections.abc import Iterable
from collections.abc import Iterator

from baobabdoor import settings
from baobabdoor.measure import _result
from baobabdoor.standin import _walk

WALK_S = 120.0


def run(
    deployment: settings.Deployment, seeds: Iterable[int]
) -> Iterator[_result.Result]:
    """Counts the invariant violations of each walk, which must be 0."""
    for seed in seeds:
        walk = _walk.Walk(seed)
        violations = walk.run(WALK_S)
        for measure, value in (
            ("walk-broken-rules", len(violations)),
            ("walk-starts", walk.oracle.starts),
        ):
            yield _result.Result(
                measure=measure,
                deployment=deployment.deployment,
                policy="least-slack",
                value=float(value),
                unit="1",
                reference=0.0,
                seed=seed,
            )
