package io.hingehoist.run;

import io.hingehoist.message.Room;

/** Static utility methods for {@link Room}, an amount of CPU, memory and accelerators. */
public final class Rooms {
  private static final Room NONE = new Room(0, 0, 0);
  private static final long NEARLY_FULL_DIVISOR = 4;

  private Rooms() {}

  /** Returns the empty amount. */
  public static Room none() {
    return NONE;
  }

  /** Returns the sum of two amounts. */
  public static Room plus(Room a, Room b) {
    return new Room(
        a.cpuMilli() + b.cpuMilli(),
        a.memoryMb() + b.memoryMb(),
        a.accelerators() + b.accelerators());
  }

  /** Returns the difference of two amounts; its components may be negative. */
  public static Room minus(Room a, Room b) {
    return new Room(
        a.cpuMilli() - b.cpuMilli(),
        a.memoryMb() - b.memoryMb(),
        a.accelerators() - b.accelerators());
  }

  /** Returns an amount with its negative components replaced by zero. */
  public static Room clampToZero(Room room) {
    return new Room(
        Math.max(0, room.cpuMilli()),
        Math.max(0, room.memoryMb()),
        Math.max(0, room.accelerators()));
  }

  /** Returns whether less than a quarter of the CPU capacity is free. */
  public static boolean isNearlyFull(Room free, Room capacity) {
    return free.cpuMilli() < capacity.cpuMilli() / NEARLY_FULL_DIVISOR;
  }

  /** Returns whether a need fits into the free room. */
  public static boolean fits(Room need, Room free) {
    return need.cpuMilli() <= free.cpuMilli()
        && need.memoryMb() <= free.memoryMb()
        && need.accelerators() <= free.accelerators();
  }

  /** Returns the smaller of the shares of CPU and memory that remain free once a need is met. */
  public static double shareLeft(Room need, Room free, Room capacity) {
    double cpu = share(free.cpuMilli() - need.cpuMilli(), capacity.cpuMilli());
    double memory = share(free.memoryMb() - need.memoryMb(), capacity.memoryMb());
    return Math.min(cpu, memory);
  }

  private static double share(long remaining, long total) {
    return total == 0 ? 1 : (double) remaining / total;
  }
}
