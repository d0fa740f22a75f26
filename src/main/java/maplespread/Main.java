package maplespread;

import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.util.Map;
import maplespread.config.ConfigError;
import maplespread.config.ConfigReader;
import maplespread.drill.WireAdapter;
import org.tinylog.Logger;
import sun.misc.Signal;

/**
 * The command line: {@code serve} is one real dispatcher, {@code drill} speaks the simulator's wire on
 * standard input and output.
 */
public final class Main {
    private Main() { }

    /** Exits 2 on a wrong call or configuration, 1 on malformed input or a taken address. */
    public static void main(String[] args) throws IOException {
        String command = args.length == 1 ? args[0] : "";
        switch (command) {
            case "drill" -> drill();
            case "serve" -> serve();
            default -> {
                System.err.println("usage: java -jar maplespread.jar serve | drill");
                System.exit(2);
            }
        }
    }

    private static void serve() {
        try {
            Map<String, String> env = System.getenv();
            Server server = new Server(ConfigReader.fromEnvironment(env), () -> ConfigReader.again(env));
            onHangup(server::reload);
            // The JVM ends when its hooks have: this one waits for the taken work, and makes the status 0.
            Runtime.getRuntime().addShutdownHook(new Thread(() -> {
                server.stop();
                Runtime.getRuntime().halt(0);
            }, "shutdown"));
            server.start();
            server.lifecycle().await(Lifecycle.Phase.STOPPED);
        } catch (ConfigError e) {
            System.err.println("configuration: " + e.getMessage());
            Runtime.getRuntime().halt(2);
        } catch (IOException e) {
            Logger.error("cannot listen: {}", e.getMessage());
            Runtime.getRuntime().halt(1);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Guards against the JVM's own answer to SIGHUP, which is to exit. */
    static void onHangup(Runnable work) {
        try {
            Signal.handle(new Signal("HUP"), signal -> work.run());
        } catch (IllegalArgumentException e) {
            Logger.warn("SIGHUP cannot be heard here: {}", e.getMessage());
        }
    }

    private static void drill() throws IOException {
        try (PrintStream out = new PrintStream(new BufferedOutputStream(System.out, 1 << 16), false,
            "UTF-8")) {
            new WireAdapter(System.in, out).run();
        } catch (WireAdapter.Malformed bad) {
            System.err.println(bad.getMessage());
            System.exit(1);
        }
    }
}
