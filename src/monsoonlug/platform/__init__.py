"""Adapter to the platform of Tangle-Free Lights: its names, formats and HTTP calls.

The package only translates; it makes no routing decisions. Only its `__main__` module
starts daemons.
"""

import os

# The daemons open no TLS connections. Without this setting, aiohttp loads the system's
# certificates on import, which takes 2 MB and a tenth of the start-up time.
os.environ.setdefault("SSL_CERT_FILE", os.devnull)
