package maplespread.facade;

/**
 * The decision to send the request to this worker. {@code number} counts the request's attempts from 0; {@code
 * decidedUs} is on {@link DecisionService#nowUs}.
 */
public record Attempt(InFlightRequest request, int number, String worker, String address, long decidedUs)
        implements Decision {}
