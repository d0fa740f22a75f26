package maplespread.facade;

/**
 * The decision to send the request to a worker.
 *
 * @param number the request's attempts before this one
 * @param address the worker's address, or "" if the worker is not on the endpoint list
 * @param decidedUs when it was decided, on the clock of {@link DecisionService#nowUs}
 */
public record Attempt(InFlightRequest request, int number, String worker, String address, long decidedUs)
        implements Decision {}
