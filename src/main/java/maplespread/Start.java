package maplespread;

import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.function.BiConsumer;
import maplespread.config.Config;
import maplespread.config.ConfigException;
import maplespread.config.ConfigReader;
import maplespread.config.OperatorConfig;
import maplespread.config.OperatorReader;
import maplespread.http.HttpConnection;
import maplespread.http.HttpParser;
import maplespread.log.Event;
import maplespread.simulator.SimulatorAdapter;
import org.tinylog.Logger;

/**
 * The commands that {@link Main} and the command line both start. {@code serve} runs one dispatcher. {@code drill} runs
 * {@link maplespread.simulator.SimulatorAdapter} on standard input and output. {@code rehearse} runs a dispatcher that
 * sends itself one request and exits, so that the build can record an archive of the classes loaded.
 */
public final class Start {
    private Start() {}

    /**
     * Runs one dispatcher until the process is asked to terminate.
     *
     * @param operatorFile the path of the operators' file, or null
     */
    public static void serve(String operatorFile) {
        serve(operatorFile, (server, config) -> {});
    }

    /** Runs one dispatcher that sends itself one request and exits. */
    public static void rehearse() {
        serve(null, Start::rehearse);
    }

    private static void serve(String operatorFile, BiConsumer<DispatcherServer, Config> onStarted) {
        Hangups hangups = new Hangups();
        onHangup(hangups);
        try {
            Map<String, String> env = System.getenv();
            OperatorConfig operator = OperatorConfig.NONE;
            if (operatorFile != null && !operatorFile.isEmpty()) {
                operator = OperatorReader.file(operatorFile);
                if (operator.jsonLog()) {
                    Event.asJson();
                }
            }
            Config config = ConfigReader.fromEnvironment(env);
            operator.check(config);
            DispatcherServer server = new DispatcherServer(config, operator, new DispatcherServer.ConfigSource() {
                @Override
                public Config read() throws ConfigException {
                    return ConfigReader.again(env);
                }

                @Override
                public OperatorConfig operator() throws ConfigException {
                    return operatorFile == null || operatorFile.isEmpty()
                            ? OperatorConfig.NONE
                            : OperatorReader.file(operatorFile);
                }
            });
            hangups.setHandler(server::reload);
            // The JVM exits once its shutdown hooks have returned. This hook waits for the accepted requests and sets
            // the exit status to 0.
            Runtime.getRuntime()
                    .addShutdownHook(new Thread(
                            () -> {
                                server.stop();
                                Runtime.getRuntime().halt(0);
                            },
                            "shutdown"));
            server.start();
            onStarted.accept(server, config);
            server.lifecycle().await(Lifecycle.Phase.STOPPED);
        } catch (ConfigException e) {
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
     * Sends the dispatcher one request and exits. The build records this run in a class archive, so that a start with a
     * fraction of a core loads its classes from there: a restart is an outage for as long as it lasts.
     */
    private static void rehearse(DispatcherServer server, Config config) {
        for (String adminRequest : new String[] {"GET /admin/health", "GET /admin/stats"}) {
            try (HttpConnection connection = HttpConnection.dial(server.adminAddress(), 1000)) {
                connection.send((adminRequest + " HTTP/1.1\r\nHost: h\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
                connection.receive(HttpParser.response(1 << 16, (bytes, at, length) -> {}), 1000);
            } catch (IOException | IllegalStateException e) {
                Logger.warn("the rehearsal's admin request failed: {}", e.getMessage());
            }
        }
        try (HttpConnection connection = HttpConnection.dial(server.address(), 1000)) {
            Config.Names names = config.names();
            String requestClass = names.classes().get(0);
            String tenant =
                    names.tenants().isEmpty() ? "" : "X-Org: " + names.tenants().get(0) + "\r\n";
            for (String request : new String[] {"GET /ready", "POST /" + requestClass + "/x"}) {
                connection.send((request + " HTTP/1.1\r\nHost: h\r\nX-Txn: r\r\nX-Lane: " + requestClass + "\r\n"
                                + tenant + "Idempotency-Key: r\r\nX-Remaining-Ms: 200\r\nContent-Length: 0\r\n\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1));
                HttpParser response = HttpParser.response(1 << 16, (bytes, at, length) -> {});
                connection.receive(response, 1000);
                if (response.head().status() < 500) { // without workers an error is expected
                    Logger.warn(
                            "the rehearsal's request {} received the unexpected status {}",
                            request,
                            response.head().status());
                }
            }
        } catch (IOException e) {
            Logger.warn("the rehearsal's connection failed: {}", e.getMessage());
        }
        System.exit(0);
    }

    /** Keeps a SIGHUP that arrives before its handler is set; several such signals count as one. */
    static final class Hangups implements Runnable {
        private Runnable handler;
        private boolean pendingSignal;

        @Override
        public synchronized void run() {
            pendingSignal |= handler == null;
            if (handler != null) {
                handler.run();
            }
        }

        synchronized void setHandler(Runnable newHandler) {
            handler = newHandler;
            if (pendingSignal) {
                newHandler.run();
            }
        }
    }

    /** Replaces the JVM's default handling of SIGHUP, which is to exit. A start does this first. */
    static void onHangup(Runnable handler) {
        HangupSignal.handle(handler, warning -> Logger.warn("{}", warning));
    }

    /** Runs the decision service over the simulator's protocol on standard input and output. */
    public static void drill() throws IOException {
        try (PrintStream out = new PrintStream(new BufferedOutputStream(System.out, 1 << 16), false, "UTF-8")) {
            new SimulatorAdapter(System.in, out).run();
        } catch (SimulatorAdapter.Malformed e) {
            System.err.println(e.getMessage());
            System.exit(1);
        }
    }
}
