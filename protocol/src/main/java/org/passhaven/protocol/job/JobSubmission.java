package org.passhaven.protocol.job;

import java.util.List;
import java.util.Objects;

/**
 * A batch job as submitted by the caller.
 *
 * @param id unique name; a submission with the same name is the same job
 * @param host host whose routes are used for the items
 * @param path path that the job was submitted to
 * @param tenant tenant that the job belongs to; empty if there is none
 * @param run name of the run that groups jobs of one tenant: the trained model or the path of the
 *     route
 * @param model model that generates the texts; empty if the items name none
 * @param step number of the training step; zero if there is none
 * @param oldestVersion oldest weight version allowed for generation
 * @param wantedGroups number of complete groups that the caller waits for
 * @param route settings of the route when the job was accepted; null if they are unknown
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
    List<JobItem> items,
    JobRoute route) {
  public JobSubmission {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(host, "host");
    Objects.requireNonNull(path, "path");
    Objects.requireNonNull(tenant, "tenant");
    Objects.requireNonNull(run, "run");
    Objects.requireNonNull(model, "model");
    items = List.copyOf(items);
  }

  /** Creates a submission as it comes from its caller. */
  public JobSubmission(
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
    this(id, host, path, tenant, run, model, step, oldestVersion, wantedGroups, items, null);
  }

  /** Returns this submission without its items. */
  public JobSubmission withoutItems() {
    return new JobSubmission(
        id, host, path, tenant, run, model, step, oldestVersion, wantedGroups, List.of(), route);
  }

  /** Returns this submission with the settings of its route. */
  public JobSubmission withRoute(JobRoute acceptedRoute) {
    return new JobSubmission(
        id,
        host,
        path,
        tenant,
        run,
        model,
        step,
        oldestVersion,
        wantedGroups,
        items,
        acceptedRoute);
  }
}
