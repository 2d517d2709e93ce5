package org.passhaven.protocol.job;

/**
 * Where a {@link ResultText} is, in the stream of texts that belongs to the partition of its job.
 *
 * @param offset offset of the record
 * @param bytes size of the record
 */
public record TextPlace(long offset, int bytes) {
  public TextPlace {
    if (offset < 0 || bytes < 0) {
      throw new IllegalArgumentException("offset and bytes must not be negative");
    }
  }
}
