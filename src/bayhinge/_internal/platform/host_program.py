"""What the programs of all hosts have in common."""

from abc import abstractmethod

from mode import Service

from bayhinge._internal.models.site_settings import SiteSettings


class HostProgram(Service):
    """The program of a host."""

    @abstractmethod
    def apply_settings(self, settings: SiteSettings) -> None:
        """Applies the settings that may change while the program runs: its limits."""
