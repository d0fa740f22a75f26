/**
 * The family of errors that operators are told in three words: what is wrong, what still works, what to do.
 * Owns its root alone; each error stands in the package that raises it. May call nothing.
 */
package maplespread.errors;
