package io.hingehoist.bench;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.function.ToDoubleFunction;

/** Writes the figures of a benchmark to files and compares them with bounds. */
final class BenchReport {
  private static final int BOUND_EXCEEDED_EXIT_CODE = 1;

  private final List<BenchRow> rows;

  private BenchReport(List<BenchRow> rows) {
    this.rows = List.copyOf(rows);
  }

  static BenchReport of(List<BenchRow> rows) {
    return new BenchReport(rows);
  }

  /** Writes the files and returns the exit code, which is not 0 if a ratio exceeds its bound. */
  int write(Path json, Path html, Path bounds, String only) throws IOException {
    Files.createDirectories(json.toAbsolutePath().getParent());
    Files.createDirectories(html.toAbsolutePath().getParent());
    Bench.newMapper().writeValue(json.toFile(), rows);
    Files.writeString(html, toHtml());
    return only.isEmpty() ? check(bounds) : 0;
  }

  /**
   * Returns the exit code after checking every bound. A bound limits the ratio of one figure of two
   * runs of the same benchmark.
   */
  private int check(Path bounds) throws IOException {
    int exitCode = 0;
    for (JsonNode bound : Bench.newMapper().readTree(bounds.toFile())) {
      String figure = bound.path("figure").asText();
      Optional<Double> value = figure(bound.path("run").asText(), figure);
      Optional<Double> baseValue = figure(bound.path("comparedWith").asText(), figure);
      if (value.isEmpty() || baseValue.isEmpty()) {
        System.out.println("not compared, a run is missing: " + bound);
        continue;
      }
      double ratio = value.get() / baseValue.get();
      boolean withinBound = ratio <= bound.path("atMost").asDouble();
      System.out.printf(
          "%s: %s of %s is %.3f of %s, at most %.3f%n",
          withinBound ? "within" : "OVER",
          figure,
          bound.path("run").asText(),
          ratio,
          bound.path("comparedWith").asText(),
          bound.path("atMost").asDouble());
      exitCode = withinBound ? exitCode : BOUND_EXCEEDED_EXIT_CODE;
    }
    return exitCode;
  }

  private Optional<Double> figure(String run, String figure) {
    return rows.stream()
        .filter(row -> row.name().equals(run))
        .findFirst()
        .map(row -> Bench.newMapper().valueToTree(row).path(figure).asDouble());
  }

  private String toHtml() {
    StringBuilder page = new StringBuilder();
    page.append("<!doctype html><meta charset=\"utf-8\"><title>hingehoist benchmark</title>");
    page.append("<style>body{font:14px sans-serif;margin:2em}td{padding:0 1em 0 0}");
    page.append(".b{background:#47a;height:12px}</style><h1>hingehoist benchmark</h1>");
    addChart(page, "Response-time gap of the fast path, p99, ms", BenchRow::fastP99);
    addChart(page, "Response-time gap of jobs, p99, ms", BenchRow::jobP99);
    addChart(page, "Wasted messages per completed task", BenchRow::wastedPerTask);
    page.append("<h2>All figures</h2><pre>").append(BenchRow.header()).append('\n');
    rows.forEach(row -> page.append(row).append('\n'));
    return page.append("</pre>").toString();
  }

  private void addChart(StringBuilder page, String title, ToDoubleFunction<BenchRow> figure) {
    double max = rows.stream().mapToDouble(figure).max().orElse(1);
    page.append("<h2>").append(title).append("</h2><table>");
    for (BenchRow row : rows) {
      double value = figure.applyAsDouble(row);
      page.append(
          "<tr><td>%s<td>%.3f<td><div class=\"b\" style=\"width:%.0fpx\"></div>"
              .formatted(row.name(), value, 500 * Math.max(0, value) / Math.max(max, 1e-9)));
    }
    page.append("</table>");
  }
}
