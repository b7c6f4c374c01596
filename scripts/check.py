"""Run all checks and tests of the project and print the number of failures."""

from concurrent import futures
import json
import os
import pathlib
import subprocess
import sys
import tempfile
from typing import NamedTuple

ROOT = pathlib.Path(__file__).resolve().parent.parent
BIN = pathlib.Path(sys.executable).parent
TESTS = ROOT / "tests"
KNOWN_RED = ROOT / "KNOWN-RED.txt"
MAX_KNOWN_RED = 6
WORKERS = 6
TIMEOUT_S = 150


class Check(NamedTuple):
    """A check that passes or fails as a whole."""

    name: str
    command: tuple[str, ...]


class Result(NamedTuple):
    """Names of the checks and scenarios that passed and failed.

    `output` is printed; it is empty if nothing failed.
    """

    passed: list[str]
    failed: list[str]
    output: str


def checks() -> list[Check]:
    """Return all checks except the features."""
    tool = {name: str(BIN / name) for name in ("ruff", "mypy", "lint-imports")}
    checks_to_run = [
        Check("format", (tool["ruff"], "format", "--check", ".")),
        Check("lint", (tool["ruff"], "check", ".")),
        Check("imports", (tool["lint-imports"], "--no-cache")),
        Check("types", (tool["mypy"],)),
    ]
    for path in sorted((ROOT / "spec").glob("*_spec.py")):
        name = f"spec/{path.stem}"
        checks_to_run.append(Check(name, (sys.executable, str(path))))
    for path in sorted((ROOT / "scripts").glob("check_*.py")):
        checks_to_run.append(Check(path.stem, (sys.executable, str(path))))
    return checks_to_run


def feature_files() -> list[pathlib.Path]:
    """Return the feature files, each of which runs in its own process."""
    return sorted(TESTS.rglob("*.feature"))


def environment() -> dict[str, str]:
    """Return the environment of the checks, with a fixed hash seed."""
    return {**os.environ, "PYTHONHASHSEED": "0", "PYTHONPATH": str(ROOT)}


def run(command: tuple[str, ...]) -> tuple[bool, str]:
    """Run a command; return whether it succeeded, and its output."""
    try:
        process = subprocess.run(
            command,
            cwd=ROOT,
            env=environment(),
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            timeout=TIMEOUT_S,
            check=False,
        )
    except subprocess.TimeoutExpired as exc:
        return False, f"{exc.output!r}\nstopped after {TIMEOUT_S} s"
    return process.returncode == 0, process.stdout


def run_check(check: Check) -> Result:
    """Run one check."""
    succeeded, output = run(check.command)
    if succeeded:
        return Result([check.name], [], "")
    return Result([], [check.name], output)


def run_feature(path: pathlib.Path) -> Result:
    """Run one feature file; count its scenarios."""
    file_name = str(path.relative_to(ROOT))
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder) / "report.json"
        command = (
            sys.executable, "-m", "behave", "--no-color",
            "--format", "json", "--outfile", str(report),
            "--format", "progress3", "--outfile", "/dev/stdout", str(path),
        )  # fmt: skip
        succeeded, output = run(command)
        try:
            features = json.loads(report.read_text(encoding="utf-8"))
        except (OSError, ValueError):
            return Result([], [f"{file_name}: no report was written"], output)
    passed, failed = [], []
    for feature in features:
        for element in feature.get("elements", []):
            if element["type"] == "background":
                continue
            name = f"{file_name}: {element['name']}"
            names = passed if element["status"] == "passed" else failed
            names.append(name)
    if not succeeded and not failed:
        failed.append(f"{file_name}: failed outside a scenario")
    if succeeded and not passed:
        failed.append(f"{file_name}: no scenario ran")
    return Result(passed, failed, "" if succeeded else output)


def read_known_failures() -> list[str]:
    """Return the lines of KNOWN-RED.txt: scenarios with a known fault."""
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return [line for line in lines if line.strip() and line[0] != "#"]


def main() -> int:
    """Run all checks; print failures and counts; return the exit status."""
    with futures.ThreadPoolExecutor(WORKERS) as pool:
        jobs = [pool.submit(run_check, check) for check in checks()]
        jobs += [pool.submit(run_feature, path) for path in feature_files()]
        results = [job.result() for job in jobs]
    failed = [name for result in results for name in result.failed]
    passed = [name for result in results for name in result.passed]
    for result in results:
        if result.output:
            print(result.output)
    known_failures = read_known_failures()
    expected = [
        name
        for name in failed
        if any(line.startswith(name) for line in known_failures)
    ]
    for name in failed:
        label = "KNOWN RED" if name in expected else "FAILED"
        print(f"{label} {name}")
    for line in known_failures:
        print(f"listed in KNOWN-RED.txt: {line}")
    if len(known_failures) > MAX_KNOWN_RED:
        print(
            f"KNOWN-RED.txt lists {len(known_failures)};"
            f" {MAX_KNOWN_RED} are allowed"
        )
        return 1
    print(f"{len(passed)} passed, {len(failed)} failed")
    return 1 if len(failed) > len(expected) or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
