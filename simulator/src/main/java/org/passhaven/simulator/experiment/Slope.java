package org.passhaven.simulator.experiment;

import java.util.List;
import java.util.Objects;

/**
 * A cost as a straight line in a size, fitted by least squares.
 *
 * @param cost what is measured
 * @param unit unit of the cost
 * @param variable the size that varies
 * @param points measured values
 * @param intercept cost at size zero
 * @param slope cost for each further unit of the size
 * @param largestError largest distance of a point from the line, as a share of the largest value
 */
public record Slope(
    String cost,
    String unit,
    String variable,
    List<Point> points,
    double intercept,
    double slope,
    double largestError) {
  /** One measurement. */
  public record Point(double size, double value) {}

  public Slope {
    Objects.requireNonNull(cost, "cost");
    points = List.copyOf(points);
  }

  /** Fits a line; needs at least two different sizes. */
  public static Slope fit(String cost, String unit, String variable, List<Point> points) {
    double meanSize = points.stream().mapToDouble(Point::size).average().orElseThrow();
    double meanValue = points.stream().mapToDouble(Point::value).average().orElseThrow();
    double covariance =
        points.stream().mapToDouble(p -> (p.size() - meanSize) * (p.value() - meanValue)).sum();
    double variance =
        points.stream().mapToDouble(p -> (p.size() - meanSize) * (p.size() - meanSize)).sum();
    double slope = covariance / variance;
    double intercept = meanValue - slope * meanSize;
    double largest = points.stream().mapToDouble(p -> Math.abs(p.value())).max().orElseThrow();
    double error =
        points.stream()
            .mapToDouble(p -> Math.abs(p.value() - intercept - slope * p.size()))
            .max()
            .orElseThrow();
    return new Slope(
        cost, unit, variable, points, intercept, slope, largest == 0 ? 0 : error / largest);
  }

  /** Cost at a size. */
  public double at(double size) {
    return intercept + slope * size;
  }
}
