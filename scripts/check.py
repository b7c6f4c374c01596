"""Run every check and test of the project; end with the counts."""

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
MAX_KNOWN_RED = 3
WORKERS = 6
TIMEOUT_S = 150


class Check(NamedTuple):
    """A check that passes or fails as a whole."""

    name: str
    command: tuple[str, ...]


class Result(NamedTuple):
    """Names of what passed and failed, and the output to show."""

    passed: list[str]
    failed: list[str]
    output: str


def checks() -> list[Check]:
    """Return the checks that are no features."""
    tool = {name: str(BIN / name) for name in ("ruff", "mypy", "lint-imports")}
    found = [
        Check("format", (tool["ruff"], "format", "--check", ".")),
        Check("lint", (tool["ruff"], "check", ".")),
        Check("imports", (tool["lint-imports"], "--no-cache")),
        Check("types", (tool["mypy"],)),
    ]
    for path in sorted((ROOT / "spec").glob("*_spec.py")):
        name = f"spec/{path.stem}"
        found.append(Check(name, (sys.executable, str(path))))
    for path in sorted((ROOT / "scripts").glob("check_*.py")):
        found.append(Check(path.stem, (sys.executable, str(path))))
    return found


def feature_groups() -> list[pathlib.Path]:
    """Return the feature files; each runs in a process of its own."""
    return sorted(TESTS.rglob("*.feature"))


def environment() -> dict[str, str]:
    """Return the environment of every check: no caches, fixed hashing."""
    return {**os.environ, "PYTHONHASHSEED": "0", "PYTHONPATH": str(ROOT)}


def run(command: tuple[str, ...]) -> tuple[bool, str]:
    """Run a command; return whether it succeeded, and its output."""
    try:
        done = subprocess.run(
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
        return False, f"{exc.output!r}\nno end after {TIMEOUT_S} s"
    return done.returncode == 0, done.stdout


def run_check(check: Check) -> Result:
    """Run one check."""
    good, output = run(check.command)
    if good:
        return Result([check.name], [], "")
    return Result([], [check.name], output)


def run_feature(path: pathlib.Path) -> Result:
    """Run one feature file; count its scenarios."""
    group = str(path.relative_to(ROOT))
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder) / "report.json"
        command = (
            sys.executable, "-m", "behave", "--no-color",
            "--format", "json", "--outfile", str(report),
            "--format", "progress3", "--outfile", "/dev/stdout", str(path),
        )  # fmt: skip
        good, output = run(command)
        try:
            features = json.loads(report.read_text(encoding="utf-8"))
        except (OSError, ValueError):
            return Result([], [f"{group}: no report"], output)
    passed, failed = [], []
    for feature in features:
        for element in feature.get("elements", []):
            if element["type"] == "background":
                continue
            name = f"{group}: {element['name']}"
            bucket = passed if element["status"] == "passed" else failed
            bucket.append(name)
    if not good and not failed:
        failed.append(f"{group}: hooks or steps")
    if good and not passed:
        failed.append(f"{group}: no scenario ran")
    return Result(passed, failed, "" if good else output)


def known_red() -> list[str]:
    """Return the listed scenarios that fail for a known fault."""
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return [line for line in lines if line.strip() and line[0] != "#"]


def main() -> int:
    """Run all; print failures and the counts; return the exit status."""
    with futures.ThreadPoolExecutor(WORKERS) as pool:
        jobs = [pool.submit(run_check, check) for check in checks()]
        jobs += [pool.submit(run_feature, path) for path in feature_groups()]
        results = [job.result() for job in jobs]
    failed = [name for result in results for name in result.failed]
    passed = [name for result in results for name in result.passed]
    for result in results:
        if result.output:
            print(result.output)
    red = known_red()
    excused = [
        name for name in failed if any(line.startswith(name) for line in red)
    ]
    for name in failed:
        mark = "KNOWN RED" if name in excused else "FAILED"
        print(f"{mark} {name}")
    for line in red:
        print(f"listed as known red: {line}")
    if len(red) > MAX_KNOWN_RED:
        print(f"KNOWN-RED.txt lists {len(red)}; {MAX_KNOWN_RED} are allowed")
        return 1
    print(f"{len(passed)} passed, {len(failed)} failed")
    return 1 if len(failed) > len(excused) or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
