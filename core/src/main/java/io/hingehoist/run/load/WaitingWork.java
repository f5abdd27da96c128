package io.hingehoist.run.load;

/** Work that waits for room, with the properties that determine its position in the order. */
public interface WaitingWork {
  /** Returns the priority of the work's queue; 0 is the most urgent. */
  int priority();

  /** Returns a number that increases with each job that an owner accepts. */
  long arrivalNumber();

  /** Returns a name that is unique among waiting work. */
  String name();
}
