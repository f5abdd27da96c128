package io.hingehoist.run;

import io.hingehoist.message.Room;

/** Static helpers for amounts of room. */
public final class Rooms {
  private static final Room NONE = new Room(0, 0, 0);
  private static final long TIGHT_DIVISOR = 4;

  private Rooms() {}

  /** Returns no room at all. */
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

  /** Returns the difference of two amounts; a part of it may be below zero. */
  public static Room minus(Room a, Room b) {
    return new Room(
        a.cpuMilli() - b.cpuMilli(),
        a.memoryMb() - b.memoryMb(),
        a.accelerators() - b.accelerators());
  }

  /** Returns an amount without the parts that are below zero. */
  public static Room clampToZero(Room room) {
    return new Room(
        Math.max(0, room.cpuMilli()),
        Math.max(0, room.memoryMb()),
        Math.max(0, room.accelerators()));
  }

  /** Returns whether less than a quarter of a capacity is free. */
  public static boolean isNearlyFull(Room free, Room capacity) {
    return free.cpuMilli() < capacity.cpuMilli() / TIGHT_DIVISOR;
  }

  /** Returns whether a need fits into what is free. */
  public static boolean fits(Room need, Room free) {
    return need.cpuMilli() <= free.cpuMilli()
        && need.memoryMb() <= free.memoryMb()
        && need.accelerators() <= free.accelerators();
  }

  /** Returns the share of a capacity that stays free after a need is met, by its scarcest part. */
  public static double shareLeft(Room need, Room free, Room capacity) {
    double cpu = share(free.cpuMilli() - need.cpuMilli(), capacity.cpuMilli());
    double memory = share(free.memoryMb() - need.memoryMb(), capacity.memoryMb());
    return Math.min(cpu, memory);
  }

  private static double share(long left, long of) {
    return of == 0 ? 1 : (double) left / of;
  }
}
