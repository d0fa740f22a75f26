package maplespread.worker;

/** Which idle connections may carry a request. */
enum ConnectionReuse {
    /** Any: the request may be repeated if the connection turns out to be broken. */
    ANY,
    /** Any, but none while reused connections often break, so that a break is not taken for the peer's. */
    IF_RELIABLE,
    /**
     * As {@link #IF_RELIABLE}, and only after a pause since the last response. Some workers send a second response late,
     * and a rejection does not identify its request: it would be read as proof that this one never ran.
     */
    IF_SETTLED
}
