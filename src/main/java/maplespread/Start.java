package maplespread;

import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.Consumer;
import maplespread.config.Config;
import maplespread.config.ConfigError;
import maplespread.config.ConfigReader;
import maplespread.config.Operator;
import maplespread.config.OperatorReader;
import maplespread.drill.WireAdapter;
import maplespread.http.HttpConnection;
import maplespread.http.HttpParser;
import maplespread.log.Event;
import org.tinylog.Logger;
import sun.misc.Signal;

/**
 * What the way in and the command line both start: {@code serve} is one real dispatcher, {@code drill} speaks
 * the simulator's wire on standard input and output, {@code rehearse} serves itself one request and ends.
 */
public final class Start {
    private Start() { }

    /** One dispatcher until it is told to end; {@code operator}: the operators' file, or null. */
    public static void serve(String operator) {
        serve(operator, server -> { });
    }

    /** One dispatcher that asks itself, and ends. */
    public static void rehearse() {
        serve(null, Start::rehearse);
    }

    private static void serve(String file, Consumer<Server> started) {
        try {
            Map<String, String> env = System.getenv();
            Operator operator = Operator.NONE;
            if (file != null && !file.isEmpty()) {
                operator = OperatorReader.file(file);
                if (operator.jsonLog()) {
                    Event.asJson();
                }
            }
            Config config = ConfigReader.fromEnvironment(env);
            operator.check(config);
            Server server = new Server(config, operator, new Server.Source() {
                @Override public Config read() throws ConfigError {
                    return ConfigReader.again(env);
                }

                @Override public Operator operator() throws ConfigError {
                    return file == null || file.isEmpty() ? Operator.NONE : OperatorReader.file(file);
                }
            });
            onHangup(server::reload);
            // The JVM ends when its hooks have: this one waits for the taken work, and makes the status 0.
            Runtime.getRuntime().addShutdownHook(new Thread(() -> {
                server.stop();
                Runtime.getRuntime().halt(0);
            }, "shutdown"));
            server.start();
            started.accept(server);
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

    /**
     * Asks the dispatcher once and ends it. The build has this run recorded in a class archive, from which a
     * start on a part of a core takes its classes: a restart is an outage for as long as it lasts.
     */
    private static void rehearse(Server server) {
        for (String call : new String[] {"GET /admin/health", "GET /admin/stats"}) {
            try (HttpConnection link = HttpConnection.dial(server.consoleAddress(), 1000)) {
                link.send((call + " HTTP/1.1\r\nHost: h\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
                link.receive(HttpParser.response(1 << 16, (bytes, at, length) -> { }), 1000);
            } catch (IOException | IllegalStateException e) {
                Logger.warn("the rehearsal's call was cut short: {}", e.getMessage());
            }
        }
        try (HttpConnection link = HttpConnection.dial(server.address(), 1000)) {
            for (String request : new String[] {"GET /ready", "POST /catalogue-page/x"}) {
                link.send((request + " HTTP/1.1\r\nHost: h\r\nX-Txn: r\r\nX-Lane: catalogue-page\r\n"
                    + "X-Org: marfim\r\nX-Remaining-Ms: 200\r\nContent-Length: 0\r\n\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1));
                link.receive(HttpParser.response(1 << 16, (bytes, at, length) -> { }), 1000);
            }
        } catch (IOException e) {
            Logger.warn("the rehearsal was cut short: {}", e.getMessage());
        }
        System.exit(0);
    }

    /** Guards against the JVM's own answer to SIGHUP, which is to exit. */
    static void onHangup(Runnable work) {
        try {
            Signal.handle(new Signal("HUP"), signal -> work.run());
        } catch (IllegalArgumentException e) {
            Logger.warn("SIGHUP cannot be heard here: {}", e.getMessage());
        }
    }

    /** The decisions on the simulator's wire. */
    public static void drill() throws IOException {
        try (PrintStream out = new PrintStream(new BufferedOutputStream(System.out, 1 << 16), false,
            "UTF-8")) {
            new WireAdapter(System.in, out).run();
        } catch (WireAdapter.Malformed bad) {
            System.err.println(bad.getMessage());
            System.exit(1);
        }
    }
}
