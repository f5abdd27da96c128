package io.hingehoist.cluster;

import java.io.IOException;
import java.net.InetAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/**
 * What a process holds of its machine, according to the kernel.
 *
 * @param peakMemoryBytes the largest resident memory so far
 * @param unreadBytes the bytes that have arrived at an IP address and were not read yet
 * @param descriptors the number of open descriptors
 */
public record ProcessFootprint(long peakMemoryBytes, long unreadBytes, int descriptors) {
  private static final long BYTES_PER_KIB = 1_024;
  private static final int LOCAL_ADDRESS_FIELD = 1;
  private static final int STATE_FIELD = 3;
  private static final int QUEUES_FIELD = 4;
  private static final String ESTABLISHED = "01";
  private static final int HEX = 16;

  /**
   * Returns the footprint of a running process.
   *
   * @param ip the IPv4 address that only this process uses
   */
  public static ProcessFootprint of(NodeProcess process, String ip) throws IOException {
    Path proc = Path.of("/proc", String.valueOf(process.pid()));
    return new ProcessFootprint(peakMemoryBytes(proc), unreadBytes(ip), descriptors(proc));
  }

  private static long peakMemoryBytes(Path proc) throws IOException {
    return Files.readAllLines(proc.resolve("status")).stream()
        .filter(line -> line.startsWith("VmHWM:"))
        .mapToLong(line -> Long.parseLong(line.replaceAll("\\D+", "")) * BYTES_PER_KIB)
        .findFirst()
        .orElseThrow(() -> new IOException("no VmHWM in " + proc + "/status"));
  }

  private static int descriptors(Path proc) throws IOException {
    try (Stream<Path> open = Files.list(proc.resolve("fd"))) {
      return (int) open.count();
    }
  }

  /** Returns the bytes that have arrived at an IP address and were not read yet. */
  public static long unreadBytes(String ip) throws IOException {
    String address = hexOf(ip);
    List<String> sockets = Files.readAllLines(Path.of("/proc/net/tcp"));
    return sockets.stream()
        .map(line -> line.trim().split("\\s+"))
        .filter(fields -> fields[LOCAL_ADDRESS_FIELD].startsWith(address + ':'))
        .filter(fields -> fields[STATE_FIELD].equals(ESTABLISHED))
        .mapToLong(fields -> Long.parseLong(fields[QUEUES_FIELD].split(":")[1], HEX))
        .sum();
  }

  /** Returns an address as the kernel prints it: the last byte first. */
  private static String hexOf(String ip) throws IOException {
    byte[] bytes = InetAddress.getByName(ip).getAddress();
    return "%02X%02X%02X%02X".formatted(bytes[3], bytes[2], bytes[1], bytes[0]);
  }
}
