package maplespread;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Starts the program as a separate process, with JVM flags close to those in production. */
public final class Program {
    private Program() {}

    /** Starts {@code command} with these environment variables; its output goes to {@code log}. */
    public static Process start(String command, Map<String, String> env, Path log, String... flags) throws Exception {
        return startUnder(List.of(), command, env, log, flags);
    }

    /** Starts {@code command} through the command line of another program. */
    public static Process startUnder(
            List<String> launcher, String command, Map<String, String> env, Path log, String... flags)
            throws Exception {
        List<String> commandLine = new ArrayList<>(launcher);
        commandLine.addAll(List.of(
                System.getProperty("java.home") + "/bin/java",
                "-Xmx40m",
                "-XX:TieredStopAtLevel=1",
                "-XX:+UseSerialGC"));
        commandLine.addAll(List.of(flags));
        commandLine.addAll(List.of("-cp", System.getProperty("java.class.path"), "maplespread.Main", command));
        ProcessBuilder process = new ProcessBuilder(commandLine);
        process.environment().keySet().removeIf(k -> k.startsWith("BALANCER") || k.equals("JAVA_TOOL_OPTIONS"));
        process.environment().putAll(env);
        return process.redirectErrorStream(true).redirectOutput(log.toFile()).start();
    }
}
