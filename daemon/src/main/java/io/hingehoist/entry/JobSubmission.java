package io.hingehoist.entry;

import io.hingehoist.message.Bytes;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.List;

/**
 * A validated submission of a job.
 *
 * @param submittedAtMs when the caller first submitted the job, in milliseconds since 1970; the
 *     same in every resubmission
 * @param deadlineAtMs when the job is given up, in milliseconds since 1970; a resubmission may
 *     change it
 */
public record JobSubmission(
    String caller,
    String submissionId,
    long submittedAtMs,
    String service,
    String jobClass,
    String team,
    long deadlineAtMs,
    List<String> payloads) {

  /** Copies the payloads. */
  public JobSubmission {
    payloads = List.copyOf(payloads);
  }

  /** Returns a digest of the fields that must be the same in every resubmission. */
  Bytes digest() {
    MessageDigest sha = sha256();
    update(sha, service);
    update(sha, jobClass);
    update(sha, team);
    sha.update(ByteBuffer.allocate(Long.BYTES).putLong(0, submittedAtMs));
    payloads.forEach(payload -> update(sha, payload));
    return Bytes.copyOf(sha.digest());
  }

  /**
   * Adds a text to the digest, prefixed by its length, so that different lists of texts never give
   * the same bytes.
   */
  private static void update(MessageDigest sha, String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    sha.update(ByteBuffer.allocate(Integer.BYTES).putInt(0, bytes.length));
    sha.update(bytes);
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }
}
