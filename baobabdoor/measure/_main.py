"""Command line of `baobabdoor-measure`."""

from collections.abc import Iterator
import importlib
import pathlib
import statistics
import sys

from absl import app
from absl import flags

from baobabdoor import settings
from baobabdoor.measure import _result

# Each suite is a module with `run(deployment, seeds)`, imported on demand
# because some require the solver library of the `measure` extra.
SUITES = {
    "capacity": "baobabdoor.measure._capacity",
    "capacity-slopes": "baobabdoor.measure._slopes",
    "flood": "baobabdoor.measure._flood",
    "jobs": "baobabdoor.measure._jobs",
    "rollout": "baobabdoor.measure._rollout",
    "scheduler-rate": "baobabdoor.measure._scheduler_rate",
    "scheduling-walks": "baobabdoor.measure._scheduling_walks",
    "slots": "baobabdoor.measure._slots",
}
DEPLOYMENTS = ("federation", "nam-rung")
# First seed of reported results; smaller seeds are reserved for tuning.
FIRST_REPORTED_SEED = 1000
EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"

FLAGS = flags.FLAGS


def define_flags() -> None:
    """Defines the command-line flags; must be called once before parsing."""
    flags.DEFINE_enum("suite", None, sorted(SUITES), "Suite to run.")
    flags.DEFINE_enum(
        "deployment", "federation", DEPLOYMENTS, "Deployment to measure."
    )
    flags.DEFINE_integer("seeds", 3, "Number of reported seeds.", lower_bound=1)
    flags.DEFINE_enum("format", "json", ["json", "table"], "Output format.")
    flags.DEFINE_string(
        "examples", str(EXAMPLES), "Directory of the deployment files."
    )
    flags.mark_flag_as_required("suite")


def run_suite(
    suite: str, deployment: settings.Deployment, seed_count: int
) -> Iterator[_result.Result]:
    """Runs a suite on the reported seeds."""
    module = importlib.import_module(SUITES[suite])
    first = FIRST_REPORTED_SEED
    return module.run(deployment, range(first, first + seed_count))


def _print_table(results: list[_result.Result]) -> None:
    groups: dict[tuple[str, str, str], list[_result.Result]] = {}
    for result in results:
        key = (result.measure, result.policy, result.unit)
        groups.setdefault(key, []).append(result)
    header = ("measure", "policy", "unit", "min", "median", "max", "ratio")
    print("{:34} {:24} {:12} {:>10} {:>10} {:>10} {:>8}".format(*header))
    for (measure, policy, unit), group in groups.items():
        values = [result.value for result in group]
        ratios = [r.ratio for r in group if r.ratio is not None]
        ratio = f"{statistics.median(ratios):.3f}" if ratios else "-"
        print(
            f"{measure:34} {policy:24} {unit:12} {min(values):>10.4g}"
            f" {statistics.median(values):>10.4g} {max(values):>10.4g}"
            f" {ratio:>8}"
        )


def _run(argv: list[str]) -> int:
    if len(argv) > 1:
        raise app.UsageError(f"unexpected argument {argv[1]!r}")
    path = pathlib.Path(FLAGS.examples) / f"{FLAGS.deployment}.yaml"
    deployment = settings.load_deployment(str(path))
    results = []
    for result in run_suite(FLAGS.suite, deployment, FLAGS.seeds):
        if FLAGS.format == "json":
            print(result.to_json(), flush=True)
        else:
            print(f"{result.measure} seed {result.seed}", file=sys.stderr)
            results.append(result)
    if FLAGS.format == "table":
        _print_table(results)
    return 0


def main() -> None:
    """Entry point of `baobabdoor-measure`."""
    define_flags()
    app.run(_run)
