/*
 * The retry budget of a service: the credit that this gateway hands over to
 * placers, and what is logged of it.
 */
#include <auburnstile/internal/decision_log.h>
#include <auburnstile/internal/placer_internal.h>

static struct aub_retry_earnings *earnings_of(struct aub_placer *placer,
					      const char *service)
{
	const struct aub_placer_options *options = &placer->options;
	struct aub_retry_earnings *earnings =
		g_hash_table_lookup(placer->retry_earnings, service);

	if (earnings)
		return earnings;
	earnings = g_new(struct aub_retry_earnings, 1);
	aub_retry_earnings_init(earnings,
				options->bootstrap ?
					placer->start_us -
						options->limits.window_us :
					placer->start_us);
	g_hash_table_insert(placer->retry_earnings, g_strdup(service),
			    earnings);
	return earnings;
}

/*
 * The slack is divided among all gateways that are known, whether they live or
 * not. A process that has just started knows too few of them.
 */
static struct aub_retry_terms terms_of(const struct aub_placer *placer)
{
	const struct aub_placement_limits *limits = &placer->options.limits;
	guint known = aub_peers_all(placer->options.peers)->len;
	double slack = aub_placer_startup_is_over(placer) ?
			       limits->retry_slack / MAX(known, 1) :
			       0;

	return (struct aub_retry_terms){
		.ratio = limits->retry_ratio,
		.slack = slack,
		.window_us = limits->window_us,
	};
}

guint32 aub_placer_hand_over_retry_credit(struct aub_placer *placer,
					  struct aub_ticket *ticket)
{
	const struct aub_retry_terms terms = terms_of(placer);
	guint32 credit = aub_retry_earnings_hand_over(
		earnings_of(placer, ticket->service), &terms,
		ticket->request.first, ticket->request.retry,
		aub_timer_now(placer->options.timers));

	aub_placement_count_earnings(aub_placer_placement(placer,
							  ticket->service),
				     ticket->request.first, credit);
	ticket->request.first = false;
	return credit;
}

void aub_placer_count_attempt(struct aub_placer *placer, const char *service,
			      bool further)
{
	aub_placement_count_attempt(aub_placer_placement(placer, service),
				    further);
}

static struct aub_retry_counts *logged_counts(struct aub_placer *placer,
					      const char *service)
{
	struct aub_retry_counts *logged =
		g_hash_table_lookup(placer->retry_counts_logged, service);

	if (logged)
		return logged;
	logged = g_new0(struct aub_retry_counts, 1);
	g_hash_table_insert(placer->retry_counts_logged, g_strdup(service),
			    logged);
	return logged;
}

void aub_placer_log_retry_counts(struct aub_placer *placer, const char *service)
{
	struct aub_retry_counts *logged = logged_counts(placer, service);
	struct aub_retry_counts now;

	aub_placement_get_retry_counts(aub_placer_placement(placer, service),
				       &now);
	if (now.admitted == logged->admitted &&
	    now.taken_back == logged->taken_back &&
	    now.further == logged->further)
		return;
	aub_log_begin(AUB_LOG_RETRY_COUNTS);
	aub_log_text("service", service);
	aub_log_number("requests", (gint64)(now.requests - logged->requests));
	aub_log_number("issued", (gint64)(now.issued - logged->issued));
	aub_log_number("received", (gint64)(now.received - logged->received));
	aub_log_number("admitted", (gint64)(now.admitted - logged->admitted));
	aub_log_number("taken_back",
		       (gint64)(now.taken_back - logged->taken_back));
	aub_log_number("attempts", (gint64)(now.attempts - logged->attempts));
	aub_log_number("further", (gint64)(now.further - logged->further));
	aub_log_end();
	*logged = now;
}
