package maplespread.agreement;

import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;

/** One member's part. */
public final class Agreement {
    private final AgreementSettings set;
    private final AgreementSink sink;
    private Value known;

    /** {@code boot}: Unix milliseconds, above that of every earlier run under this name. */
    public Agreement(AgreementSettings set, long boot, long seed, long now, AgreementSink sink) {
        this.set = set;
        this.sink = sink;
    }

    public long tick(long now) {
        return now;
    }

    public void received(long now, Word w) {
    }

    /** Who is there, electors or not: they are told what is decided. */
    public void members(Collection<String> names) {
    }

    public void change(long now, Change c, long giveUpAt, Consumer<Result> done) {
    }

    /** Moves to these electors, one at a time. */
    public void electors(long now, List<String> next, long giveUpAt, Consumer<Result> done) {
    }

    /** Begins anew; {@code wallMs}: Unix time. */
    public void found(long now, long wallMs, List<String> electors, long giveUpAt, Consumer<Result> done) {
    }

    public Value known() {
        return known;
    }

    public boolean blind() {
        return true;
    }
}
