package maplespread.config;

import maplespread.starvation.PriorityBoost;

/**
 * Whether starvation is told. {@code windowMs}: of one window; {@code windows}: that are looked at together;
 * {@code matters}: what share of the deadline a tenant must wait longer by; {@code log} and {@code console}:
 * where verdicts are shown; {@code bytesPerS}: most that is sent to the other dispatchers, all together;
 * {@code relief}: of starved tenants, null: none.
 */
public record StarvationSettings(
        int windowMs,
        int windows,
        double matters,
        boolean log,
        boolean console,
        long bytesPerS,
        PriorityBoost.Limits relief) {}
