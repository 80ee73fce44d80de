"""Steps for the modules that the entry point of a serving node imports."""

import subprocess
import sys

from behave import then


@then('the entry point of a serving node does not import "{module}"')
def check_not_imported(context, module):
    program = "import sys, chervilrack.platform.run; print(*sys.modules)"
    completed = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, check=True
    )
    assert module not in completed.stdout.split(), module
