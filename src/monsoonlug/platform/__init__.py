"""Adapter to the platform of Tangle-Free Lights: its names, formats and calls.

The package translates and decides nothing. Only its `__main__` module starts daemons.
"""

import os

# The daemons open no TLS connections. Without this, the HTTP library reads the system's
# certificates when it is imported, which takes 2 MB and a tenth of the start.
os.environ.setdefault("SSL_CERT_FILE", os.devnull)
