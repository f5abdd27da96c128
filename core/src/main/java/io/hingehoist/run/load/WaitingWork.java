package io.hingehoist.run.load;

/** Something that waits for room, as far as its place in the order goes. */
public interface WaitingWork {
  /** Returns the priority of its queue; 0 goes first. */
  int priority();

  /** Returns a number that rises with each job that an owner takes. */
  long arrivalNumber();

  /** Returns a name that no other waiting work has. */
  String name();
}
