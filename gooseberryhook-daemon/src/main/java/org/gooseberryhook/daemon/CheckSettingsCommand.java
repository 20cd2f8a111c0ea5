package org.gooseberryhook.daemon;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.gooseberryhook.transport.SettingsFault;
import org.gooseberryhook.transport.SettingsReader;
import org.gooseberryhook.transport.SettingsResult;

/** Checks settings files without starting a node. */
@Parameters(commandDescription = "Check settings files and list all their faults")
final class CheckSettingsCommand implements Command {

  @Parameter(description = "FILE...", required = true)
  private List<Path> files = new ArrayList<>();

  @Parameter(
      names = {"--help", "-h"},
      help = true,
      description = "Show these options")
  private boolean isHelp;

  @Override
  public boolean isHelp() {
    return isHelp;
  }

  @Override
  public int run() {
    int faultCount = 0;
    for (Path file : files) {
      SettingsResult result = SettingsReader.read(file);
      if (result instanceof SettingsResult.Faulty faulty) {
        faulty.faults().stream().map(SettingsFault::toText).forEach(System.err::println);
        faultCount += faulty.faults().size();
      } else {
        System.out.println(file + ": ok");
      }
    }
    return faultCount == 0 ? 0 : Main.EXIT_FAILURE;
  }
}
