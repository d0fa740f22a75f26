package maplespread;

import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import maplespread.drill.WireAdapter;

/** The command line: {@code drill} speaks the simulator's wire on standard input and output. */
public final class Main {
    private Main() { }

    /** Runs the command; exits 2 on a wrong call, 1 on malformed input. */
    public static void main(String[] args) throws IOException {
        if (args.length != 1 || !args[0].equals("drill")) {
            System.err.println("usage: java -jar maplespread.jar drill");
            System.exit(2);
        }
        try (PrintStream out = new PrintStream(new BufferedOutputStream(System.out, 1 << 16), false,
            "UTF-8")) {
            new WireAdapter(System.in, out).run();
        } catch (WireAdapter.Malformed bad) {
            System.err.println(bad.getMessage());
            System.exit(1);
        }
    }
}
