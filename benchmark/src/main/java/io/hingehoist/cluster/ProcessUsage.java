package io.hingehoist.cluster;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * The processor time and memory that a group of processes uses, according to the kernel.
 *
 * @param cpuSeconds the processor time of all processes together
 * @param anonymousMb the largest resident anonymous memory of one of the processes
 * @param fileMb the largest resident file mappings of one of the processes
 */
public record ProcessUsage(double cpuSeconds, double anonymousMb, double fileMb) {
  private static final double TICKS_PER_SECOND = 100;
  private static final int USER_TICKS_FIELD = 13;
  private static final int SYSTEM_TICKS_FIELD = 14;

  /** Returns the usage of the running processes whose names begin with a prefix. */
  public static ProcessUsage of(LocalCluster cluster, String namePrefix) throws IOException {
    double cpuSeconds = 0;
    double anonymousMb = 0;
    double fileMb = 0;
    for (NodeProcess process : cluster.processes().values()) {
      if (process.name().startsWith(namePrefix) && process.isRunning()) {
        Path proc = Path.of("/proc", String.valueOf(process.pid()));
        cpuSeconds += cpuSeconds(Files.readString(proc.resolve("stat")));
        List<String> status = Files.readAllLines(proc.resolve("status"));
        anonymousMb = Math.max(anonymousMb, megabytes(status, "RssAnon:"));
        fileMb = Math.max(fileMb, megabytes(status, "RssFile:"));
      }
    }
    return new ProcessUsage(cpuSeconds, anonymousMb, fileMb);
  }

  private static double cpuSeconds(String stat) {
    String[] fields = stat.split(" ");
    return (Long.parseLong(fields[USER_TICKS_FIELD]) + Long.parseLong(fields[SYSTEM_TICKS_FIELD]))
        / TICKS_PER_SECOND;
  }

  private static double megabytes(List<String> status, String field) {
    return status.stream()
        .filter(line -> line.startsWith(field))
        .mapToDouble(line -> Double.parseDouble(line.replaceAll("\\D+", "")) / 1_024)
        .findFirst()
        .orElse(0);
  }
}
