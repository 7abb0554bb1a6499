/*
 * A gateway's own links to the upstreams, as far as its requests are concerned:
 * whether there is a way to an upstream, and what becomes of the attempts that
 * are in progress when the links are lost.
 */
#include <auburnstile/internal/gateway_internal.h>

static gint64 now_us(const struct aub_gateway *gateway)
{
	return aub_timer_now(gateway->options.timers);
}

bool aub_gateway_links_are_up(const struct aub_gateway *gateway)
{
	return aub_egress_monitor_state(gateway->options.egress)->state ==
	       AUB_EGRESS_UP;
}

bool aub_gateway_has_path(struct aub_gateway *gateway, const char *upstream)
{
	const struct aub_egress *egress =
		aub_egress_monitor_state(gateway->options.egress);

	return egress->state != AUB_EGRESS_DOWN ||
	       !aub_egress_needs_relay(egress, upstream, now_us(gateway)) ||
	       aub_peers_pick_relay(gateway->options.peers, upstream,
				    gateway->relay_turn, now_us(gateway));
}

/* Returns a request that has not been dealt with in this outage. */
static struct aub_request *next_affected(struct aub_gateway *gateway)
{
	for (GList *caller = gateway->callers.head; caller;
	     caller = caller->next) {
		GList *link =
			((struct aub_caller *)caller->data)->requests.head;

		for (; link; link = link->next) {
			struct aub_request *request = link->data;

			if (request->attempt &&
			    request->link_outage != gateway->link_outages)
				return request;
		}
	}
	return NULL;
}

/* Dealing with a request may free it, and others of its connection. */
static void on_links_down(struct aub_gateway *gateway)
{
	bool silent = aub_egress_is_silent(aub_egress_monitor_state(
						   gateway->options.egress),
					   now_us(gateway));
	struct aub_request *request;

	gateway->link_outages++;
	while ((request = next_affected(gateway))) {
		request->link_outage = gateway->link_outages;
		aub_attempt_on_links_down(request->attempt, silent);
	}
}

void aub_gateway_on_egress_state(struct aub_gateway *gateway,
				 enum aub_egress_state state)
{
	if (state == AUB_EGRESS_DOWN) {
		gateway->links_were_down = true;
		on_links_down(gateway);
	} else if (state == AUB_EGRESS_UP && gateway->links_were_down) {
		gateway->links_were_down = false;
		aub_gateway_confirm_crashes(gateway, true);
	}
}

void aub_gateway_on_links_cleared(struct aub_gateway *gateway)
{
	aub_gateway_confirm_crashes(gateway, false);
}
