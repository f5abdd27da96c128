package io.hingehoist.run.host;

import io.hingehoist.message.RunRef;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The runs that a host recently reported as over, for the log: a run that a worker lists afterwards
 * was reported too early. Holds a bounded number of runs. Not thread-safe: confined to the
 * event-loop thread.
 */
final class ReportedRuns {
  private static final int MAX_RUNS = 1_024;

  private record Report(String workerId, EndEvidence evidence, long atMs) {}

  private final Map<RunRef, Report> reports =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<RunRef, Report> eldest) {
          return size() > MAX_RUNS;
        }
      };

  /** Records that a run was reported as over. */
  void record(RunRef run, String workerId, EndEvidence evidence, long nowMs) {
    reports.remove(run);
    reports.put(run, new Report(workerId, evidence, nowMs));
  }

  /** Returns, as pairs of keys and values, the report of a run that a worker has listed since. */
  String describe(RunRef run, long nowMs) {
    Report report = reports.get(run);
    return report == null
        ? "reported=none"
        : "reported=%s reportedWorker=%s reportedAgoMs=%d"
            .formatted(report.evidence(), report.workerId(), nowMs - report.atMs());
  }
}
