package org.passhaven.cli;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Drains a node: it takes nothing new, gives its leases back and finishes what runs. */
final class DrainCommand implements Command {
  @Override
  public String name() {
    return "drain";
  }

  @Override
  public String summary() {
    return "drains a node: nothing new, leases given back, what runs is finished";
  }

  @Override
  public String arguments() {
    return "HOST:PORT";
  }

  @Override
  public Options options() {
    return new Options();
  }

  @Override
  public ExitCode run(CommandLine line) throws CommandException {
    if (line.getArgList().size() != 1) {
      throw new CommandException(ExitCode.USAGE, "the node's address is needed");
    }
    String address = line.getArgList().get(0);
    try (OperatorClient client = OperatorClient.to(address)) {
      client.post("/v1/drain");
      System.out.println(address + " is drained");
    }
    return ExitCode.OK;
  }
}
