"""The store as single nodes see it, with ways of their own to upstreams."""

import json

import urllib3

from tests import platform_standins
from tests.soak import proxy

CALL_LIMIT_S = 30.0


class StoreView(platform_standins.StoreView):
    """Passes the calls of one node on to a store in another process.

    Args:
        way: Proxy before the store.
        proxies: Opens the ways to the upstreams.

    Attributes:
        ways: Proxies before the upstreams, by their registered address.
    """

    def __init__(self, way: proxy.Proxy, proxies: proxy.Proxies):
        self.ways: dict[str, proxy.Proxy] = {}
        self.mode = proxy.Mode.PASS
        self._proxies = proxies
        self._url = f"http://{way.address}"
        self._http = urllib3.PoolManager(retries=False, maxsize=8)
        super().__init__(None, self._find_way)

    def set_mode(self, mode: proxy.Mode) -> None:
        """Changes what happens to the connections to all upstreams."""
        self.mode = mode
        for way in list(self.ways.values()):
            self._proxies.set_mode(way, mode)

    def handle(self, handler, body):
        """Passes one call on; a broken one ends as it does here."""
        try:
            response = self._http.request(
                handler.command,
                self._url + handler.path,
                body=body or None,
                timeout=CALL_LIMIT_S,
            )
            document = json.loads(response.data)
        except (urllib3.exceptions.HTTPError, ValueError):
            platform_standins.reset(handler)
            return
        headers = {
            name: value
            for name, value in response.headers.items()
            if name in ("Store-Era", "Retry-After")
        }
        text = json.dumps(self.change(document)).encode()
        platform_standins.send(handler, response.status, headers, text)

    def _find_way(self, address: str) -> str:
        if address not in self.ways:
            way = self._proxies.open(address)
            self._proxies.set_mode(way, self.mode)
            self.ways[address] = way
        return self.ways[address].address
