"""Minimum-cost flow on a small acyclic network."""

import collections
import math

import attrs

# Differences of cost below this come from rounding.
EPSILON = 1e-6


@attrs.define
class Arc:
    """An arc of the residual network.

    Attributes:
        target: Node that it leads to.
        capacity: Units that it can still carry.
        cost: Cost of a unit.
        flow: Units that it carries; negative on the reverse arc.
    """

    target: int
    capacity: int
    cost: float
    flow: int = 0


class FlowNetwork:
    """Finds the cheapest flow by successive shortest paths.

    Costs may be negative as long as the network has no cycle. See Ahuja,
    Magnanti and Orlin, Network Flows, 1993, section 9.7.

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
        self.arcs_: list[Arc] = []
        self.leaving_: list[list[int]] = []

    def add_node(self) -> int:
        """Returns a new node."""
        self.leaving_.append([])
        return len(self.leaving_) - 1

    def add_arc(
        self, source: int, target: int, capacity: int, cost: float
    ) -> Arc:
        """Adds an arc and returns it; its flow can be read after `send`."""
        arc = Arc(target, capacity, cost)
        self.leaving_[source].append(len(self.arcs_))
        self.arcs_.append(arc)
        self.leaving_[target].append(len(self.arcs_))
        self.arcs_.append(Arc(source, 0, -cost))
        return arc

    def send(self, source: int, target: int, count: int) -> None:
        """Sends up to `count` units at the least cost."""
        while count > 0:
            path = self._shortest_path(source, target)
            if not path:
                return
            units = min(
                count, min(self.arcs_[index].capacity for index in path)
            )
            for index in path:
                self._push(index, units)
            count -= units

    def _push(self, index: int, units: int) -> None:
        for change, number in ((units, index), (-units, index ^ 1)):
            self.arcs_[number].capacity -= change
            self.arcs_[number].flow += change

    def _shortest_path(self, source: int, target: int) -> list[int]:
        """Returns the arcs of the cheapest path by the Bellman-Ford method."""
        distance = [math.inf] * len(self.leaving_)
        reached_by = [-1] * len(self.leaving_)
        distance[source] = 0.0
        queue = collections.deque([source])
        queued = {source}
        while queue:
            node = queue.popleft()
            queued.discard(node)
            for index in self.leaving_[node]:
                arc = self.arcs_[index]
                cost = distance[node] + arc.cost
                if not arc.capacity or cost >= distance[arc.target] - EPSILON:
                    continue
                distance[arc.target] = cost
                reached_by[arc.target] = index
                if arc.target not in queued:
                    queued.add(arc.target)
                    queue.append(arc.target)
        return self._path(reached_by, source, target)

    def _path(
        self, reached_by: list[int], source: int, target: int
    ) -> list[int]:
        path = []
        node = target
        while node != source:
            index = reached_by[node]
            if index < 0:
                return []
            path.append(index)
            node = self.arcs_[index ^ 1].target
        return path
