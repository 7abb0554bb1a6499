/*
 * Incarnation numbers, which identify one start of a process.
 */
#ifndef AUBURNSTILE_INCARNATION_H
#define AUBURNSTILE_INCARNATION_H

#include <glib.h>

G_BEGIN_DECLS

/*
 * Returns a new incarnation: milliseconds since the Unix epoch, shifted left
 * by 20 random bits, so that a later start has a higher number.
 *
 * The random bits are needed when all VMs of a zone start at the same moment:
 * two entries with equal incarnations would both own the same idempotency keys
 * and could execute a request twice. Two processes that start in the same
 * millisecond collide with a probability of one in a million.
 */
guint64 aub_incarnation_new(void);

G_END_DECLS

#endif
