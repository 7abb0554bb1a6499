/*
 * The retry budget of a service, across its placers.
 *
 * The budget binds the sum over all gateways. Each placer counts the requests
 * that it decides on, which earn the share of retries that depends on them;
 * the slack is divided among processes that may place at the same time. A
 * placer tells its deputy what it has counted, so that a takeover does not
 * start with an account that is full although most of it has been spent.
 */
#include <auburnstile/internal/decision_log.h>
#include <auburnstile/internal/placer_internal.h>

double aub_placer_slack_withheld(const struct aub_placer *placer, bool fallback)
{
	const struct aub_peers *peers = placer->options.peers;
	guint known = MAX(aub_peers_all(peers)->len, 1);

	if (fallback)
		return 1 - 1.0 / known;
	return 1 - aub_placer_granted_share(placer);
}

void aub_placer_send_retry_use(struct aub_placer *placer, const char *service)
{
	struct aub_peers *peers = placer->options.peers;
	const GPtrArray *ranked = aub_peers_ranked(peers, service);
	struct aub_retry_use use;
	struct aub_retry_use_message *message;

	if (!aub_placement_take_retry_use(aub_placer_placement(placer, service),
					  &use))
		return;
	message = (struct aub_retry_use_message *)aub_message_new(
		AUB_MESSAGE_RETRY_USE);
	aub_string_set(&message->service, service);
	message->requests = use.requests;
	message->retries = use.retries;
	for (guint i = 0; i < ranked->len && i < AUB_INFORMED_PER_SERVICE;
	     i++) {
		const struct aub_peer *peer = g_ptr_array_index(ranked, i);

		if (!peer->self)
			aub_peers_send(peers, peer, &message->base);
	}
	aub_message_free(&message->base);
}

void aub_placer_apply_retry_use(struct aub_placer *placer,
				const struct aub_retry_use_message *message)
{
	const struct aub_retry_use use = {
		.requests = message->requests,
		.retries = message->retries,
	};

	aub_placement_apply_retry_use(aub_placer_placement(placer,
							   message->service),
				      &use,
				      aub_timer_now(placer->options.timers));
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

void aub_placer_log_retry_counts(struct aub_placer *placer, const char *service,
				 gint64 now_us)
{
	struct aub_retry_counts *logged = logged_counts(placer, service);
	struct aub_placement_stats stats;
	const struct aub_retry_counts *now = &stats.retry_counts;

	aub_placement_get_stats(aub_placer_placement(placer, service), now_us,
				&stats);
	if (now->admitted == logged->admitted &&
	    now->further == logged->further)
		return;
	aub_log_begin(AUB_LOG_RETRY_COUNTS);
	aub_log_text("service", service);
	aub_log_number("requests", (gint64)(now->requests - logged->requests));
	aub_log_number("counted", (gint64)(now->counted - logged->counted));
	aub_log_number("told", (gint64)(now->told - logged->told));
	aub_log_number("admitted", (gint64)(now->admitted - logged->admitted));
	aub_log_number("attempts", (gint64)(now->attempts - logged->attempts));
	aub_log_number("further", (gint64)(now->further - logged->further));
	aub_log_end();
	*logged = *now;
}
