package maplespread;

import java.io.IOException;

/**
 * The way in. {@code serve}, {@code drill} and {@code rehearse} are started here as they were always called,
 * so that a start loads nothing of the command line's library; all else is {@link maplespread.cli.Cli}'s.
 */
public final class Main {
    private Main() {}

    /** Exits 2 on a wrong call or configuration, 1 on malformed input or a taken address. */
    public static void main(String[] args) throws IOException {
        String command = args.length == 0 ? "" : args[0];
        if (command.equals("serve") && args.length == 3 && args[1].equals("--operator")) {
            Start.serve(args[2]);
        } else if (command.equals("serve") && args.length == 1) {
            Start.serve(System.getenv("BALANCER_OPERATOR"));
        } else if (command.equals("drill") && args.length == 1) {
            Start.drill();
        } else if (command.equals("rehearse") && args.length == 1) {
            Start.rehearse();
        } else {
            System.exit(maplespread.cli.Cli.run(args));
        }
    }
}
