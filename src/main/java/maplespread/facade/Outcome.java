package maplespread.facade;

/** How a branch or a probe ended. TURNED_AWAY, NOT_CONNECTED and NEVER_SENT prove that it never ran. */
public enum Outcome { SERVED, ERROR, TURNED_AWAY, TIMED_OUT, NOT_CONNECTED, RESET, CANCELLED, NEVER_SENT }
