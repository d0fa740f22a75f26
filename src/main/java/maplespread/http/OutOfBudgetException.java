package maplespread.http;

import java.io.IOException;

/** Thrown where the {@link MemoryBudget} has no room for more of a message. */
public final class OutOfBudgetException extends IOException {
    private static final long serialVersionUID = 1;

    public OutOfBudgetException() {
        super("no memory for more of this message");
    }
}
