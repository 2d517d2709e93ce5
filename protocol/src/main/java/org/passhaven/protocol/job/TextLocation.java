package org.passhaven.protocol.job;

/**
 * Location of a {@link ResultText} in the text stream of the partition of its job.
 *
 * @param offset offset of the record
 * @param bytes size of the record in bytes
 */
public record TextLocation(long offset, int bytes) {
  public TextLocation {
    if (offset < 0 || bytes < 0) {
      throw new IllegalArgumentException("offset and bytes must not be negative");
    }
  }
}
