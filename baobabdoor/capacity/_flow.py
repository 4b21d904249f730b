"""Minimum-cost flow on a small acyclic network."""

import collections
import heapq
import math

import attrs

# Differences of cost below this come from rounding.
EPSILON = 1e-6


@attrs.frozen
class Arc:
    """An arc of the network; its flow can be read after `send`.

    Attributes:
        network: Network that it belongs to.
        index: Number of the arc in the residual network.
    """

    network: "FlowNetwork"
    index: int

    @property
    def flow(self) -> int:
        """Units that the arc carries."""
        return self.network.capacities_[self.index ^ 1]


class FlowNetwork:
    """Finds the cheapest flow by successive shortest paths.

    Costs may be negative as long as the network has no cycle. Shortest paths
    are found with node potentials; see Ahuja, Magnanti and Orlin, Network
    Flows, 1993, section 9.7.

    Example:
        >>> network = FlowNetwork()
        >>> start, end = network.add_node(), network.add_node()
        >>> cheap = network.add_arc(start, end, 2, 1.0)
        >>> dear = network.add_arc(start, end, 2, 5.0)
        >>> network.send(start, end, 3)
        >>> cheap.flow, dear.flow
        (2, 1)
    """

    def __init__(self):
        # Arc 2n and its reverse 2n + 1 are neighbours in these lists.
        self.targets_: list[int] = []
        self.capacities_: list[int] = []
        self.costs_: list[float] = []
        self.leaving_: list[list[int]] = []

    def add_node(self) -> int:
        """Returns a new node."""
        self.leaving_.append([])
        return len(self.leaving_) - 1

    def add_arc(
        self, source: int, target: int, capacity: int, cost: float
    ) -> Arc:
        """Adds an arc and returns it."""
        index = len(self.targets_)
        self.targets_.extend((target, source))
        self.capacities_.extend((capacity, 0))
        self.costs_.extend((cost, -cost))
        self.leaving_[source].append(index)
        self.leaving_[target].append(index + 1)
        return Arc(self, index)

    def send(self, source: int, target: int, count: int) -> None:
        """Sends up to `count` units at the least cost."""
        potentials = self._first_potentials(source)
        while count > 0:
            distances, reached_by = self._distances(source, potentials)
            if distances[target] == math.inf:
                return
            # Nodes out of reach stay out of reach: a path only changes arcs
            # between nodes within reach.
            potentials = [
                potential if distance == math.inf else potential + distance
                for potential, distance in zip(
                    potentials, distances, strict=True
                )
            ]
            path = self._path(reached_by, source, target)
            units = min(count, min(self.capacities_[index] for index in path))
            for index in path:
                self.capacities_[index] -= units
                self.capacities_[index ^ 1] += units
            count -= units

    def _first_potentials(self, source: int) -> list[float]:
        """Returns the cost of the cheapest paths by the Bellman-Ford method."""
        distances = [math.inf] * len(self.leaving_)
        distances[source] = 0.0
        queue = collections.deque([source])
        queued = {source}
        while queue:
            node = queue.popleft()
            queued.discard(node)
            for index in self.leaving_[node]:
                target = self.targets_[index]
                cost = distances[node] + self.costs_[index]
                if self.capacities_[index] and cost < distances[target]:
                    distances[target] = cost
                    if target not in queued:
                        queued.add(target)
                        queue.append(target)
        return [0.0 if cost == math.inf else cost for cost in distances]

    def _distances(
        self, source: int, potentials: list[float]
    ) -> tuple[list[float], list[int]]:
        """Returns reduced distances and the arc that reached each node."""
        distances = [math.inf] * len(self.leaving_)
        reached_by = [-1] * len(self.leaving_)
        distances[source] = 0.0
        heap = [(0.0, source)]
        while heap:
            distance, node = heapq.heappop(heap)
            if distance > distances[node]:
                continue
            base = distance + potentials[node]
            for index in self.leaving_[node]:
                if not self.capacities_[index]:
                    continue
                target = self.targets_[index]
                reduced = base + self.costs_[index] - potentials[target]
                # Rounding may make a reduced cost slightly negative.
                reduced = max(reduced, distance)
                if reduced < distances[target] - EPSILON:
                    distances[target] = reduced
                    reached_by[target] = index
                    heapq.heappush(heap, (reduced, target))
        return distances, reached_by

    def _path(
        self, reached_by: list[int], source: int, target: int
    ) -> list[int]:
        path = []
        node = target
        while node != source:
            index = reached_by[node]
            path.append(index)
            node = self.targets_[index ^ 1]
        return path
