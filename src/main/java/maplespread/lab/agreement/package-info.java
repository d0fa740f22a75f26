/**
 * The stand-in network between electors and those who propose, on a virtual clock, with every fault by seed;
 * and the check that what was decided is one sequence.
 */
package maplespread.lab.agreement;
