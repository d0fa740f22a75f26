package maplespread.caller;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.Semaphore;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import maplespread.config.Config;
import maplespread.facade.Dispatcher;
import maplespread.facade.Ends;
import maplespread.figures.Figures;
import maplespread.worker.AttemptRunner;

/**
 * What all caller legs share. {@code sizes}: how much may be held at present; {@code serving}: false from the
 * start of the shutdown on; {@code unready}: why the workers known are not to be relied on, or null; {@code
 * parting}: whether connections are to end after their present requests; {@code lastUs}: no request may last
 * beyond it; {@code ends}: hears of each job, or null; {@code turns}: gives jobs their turn, or null.
 */
public record Service(
        Supplier<Config> current,
        Dispatcher dispatcher,
        AttemptRunner branches,
        ExecutorService transactions,
        Supplier<Config.Sizes> sizes,
        Room room,
        Semaphore largeRoom,
        Ids ids,
        Figures figures,
        BooleanSupplier serving,
        Supplier<String> unready,
        BooleanSupplier parting,
        LongSupplier lastUs,
        Ends ends,
        Turns turns) {
    /** Bodies above this length are few, and so many at once fit the heap. */
    static final int LARGE = 8 * 1024;

    private static final int LARGE_AT_ONCE = 48;

    /** With all room free. */
    public Service(
            Supplier<Config> current,
            Dispatcher dispatcher,
            AttemptRunner branches,
            ExecutorService transactions,
            Supplier<Config.Sizes> sizes,
            Figures figures,
            BooleanSupplier serving,
            Supplier<String> unready,
            BooleanSupplier parting,
            LongSupplier lastUs,
            Ends ends,
            Turns turns) {
        this(
                current,
                dispatcher,
                branches,
                transactions,
                sizes,
                new Room(() -> sizes.get().transactions()),
                new Semaphore(LARGE_AT_ONCE),
                new Ids(() -> current.get().times().longestMs()),
                figures,
                serving,
                unready,
                parting,
                lastUs,
                ends,
                turns);
    }

    /** What holds at present; asked once for each request, which keeps to it. */
    Config config() {
        return current.get();
    }
}
