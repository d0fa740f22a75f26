package maplespread.facade;

/**
 * The decision to send the request to a worker.
 *
 * @param number number of the attempt within its request, from 0
 * @param address the worker's address, or "" if the worker is not on the endpoint list
 * @param decidedUs when it was decided, on the clock of {@link DecisionService#nowUs}
 */
public record Attempt(InFlightRequest request, int number, String worker, String address, long decidedUs)
        implements Decision {}
