"""What the tools that play or write days share."""

import json
import pathlib
import subprocess
import tempfile


def inline(value):
    """A value as TOML, on one line."""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, str):
        return json.dumps(value)
    if isinstance(value, list):
        return "[" + ", ".join(map(inline, value)) + "]"
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{key} = {inline(entry)}" for key, entry in value.items()) + " }"
    return str(value)


def table(fields):
    """Fields as TOML, a line each."""
    return "".join(f"{key} = {inline(value)}\n" for key, value in fields.items())


def play(command):
    """Runs the bench by a command; returns its report, None without one, and
    what it printed."""
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder) / "report.json"
        command = [*command, "--report", str(report)]
        run = subprocess.run(command, capture_output=True, text=True, check=False)
        told = json.loads(report.read_text()) if report.exists() else None
        return told, run.stdout + run.stderr
