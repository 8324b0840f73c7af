"""Route lookup and authorization of requests."""

import random

from sycamorehollow.model import failures
from sycamorehollow.model import forwarding


class RouteTable:
    """Routes of a configuration by host and longest path prefix."""

    def __init__(self, configuration: forwarding.Configuration):
        self._configuration = configuration
        self._routes: dict[str, list[forwarding.Route]] = {}
        for route in configuration.routes:
            self._routes.setdefault(route.host, []).append(route)
        for routes in self._routes.values():
            routes.sort(key=lambda route: -len(route.path_prefix))

    @property
    def configuration(self) -> forwarding.Configuration:
        """The configuration from which the table was built."""
        return self._configuration

    def find_route(
        self, request: forwarding.Request
    ) -> forwarding.Route | failures.NotFound:
        """Returns the route of a request."""
        for route in self._routes.get(request.host, ()):
            if request.path.startswith(route.path_prefix):
                return route
        return failures.NotFound(f"no route for {request.host}{request.path}")

    def authorize(
        self, request: forwarding.Request, route: forwarding.Route
    ) -> forwarding.Workspace | failures.Unauthorized | None:
        """Returns the owner of the API key; `None` if no key is needed."""
        workspaces = self._configuration.workspaces
        if workspaces is None:
            return None
        owner = workspaces.get(request.api_key) if request.api_key else None
        if owner is None and not route.auth_exempt:
            return failures.Unauthorized("the API key is missing or unknown")
        return owner

    def choose_service(
        self, route: forwarding.Route, rng: random.Random
    ) -> forwarding.Service | failures.NotFound:
        """Returns one of the route's services, at random by weight."""
        targets = [
            target
            for target in route.targets
            if target.service in self._configuration.services
        ]
        if not targets:
            return failures.NotFound(f"route {route.name} has no service")
        weights = [target.weight for target in targets]
        target = rng.choices(targets, weights)[0]
        return self._configuration.services[target.service]
