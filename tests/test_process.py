"""Signals to the process of a node during its start."""

import os
import signal
import subprocess
import sys
import time

from testtools.assertions import assert_that
from testtools.matchers import Equals

EXIT_SETTINGS = 2
"""Exit status of a node with invalid settings. The module that defines it is not
imported, because its import changes this process."""
POLL_SECONDS = 0.02


def open_when_read(path):
    """Wait for a reader of a named pipe; return a descriptor for writing to it."""
    while True:
        try:
            return os.open(path, os.O_WRONLY | os.O_NONBLOCK)
        except OSError:
            time.sleep(POLL_SECONDS)


def test_reload_signal_does_not_kill_a_starting_node(tmp_path):
    """SIGHUP arrives before the settings are read and must not end the process.

    The node must go on, read the settings and exit because they are invalid.
    """
    path = tmp_path / "boot.json"
    os.mkfifo(path)
    process = subprocess.Popen(
        [sys.executable, "-m", "cactusshed.sidecar"],
        env={**os.environ, "CACTUSSHED_BOOT": str(path)},
        stderr=subprocess.DEVNULL,
    )
    pipe = open_when_read(path)
    process.send_signal(signal.SIGHUP)
    os.write(pipe, b"no settings")
    os.close(pipe)
    assert_that(process.wait(), Equals(EXIT_SETTINGS))
