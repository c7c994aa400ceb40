"""Finds the request kind of a call by the host and the path of its URL."""

from linkhaven.configuration import Configuration


class RouteTable:
    """Request kinds by host and path prefix; the longest matching prefix of a host wins."""

    __slots__ = ("hosts",)

    def __init__(self):
        self.hosts = {}

    def apply_configuration(self, configuration: Configuration) -> None:
        """Index the routes of a new configuration."""
        self.hosts = {}
        for name, kind in configuration.kinds.items():
            route = kind.route
            if route is not None:
                self.hosts.setdefault(route.host.lower(), []).append((route.path_prefix, name))
        for routes in self.hosts.values():
            routes.sort(key=lambda route_entry: -len(route_entry[0]))

    def find(self, host, path):
        """Return the name of the request kind, or None; the host's case and the query don't count."""
        path_only = path.partition("?")[0]
        for prefix, name in self.hosts.get((host or "").lower(), ()):
            if path_only.startswith(prefix):
                return name
        return None
