/**
 * Fleets in virtual time whose tenants are starved, crowded, greedy, long or fair, with the real windows,
 * exchange, view and judge. Seeded; the truth is known, so each verdict is right or wrong.
 */
package maplespread.lab.starvation;
