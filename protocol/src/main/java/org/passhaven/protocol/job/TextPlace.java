package org.passhaven.protocol.job;

/**
 * Location of a {@link ResultText} in the text stream of the partition of its job.
 *
 * @param offset offset of the record
 * @param bytes size of the record in bytes
 */
public record TextPlace(long offset, int bytes) {
  public TextPlace {
    if (offset < 0 || bytes < 0) {
      throw new IllegalArgumentException("offset and bytes must not be negative");
    }
  }
}
