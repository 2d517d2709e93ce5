package org.passhaven.protocol.job;

import java.util.List;
import java.util.Objects;

/**
 * A batch job as its caller handed it in.
 *
 * @param id unique name; a second submission under it is the same job
 * @param host host whose routes carry the items
 * @param path path that the job was submitted to
 * @param tenant tenant that the job belongs to; empty if it belongs to none
 * @param run name under which jobs belong together: the trained model, or the route's path, of one
 *     tenant
 * @param model model that generates; empty if the items name none
 * @param step number of the training step; zero if there is none
 * @param oldestVersion oldest weight version that may generate
 * @param wantedGroups whole groups that the caller waits for
 */
public record JobSubmission(
    String id,
    String host,
    String path,
    String tenant,
    String run,
    String model,
    long step,
    long oldestVersion,
    int wantedGroups,
    List<JobItem> items) {
  public JobSubmission {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(host, "host");
    Objects.requireNonNull(path, "path");
    Objects.requireNonNull(tenant, "tenant");
    Objects.requireNonNull(run, "run");
    Objects.requireNonNull(model, "model");
    items = List.copyOf(items);
  }
}
