"""Minimum-cost flow in a small acyclic network."""

import collections
import heapq
import math

import attrs

# Differences in cost below this are rounding errors.
EPSILON = 1e-6


@attrs.frozen
class Arc:
    """An arc of the network; `flow` is valid after `FlowNetwork.send`.

    Attributes:
        network: Network that the arc belongs to.
        index: Index of the arc in the residual network.
    """

    network: "FlowNetwork"
    index: int

    @property
    def flow(self) -> int:
        """Units of flow on the arc."""
        return self.network.capacities_[self.index ^ 1]


class FlowNetwork:
    """Finds the cheapest flow by successive shortest paths.

    Costs may be negative as long as the network has no cycle. Node potentials
    keep reduced costs non-negative, so that Dijkstra's algorithm finds the
    shortest paths; see Ahuja, Magnanti and Orlin, Network Flows, 1993, section
    9.7.

    Example:
        >>> network = FlowNetwork()
        >>> start, end = network.add_node(), network.add_node()
        >>> cheap = network.add_arc(start, end, 2, 1.0)
        >>> expensive = network.add_arc(start, end, 2, 5.0)
        >>> network.send(start, end, 3)
        >>> cheap.flow, expensive.flow
        (2, 1)
    """

    def __init__(self):
        # Arc 2n and its reverse arc 2n + 1 are adjacent in these lists.
        self.targets_: list[int] = []
        self.capacities_: list[int] = []
        self.costs_: list[float] = []
        self.outgoing_: list[list[int]] = []

    def add_node(self) -> int:
        """Adds a node and returns its index."""
        self.outgoing_.append([])
        return len(self.outgoing_) - 1

    def add_arc(
        self, source: int, target: int, capacity: int, cost: float
    ) -> Arc:
        """Adds an arc and returns it."""
        index = len(self.targets_)
        self.targets_.extend((target, source))
        self.capacities_.extend((capacity, 0))
        self.costs_.extend((cost, -cost))
        self.outgoing_[source].append(index)
        self.outgoing_[target].append(index + 1)
        return Arc(self, index)

    def send(self, source: int, target: int, count: int) -> None:
        """Sends up to `count` units of flow at minimum cost."""
        potentials = self._initial_potentials(source)
        while count > 0:
            distances, incoming_arcs = self._shortest_distances(
                source, potentials
            )
            if distances[target] == math.inf:
                return
            # Unreachable nodes stay unreachable: augmenting a path only changes
            # arcs between reachable nodes.
            potentials = [
                potential if distance == math.inf else potential + distance
                for potential, distance in zip(
                    potentials, distances, strict=True
                )
            ]
            path = self._path(incoming_arcs, source, target)
            units = min(count, min(self.capacities_[index] for index in path))
            for index in path:
                self.capacities_[index] -= units
                self.capacities_[index ^ 1] += units
            count -= units

    def _initial_potentials(self, source: int) -> list[float]:
        """Returns shortest path costs from the Bellman-Ford algorithm."""
        distances = [math.inf] * len(self.outgoing_)
        distances[source] = 0.0
        queue = collections.deque([source])
        queued = {source}
        while queue:
            node = queue.popleft()
            queued.discard(node)
            for index in self.outgoing_[node]:
                target = self.targets_[index]
                cost = distances[node] + self.costs_[index]
                if self.capacities_[index] and cost < distances[target]:
                    distances[target] = cost
                    if target not in queued:
                        queued.add(target)
                        queue.append(target)
        return [0.0 if cost == math.inf else cost for cost in distances]

    def _shortest_distances(
        self, source: int, potentials: list[float]
    ) -> tuple[list[float], list[int]]:
        """Returns reduced distances and the last arc of each shortest path."""
        distances = [math.inf] * len(self.outgoing_)
        incoming_arcs = [-1] * len(self.outgoing_)
        distances[source] = 0.0
        heap = [(0.0, source)]
        while heap:
            distance, node = heapq.heappop(heap)
            if distance > distances[node]:
                continue
            base_cost = distance + potentials[node]
            for index in self.outgoing_[node]:
                if not self.capacities_[index]:
                    continue
                target = self.targets_[index]
                reduced = base_cost + self.costs_[index] - potentials[target]
                # Rounding may make a reduced cost slightly negative.
                reduced = max(reduced, distance)
                if reduced < distances[target] - EPSILON:
                    distances[target] = reduced
                    incoming_arcs[target] = index
                    heapq.heappush(heap, (reduced, target))
        return distances, incoming_arcs

    def _path(
        self, incoming_arcs: list[int], source: int, target: int
    ) -> list[int]:
        path = []
        node = target
        while node != source:
            index = incoming_arcs[node]
            path.append(index)
            node = self.targets_[index ^ 1]
        return path
