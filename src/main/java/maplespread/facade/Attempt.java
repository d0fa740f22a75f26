package maplespread.facade;

/** One attempt: send the transaction to this worker. {@code number} counts from 0. */
public record Attempt(InFlightRequest request, int number, String worker, String address, long decidedUs)
        implements Decision {}
