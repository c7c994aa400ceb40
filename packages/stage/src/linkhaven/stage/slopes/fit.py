"""Least-squares fits of constant, linear and quadratic growth."""

import numpy

CONSTANT, LINEAR, SQUARE = "constant", "linear", "square"
ORDERS = (CONSTANT, LINEAR, SQUARE)
MIN_STANDARD_ERRORS = 4.0
MIN_LINEAR_SHARE = 0.1
MIN_SQUARE_SHARE = 0.25


class Fit:
    """y = start + slope * x (or x²), with the slope's standard error and the residuals' deviation.

    The slots are the keys of the record.
    """

    __slots__ = ("order", "start", "slope", "slope_error", "spread")

    def __init__(self, order, start, slope, slope_error, spread):
        self.order = order
        self.start = start
        self.slope = slope
        self.slope_error = slope_error
        self.spread = spread

    def at(self, x):
        """The fitted value at x."""
        return self.start + self.slope * x ** ORDERS.index(self.order)

    def as_record(self):
        return {
            name: value if isinstance(value, str) else float(f"{value:.4g}")
            for name in self.__slots__
            if (value := getattr(self, name)) is not None
        }


def _solve(columns, y):
    """Least-squares coefficients, their standard errors and the residuals' standard deviation."""
    matrix = numpy.column_stack(columns)
    found, _, rank, _ = numpy.linalg.lstsq(matrix, y, rcond=None)
    residuals = y - matrix @ found
    degrees_of_freedom = max(1, len(y) - rank)
    variance = float(residuals @ residuals) / degrees_of_freedom
    errors = numpy.sqrt(numpy.diag(numpy.linalg.pinv(matrix.T @ matrix)) * variance)
    return found, errors, variance**0.5


def fit(points):
    """Fits (x, y) points by the lowest order that explains them.

    The fit is constant unless a linear term explains a tenth of the highest value, and linear
    unless a quadratic term beside the linear one explains a quarter. Each term must also exceed
    `MIN_STANDARD_ERRORS` of its standard errors.
    """
    x = numpy.array([point[0] for point in points], dtype=float)
    y = numpy.array([point[1] for point in points], dtype=float)
    scale = float(x.max()) or 1.0
    unit, ones = x / scale, numpy.ones_like(x)
    most = float(abs(y).max())
    if most == 0.0:
        return Fit(CONSTANT, 0.0, 0.0, 0.0, 0.0)
    found, errors, _ = _solve([ones, unit, unit**2], y)
    if found[2] > MIN_SQUARE_SHARE * most and found[2] > MIN_STANDARD_ERRORS * errors[2]:
        found, errors, spread = _solve([ones, unit**2], y)
        if found[1] > MIN_STANDARD_ERRORS * errors[1]:
            return Fit(
                SQUARE,
                float(found[0]),
                float(found[1]) / scale**2,
                float(errors[1]) / scale**2,
                spread,
            )
    found, errors, spread = _solve([ones, unit], y)
    if abs(found[1]) > MIN_LINEAR_SHARE * most and abs(found[1]) > MIN_STANDARD_ERRORS * errors[1]:
        return Fit(
            LINEAR, float(found[0]), float(found[1]) / scale, float(errors[1]) / scale, spread
        )
    return Fit(CONSTANT, float(y.mean()), 0.0, 0.0, float(y.std()))


def fit_plane(points, names):
    """Fits a plane over several variables; each slope is given with its standard error."""
    y = numpy.array([point[-1] for point in points], dtype=float)
    columns = [
        numpy.ones_like(y),
        *(
            numpy.array([point[place] for point in points], dtype=float)
            for place in range(len(names))
        ),
    ]
    found, errors, spread = _solve(columns, y)
    slopes = {
        name: [float(f"{slope:.4g}"), float(f"{error:.2g}")]
        for name, slope, error in zip(names, found[1:], errors[1:], strict=True)
    }
    return {"start": float(f"{found[0]:.4g}"), "slopes": slopes, "spread": float(f"{spread:.4g}")}
