"""Libraries that the sidecar daemon imports, and those that are installed for it."""

import re
import subprocess
import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[3]
SERVERS_AND_CLIENTS = ("aiohttp", "grpclib", "hypercorn", "matplotlib", "uvicorn")
# anyio imports it when the daemon starts its event loop.
LOADED_LATER = {"uvloop"}
# Prints the packages outside the standard library that the daemon imports.
PROGRAM = """
import sys
import egretlift.sidecar.main
names = {name.partition(".")[0] for name, module in sys.modules.items() if module}
print(*(names - sys.stdlib_module_names))
"""


class TestImports(unittest.TestCase):
    """Checks the packages of the daemon that runs beside each upstream."""

    def test_imported_packages(self):
        """Guards against a daemon that starts late and needs memory for unused code.

        Also guards against installing a package that is not imported.
        """
        command = [sys.executable, "-c", PROGRAM]
        text = subprocess.check_output(command, cwd=ROOT, text=True)
        imported = set(text.split())
        requirements = (ROOT / "deploy" / "requirements.txt").read_text()
        installed = set(re.findall(r"^[a-z]+", requirements, re.MULTILINE))
        self.assertFalse(imported & set(SERVERS_AND_CLIENTS))
        self.assertFalse(installed - imported - LOADED_LATER)


if __name__ == "__main__":
    unittest.main()
