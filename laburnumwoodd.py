"""Run the daemon from the folder of the project.

The project is not installed on every machine that runs it: Python adds the
folder of the script that it runs to its path.
"""

import sys

from laburnumwood.daemon.main import main

if __name__ == '__main__':
    sys.exit(main())
