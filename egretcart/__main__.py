"""Entry point of ``python -m egretcart``."""

import sys

from egretcart.process.cli import main

if __name__ == "__main__":
    sys.exit(main())
