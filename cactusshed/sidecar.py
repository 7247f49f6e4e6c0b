"""The daemon `cactussheds`: a node beside one target on the users' platform."""

import asyncio
import sys

from .errors import CactusError
from .mesh.sidecar import Sidecar
from .platform.boot import find_settings_path, load_settings

__all__ = ["main"]

EXIT_SETTINGS = 2


def main() -> None:
    """Run a node with the settings that the platform names."""
    try:
        settings = load_settings(find_settings_path())
    except CactusError as error:
        print(f"{error.code}: {error.message}", file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    asyncio.run(Sidecar(settings).run())


if __name__ == "__main__":
    main()
