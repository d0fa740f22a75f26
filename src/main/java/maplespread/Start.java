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
 * What {@link Main} and the command line both start: {@code serve} is one real dispatcher; {@code drill} runs {@link
 * maplespread.simulator.SimulatorAdapter} on standard input and output; {@code rehearse} is a dispatcher that serves itself
 * one request and ends, so that the build can record an archive of the classes loaded.
 */
public final class Start {
    private Start() {}

    /** One dispatcher until it is told to end; {@code operator}: the operators' file, or null. */
    public static void serve(String operator) {
        serve(operator, (server, config) -> {});
    }

    /** One dispatcher that sends itself one request, and ends. */
    public static void rehearse() {
        serve(null, Start::rehearse);
    }

    private static void serve(String file, BiConsumer<DispatcherServer, Config> started) {
        Hangups hangups = new Hangups();
        onHangup(hangups);
        try {
            Map<String, String> env = System.getenv();
            OperatorConfig operator = OperatorConfig.NONE;
            if (file != null && !file.isEmpty()) {
                operator = OperatorReader.file(file);
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
                    return file == null || file.isEmpty() ? OperatorConfig.NONE : OperatorReader.file(file);
                }
            });
            hangups.to(server::reload);
            // The JVM ends when its hooks have: this one waits for the taken work, and makes the status 0.
            Runtime.getRuntime()
                    .addShutdownHook(new Thread(
                            () -> {
                                server.stop();
                                Runtime.getRuntime().halt(0);
                            },
                            "shutdown"));
            server.start();
            started.accept(server, config);
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
     * Asks the dispatcher once and ends it. The build has this run recorded in a class archive, from which a
     * start on a part of a core takes its classes: a restart is an outage for as long as it lasts.
     */
    private static void rehearse(DispatcherServer server, Config config) {
        for (String call : new String[] {"GET /admin/health", "GET /admin/stats"}) {
            try (HttpConnection link = HttpConnection.dial(server.adminAddress(), 1000)) {
                link.send((call + " HTTP/1.1\r\nHost: h\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
                link.receive(HttpParser.response(1 << 16, (bytes, at, length) -> {}), 1000);
            } catch (IOException | IllegalStateException e) {
                Logger.warn("the rehearsal's call was cut short: {}", e.getMessage());
            }
        }
        try (HttpConnection link = HttpConnection.dial(server.address(), 1000)) {
            Config.Names names = config.names();
            String lane = names.classes().get(0);
            String tenant =
                    names.tenants().isEmpty() ? "" : "X-Org: " + names.tenants().get(0) + "\r\n";
            for (String request : new String[] {"GET /ready", "POST /" + lane + "/x"}) {
                link.send((request + " HTTP/1.1\r\nHost: h\r\nX-Txn: r\r\nX-Lane: " + lane + "\r\n" + tenant
                                + "Idempotency-Key: r\r\nX-Remaining-Ms: 200\r\nContent-Length: 0\r\n\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1));
                HttpParser answer = HttpParser.response(1 << 16, (bytes, at, length) -> {});
                link.receive(answer, 1000);
                if (answer.head().status() < 500) { // no worker is known
                    Logger.warn(
                            "the rehearsal of {} was answered {}",
                            request,
                            answer.head().status());
                }
            }
        } catch (IOException e) {
            Logger.warn("the rehearsal was cut short: {}", e.getMessage());
        }
        System.exit(0);
    }

    /** Signals that come before there is anybody to hear them are kept: several count as one. */
    static final class Hangups implements Runnable {
        private Runnable heard;
        private boolean early;

        @Override
        public synchronized void run() {
            early |= heard == null;
            if (heard != null) {
                heard.run();
            }
        }

        synchronized void to(Runnable work) {
            heard = work;
            if (early) {
                work.run();
            }
        }
    }

    /** Guards against the JVM's own answer to SIGHUP, which is to exit: the first thing that a start does. */
    static void onHangup(Runnable work) {
        HangupSignal.handle(work, warning -> Logger.warn("{}", warning));
    }

    /** The decisions on the simulator's wire. */
    public static void drill() throws IOException {
        try (PrintStream out = new PrintStream(new BufferedOutputStream(System.out, 1 << 16), false, "UTF-8")) {
            new SimulatorAdapter(System.in, out).run();
        } catch (SimulatorAdapter.Malformed bad) {
            System.err.println(bad.getMessage());
            System.exit(1);
        }
    }
}
