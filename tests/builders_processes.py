"""Runs the programs with the example settings on free loopback ports."""

import pathlib
import re
import subprocess
import sys
import time
import urllib.error
import urllib.request

from carobsail import localdeployment

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
WAIT_TIMEOUT_S = 25.0


def wait_until(condition, process=None):
    """Polls a condition until it holds; fails after `WAIT_TIMEOUT_S`."""
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while not (result := condition()):
        assert process is None or process.poll() is None, process.args
        assert time.monotonic() < deadline, condition
        time.sleep(0.05)
    return result


def http_get(address, path):
    """Returns status and body; status 0 if the connection fails."""
    try:
        with urllib.request.urlopen(f"http://{address}{path}") as answer:
            return answer.status, answer.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode()
    except OSError:
        return 0, ""


class Programs:
    """Processes that run with copies of the example settings.

    `address_by_port` gives the address that replaces an example's port.
    """

    def __init__(self, directory):
        self.directory = directory
        self.running = {}
        ports, new_ports = localdeployment.FreePorts(), {}
        for file in (EXAMPLES / "local").glob("*.json"):
            text = re.sub(
                r'(127\.0\.0\.1:|_port": )(\d+)',
                lambda m: m[1] + str(new_ports.setdefault(m[2], ports())),
                file.read_text(),
            )
            (directory / file.name).write_text(text)
        self.address_by_port = {
            n: f"127.0.0.1:{port}" for n, port in new_ports.items()
        }

    def log(self, name):
        return (self.directory / f"{name}.log").read_text()

    def start(self, name):
        with (self.directory / f"{name}.log").open("a") as log:
            self.running[name] = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    f"carobsail.{name}",
                    str(self.directory / f"{name}.json"),
                ],
                stdout=log,
                stderr=log,
            )
        return self.running[name]

    def ctl(self, *arguments):
        """Runs carobsailctl; returns its exit code and output."""
        completed = subprocess.run(
            [
                *(sys.executable, "-m", "carobsail.ctl", *arguments),
                *("--settings", str(self.directory / "carobsailctl.json")),
            ],
            capture_output=True,
            text=True,
        )
        return completed.returncode, completed.stdout + completed.stderr

    def close(self):
        for process in self.running.values():
            process.kill()
            process.wait()
