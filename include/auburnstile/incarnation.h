/*
 * Incarnations: numbers that tell one start of a process from all others.
 */
#ifndef AUBURNSTILE_INCARNATION_H
#define AUBURNSTILE_INCARNATION_H

#include <glib.h>

G_BEGIN_DECLS

/*
 * A number for this start: milliseconds since 1970 above 20 random bits, so
 * that a later start has a higher one.
 *
 * Failure: a whole zone starts in the same moment, two entries get the same
 * number, and one runs requests under keys that the other keeps. Enough: a
 * pair that starts in one millisecond is alike once in a million.
 */
guint64 aub_incarnation_new(void);

G_END_DECLS

#endif
