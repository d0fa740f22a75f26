package maplespread;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The program as a process of its own, on about the JVM that it is run with in service. */
public final class Program {
    private Program() {}

    /** Started with {@code command} and these variables; what it says goes to {@code log}. */
    public static Process start(String command, Map<String, String> env, Path log, String... flags) throws Exception {
        return startUnder(List.of(), command, env, log, flags);
    }

    /** The same, called by another program. */
    public static Process startUnder(
            List<String> caller, String command, Map<String, String> env, Path log, String... flags) throws Exception {
        List<String> call = new ArrayList<>(caller);
        call.addAll(List.of(
                System.getProperty("java.home") + "/bin/java",
                "-Xmx40m",
                "-XX:TieredStopAtLevel=1",
                "-XX:+UseSerialGC"));
        call.addAll(List.of(flags));
        call.addAll(List.of("-cp", System.getProperty("java.class.path"), "maplespread.Main", command));
        ProcessBuilder process = new ProcessBuilder(call);
        process.environment().keySet().removeIf(k -> k.startsWith("BALANCER") || k.equals("JAVA_TOOL_OPTIONS"));
        process.environment().putAll(env);
        return process.redirectErrorStream(true).redirectOutput(log.toFile()).start();
    }
}
