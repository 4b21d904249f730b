"""Result of a measurement with its reference."""

import json

import attrs


@attrs.frozen
class Result:
    """One measured value and its reference.

    Attributes:
        measure: Name of the measure.
        deployment: Name of the deployment.
        policy: Measured policy.
        value: Measured value.
        unit: Unit of `value` and `reference`.
        reference: Value of a naive or clairvoyant policy, or a computed value.
        ratio: `value / reference`; None if the reference is 0.
        seed: Seed of the generated demand.
    """

    measure: str
    deployment: str
    policy: str
    value: float
    unit: str
    reference: float
    seed: int

    @property
    def ratio(self) -> float | None:
        """Value over reference; None if the reference is 0."""
        return self.value / self.reference if self.reference else None

    def to_json(self) -> str:
        """Returns the result as one line of JSON."""
        fields = attrs.asdict(self)
        fields["value"] = round(self.value, 6)
        fields["reference"] = round(self.reference, 6)
        ratio = self.ratio
        fields["ratio"] = None if ratio is None else round(ratio, 6)
        return json.dumps(fields)
