package maplespread;

import java.io.IOException;

/**
 * The entry point of the program. Starts {@code serve}, {@code drill} and {@code rehearse} directly, so that a start
 * loads no class of the command line library, and passes all other arguments to {@link maplespread.cli.Cli}.
 */
public final class Main {
    private Main() {}

    /** Exits with 2 on invalid arguments or configuration, with 1 on malformed input or an address in use. */
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
