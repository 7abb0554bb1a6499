/*
 * Requests that crash the upstreams that run them.
 *
 * A request may crash each upstream that runs it while its caller keeps
 * resending it, so that the service would lose one upstream after the other.
 * After three crashes in a row, counted over all gateways, the request is
 * refused everywhere.
 *
 * A gateway that loses its links sees all its connections break. These would
 * count as crashes of whatever was sent on them, so a break counts only when it
 * is known that the links are not to blame.
 */
#include <auburnstile/internal/gateway_internal.h>

#define UNCONFIRMED_MAX 256

struct unconfirmed_crash {
	guint64 fingerprint;
	char *upstream;
	gint64 started_ms; /* of its incarnation */
};

static void unconfirmed_clear(void *data)
{
	g_free(((struct unconfirmed_crash *)data)->upstream);
}

GArray *aub_unconfirmed_crashes_new(void)
{
	GArray *crashes =
		g_array_new(FALSE, FALSE, sizeof(struct unconfirmed_crash));

	g_array_set_clear_func(crashes, unconfirmed_clear);
	return crashes;
}

guint64 aub_request_digest(struct aub_request *request)
{
	if (!request->digest)
		request->digest = aub_crash_fingerprint(request->request_line,
							request->host,
							request->body->data,
							request->body->len);
	return request->digest;
}

static void count_crash(struct aub_gateway *gateway, guint64 fingerprint)
{
	guint crash_count =
		aub_crash_counts_add(gateway->crash_counts, fingerprint,
				     aub_timer_now(gateway->options.timers));

	if (gateway->options.on_crash && crash_count > 1)
		gateway->options.on_crash(fingerprint, crash_count,
					  gateway->options.context);
}

void aub_request_record_crash(struct aub_request *request, const char *upstream,
			      bool sent_directly)
{
	struct aub_gateway *gateway = request->gateway;
	struct aub_known_upstream known = { 0 };
	struct unconfirmed_crash crash = {
		.fingerprint = aub_request_digest(request),
	};

	if (!sent_directly || !aub_egress_is_in_doubt(aub_egress_monitor_state(
				      gateway->options.egress))) {
		count_crash(gateway, crash.fingerprint);
		return;
	}
	if (gateway->unconfirmed_crashes->len >= UNCONFIRMED_MAX)
		return;
	(void)aub_placer_find_upstream(gateway->options.placer, upstream,
				       &known);
	crash.upstream = g_strdup(upstream);
	crash.started_ms = known.started_ms;
	g_array_append_val(gateway->unconfirmed_crashes, crash);
}

bool aub_request_is_known_to_crash(struct aub_request *request)
{
	return request->body_complete &&
	       aub_crash_counts_is_blocked(
		       request->gateway->crash_counts,
		       aub_request_digest(request),
		       aub_timer_now(request->gateway->options.timers));
}

void aub_request_clear_crashes(struct aub_request *request)
{
	if (request->body_complete && !request->body_discarded)
		aub_crash_counts_reset(request->gateway->crash_counts,
				       aub_request_digest(request));
}

static bool has_restarted(const struct aub_gateway *gateway,
			  const struct unconfirmed_crash *crash)
{
	struct aub_known_upstream known;

	return !aub_placer_find_upstream(gateway->options.placer,
					 crash->upstream, &known) ||
	       known.started_ms != crash->started_ms;
}

void aub_gateway_confirm_crashes(struct aub_gateway *gateway,
				 bool only_restarted)
{
	GArray *crashes = gateway->unconfirmed_crashes;

	for (guint i = 0; i < crashes->len; i++) {
		const struct unconfirmed_crash *crash =
			&g_array_index(crashes, struct unconfirmed_crash, i);

		if (!only_restarted || has_restarted(gateway, crash))
			count_crash(gateway, crash->fingerprint);
	}
	g_array_set_size(crashes, 0);
}
