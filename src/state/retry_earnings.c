/*
 * A token bucket of the slack. In any window a gateway hands over no more than
 * what it holds and what flows in, which together are its part of the slack.
 */
#include <auburnstile/internal/retry_earnings.h>

#include <math.h>

/* Shares of the gateway's part of the slack. */
#define FLOW_SHARE 0.7 /* earned in a window */
#define HELD_MAX_SHARE 0.3 /* held at most */
#define RESERVE_SHARE 0.2 /* held back for retries */

void aub_retry_earnings_init(struct aub_retry_earnings *earnings,
			     gint64 since_us)
{
	*earnings = (struct aub_retry_earnings){ .updated_us = since_us };
}

static void earn(struct aub_retry_earnings *earnings,
		 const struct aub_retry_terms *terms, gint64 now_us)
{
	double elapsed;

	/* Not known yet: it is earned later. */
	if (terms->slack <= 0)
		return;
	elapsed = (double)MAX(now_us - earnings->updated_us, 0) /
		  (double)terms->window_us;

	earnings->credit =
		MIN(earnings->credit + FLOW_SHARE * terms->slack * elapsed,
		    HELD_MAX_SHARE * terms->slack);
	earnings->updated_us = now_us;
}

guint32 aub_retry_earnings_hand_over(struct aub_retry_earnings *earnings,
				     const struct aub_retry_terms *terms,
				     bool first, bool retry, gint64 now_us)
{
	double reserve = retry ? 0 : RESERVE_SHARE * terms->slack;
	double slack_thousandths;

	earn(earnings, terms, now_us);

	slack_thousandths = floor(1000 * MAX(earnings->credit - reserve, 0));
	earnings->credit -= slack_thousandths / 1000;
	return (guint32)(slack_thousandths +
			 (first ? floor(1000 * terms->ratio) : 0));
}
