from linkhaven.configuration import Configuration


class RouteTable:
    """Kinds by host and path: of the routes of a host, the longest prefix that begins the path wins."""

    __slots__ = ("hosts",)

    def __init__(self):
        self.hosts = {}

    def apply_configuration(self, configuration: Configuration) -> None:
        self.hosts = {}
        for name, kind in configuration.kinds.items():
            route = kind.route
            if route is not None:
                self.hosts.setdefault(route.host.lower(), []).append((route.path_prefix, name))
        for routes in self.hosts.values():
            routes.sort(key=lambda route_entry: -len(route_entry[0]))

    def find(self, host, path):
        path_only = path.partition("?")[0]
        for prefix, name in self.hosts.get((host or "").lower(), ()):
            if path_only.startswith(prefix):
                return name
        return None
