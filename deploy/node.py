"""Entry point of a node on the platform; imports the package from the source tree."""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from chervilrack.platform.start import main  # noqa: E402

main()
