/**
 * The root of the exceptions that operators are told in three parts: what is wrong, what still works, what to do. Each
 * exception stands in the package that throws it. No state, no threads; imports nothing.
 */
package maplespread.errors;
