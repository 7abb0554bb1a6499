/*
 * What a gateway earns of a service's retries.
 *
 * The retry budget binds the sum over all gateways, while placers are taken
 * over, paused, cut off, or several at once. Credit therefore has one source:
 * the gateway that has the caller's request earns its share of a retry, and
 * each gateway its part of the slack over time. It hands the credit over with
 * its placement requests, to one process each time, and whoever admits retries
 * spends what it was handed. A message that is lost or late loses credit, and
 * none is ever handed over twice.
 */
#ifndef AUBURNSTILE_INTERNAL_RETRY_EARNINGS_H
#define AUBURNSTILE_INTERNAL_RETRY_EARNINGS_H

#include <glib.h>
#include <stdbool.h>

G_BEGIN_DECLS

/* What one gateway may earn. */
struct aub_retry_terms {
	double ratio; /* retries for each request */
	double slack; /* retries beyond that in a window, its part */
	gint64 window_us;
};

struct aub_retry_earnings {
	double credit; /* retries, at `updated_us` */
	gint64 updated_us;
};

/*
 * The gateway earns from `since_us` on: from its start, so that a restart gains
 * nothing, or from earlier on if it can't have earned anything before.
 */
void aub_retry_earnings_init(struct aub_retry_earnings *earnings,
			     gint64 since_us);
/*
 * Returns the credit that goes with a placement request, in thousandths of a
 * retry. A `first` request, not placed before, earns its share. A reserve is
 * held back for retries, so that it goes to the process that is asked for them,
 * also right after a takeover.
 */
guint32 aub_retry_earnings_hand_over(struct aub_retry_earnings *earnings,
				     const struct aub_retry_terms *terms,
				     bool first, bool retry, gint64 now_us);

G_END_DECLS

#endif
