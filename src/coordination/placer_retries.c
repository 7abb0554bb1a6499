/*
 * The retry budget of a service, across its placers.
 *
 * The budget binds the sum over all gateways. Each placer counts the requests
 * that it decides on, which earn the share of retries that depends on them;
 * the slack is divided among processes that may place at the same time. A
 * placer tells its deputy what it has counted, so that a takeover does not
 * start with an account that is full although most of it has been spent.
 */
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
