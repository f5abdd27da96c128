package io.hingehoist.daemon;

/** The exit codes of {@code hingehoistd}, after those of {@code sysexits.h}. */
enum ExitCode {
  OK(0),
  /** The command line is wrong. */
  USAGE(64),
  /** The data folder is damaged. */
  DAMAGED_DATA(65),
  /** A broken invariant stopped the process. */
  BROKEN_INVARIANT(70),
  /** An address or the data folder can't be opened. */
  CANNOT_OPEN(73),
  /** Writing or syncing the journal failed. */
  DISK_FAILED(74),
  /** A planned stop could not settle everything in time. */
  UNSETTLED_STOP(75),
  /** The settings file is wrong. */
  BAD_SETTINGS(78);

  private final int code;

  ExitCode(int code) {
    this.code = code;
  }

  int code() {
    return code;
  }
}
