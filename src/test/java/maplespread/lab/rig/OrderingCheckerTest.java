package maplespread.lab.rig;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import maplespread.lab.rig.OrderingChecker.Asked;
import maplespread.lab.rig.OrderingChecker.Got;
import maplespread.lab.rig.OrderingChecker.Ran;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Made-up records: what must be told as wrong is, and what only looks so is not. */
class OrderingCheckerTest {
    /**
     * Runs as {@code id key start end}, jobs as {@code id key sent answered got}; an id that begins with o
     * may not be repeated. Wrongs: overlaps, inversions, twice, unanswered, done without a run.
     */
    @ParameterizedTest(name = "{0}")
    @CsvSource(delimiter = '|', textBlock = """
        in turn            | a k 1 2, b k 2 3          | a k 0 3 DONE, b k 0 4 DONE                | 0 0 0 0 0
        at once            | a k 1 3, b k 2 4          | a k 0 5 DONE, b k 0 5 DONE                | 1 0 0 0 0
        within             | a k 1 9, b k 2 3, c k 4 5 | a k 0 9 DONE, b k 0 9 DONE, c k 0 9 DONE  | 2 0 0 0 0
        other keys         | a k 1 3, b l 2 4          | a k 0 5 DONE, b l 0 5 DONE                | 0 0 0 0 0
        never ended        | a k 1 99, b k 8 9         | a k 0 2 DOUBT, b k 3 10 DONE              | 1 0 0 0 0
        itself             | a k 1 3, a k 2 4          | a k 0 5 DONE                              | 0 0 0 0 0
        its lost attempt   | a k 1 9, a k 2 3, b k 5 6 | a k 0 4 DONE, b k 4 7 DONE                | 1 0 0 0 0
        turned round       | b k 4 5, a k 6 7          | a k 0 2 DONE, b k 3 8 DONE                | 0 1 0 0 0
        one of three       | a k 1 2, c k 6 7, b k 8 9 | a k 0 3 DONE, b k 4 5 DONE, c k 6 9 DONE  | 0 1 0 0 0
        far behind         | b k 4 5, c k 6 7, a k 8 9 | a k 0 1 DONE, b k 2 5 DONE, c k 5 9 DONE  | 0 2 0 0 0
        a late attempt     | a k 1 2, b k 4 5, a k 6 7 | a k 0 2 DONE, b k 3 8 DONE                | 0 1 0 0 0
        both were on       | b k 4 5, a k 6 7          | a k 0 8 DONE, b k 3 8 DONE                | 0 0 0 0 0
        in doubt           | b k 4 5, a k 6 7          | a k 0 2 DOUBT, b k 3 8 DONE               | 0 0 0 0 0
        its caller died    | b k 4 5, a k 6 7          | a k 0 2 EXCUSED, b k 3 8 DONE             | 0 0 0 0 0
        refused, then ran  | b k 4 5, a k 6 7          | a k 0 2 REFUSED, b k 3 8 DONE             | 0 1 0 0 0
        twice              | o1 k 1 2, o1 k 3 4        | o1 k 0 5 DONE                             | 0 0 1 0 0
        twice, in doubt    | o1 k 1 2, o1 k 3 4        | o1 k 0 5 DOUBT                            | 0 0 1 0 0
        repeated           | a k 1 2, a k 3 4          | a k 0 5 DONE                              | 0 0 0 0 0
        no answer          | a k 1 2                   | a k 0 0 NOTHING                           | 0 0 0 1 0
        done by nobody     | b k 1 2                   | a k 0 3 DONE, b k 0 3 DONE                | 0 0 0 0 1
        """)
    void tells(String what, String ran, String asked, String wrongs) {
        List<Ran> runs = new ArrayList<>();
        for (String r : ran.split(", ")) {
            String[] f = r.split(" ");
            runs.add(new Ran(f[0], f[1], Long.parseLong(f[2]), Long.parseLong(f[3])));
        }
        List<Asked> jobs = new ArrayList<>();
        for (String a : asked.split(", ")) {
            String[] f = a.split(" ");
            jobs.add(new Asked(
                    f[0], f[1], f[0].startsWith("o"), Long.parseLong(f[2]), Long.parseLong(f[3]), Got.valueOf(f[4])));
        }
        OrderingChecker.Verdict v = OrderingChecker.judge(runs, jobs);
        assertEquals(
                wrongs,
                v.overlaps() + " " + v.inversions() + " " + v.twice() + " " + v.unanswered() + " " + v.unrun(),
                v.toString());
    }
}
