"""Entry point of ``python -m chervilrack``."""

from chervilrack._internal.cli.main import main

if __name__ == "__main__":
    main()
