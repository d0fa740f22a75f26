package maplespread.lab;

import com.google.gson.GsonBuilder;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** What a measurement has found: rows of a table, and aims that hold or not. */
public final class Report {
    private final String title;
    private final PrintWriter out;
    private final JsonArray rows = new JsonArray();
    private final JsonArray aims = new JsonArray();
    private final List<String> missed = new ArrayList<>();

    public Report(String title, PrintWriter out) {
        this.title = title;
        this.out = out;
    }

    /** A row: pairs of a name and its figure, in turn; printed at once. */
    public void row(String what, Object... pairs) {
        JsonObject o = new JsonObject();
        o.addProperty("what", what);
        StringBuilder line = new StringBuilder(String.format("%-34s", what));
        for (int i = 0; i + 1 < pairs.length; i += 2) {
            Object v = pairs[i + 1];
            String text =
                    v instanceof Double d ? String.format(Locale.ROOT, d >= 100 ? "%.0f" : "%.2f", d) : v.toString();
            line.append("  ").append(pairs[i]).append(' ').append(text);
            if (v instanceof Number n) {
                o.addProperty((String) pairs[i], n);
            } else {
                o.addProperty((String) pairs[i], text);
            }
        }
        rows.add(o);
        out.println(line);
        out.flush();
    }

    /** An aim: met where the figure is at most the limit. */
    public void aim(String what, double figure, double limit) {
        boolean met = figure <= limit;
        JsonObject o = new JsonObject();
        o.addProperty("aim", what);
        o.addProperty("figure", figure);
        o.addProperty("limit", limit);
        o.addProperty("met", met);
        aims.add(o);
        String line = String.format(Locale.ROOT, "%s: %.2f, at most %.2f wanted", what, figure, limit);
        if (!met) {
            missed.add(line);
        }
    }

    /** Prints which aims hold, writes the file where one is named; whether all hold. */
    public boolean end(String file) throws IOException {
        out.println();
        out.println(
                missed.isEmpty()
                        ? title + ": all " + aims.size() + " aims hold"
                        : title + ": " + (aims.size() - missed.size()) + " of " + aims.size() + " aims hold; missed:");
        missed.forEach(m -> out.println("  " + m));
        out.flush();
        if (file != null) {
            JsonObject all = new JsonObject();
            all.addProperty("measure", title);
            all.addProperty("cores", Runtime.getRuntime().availableProcessors());
            all.add("rows", rows);
            all.add("aims", aims);
            Files.writeString(
                    Path.of(file),
                    new GsonBuilder().setPrettyPrinting().create().toJson(all));
        }
        return missed.isEmpty();
    }
}
