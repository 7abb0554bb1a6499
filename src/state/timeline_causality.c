/* Links events of one process to their causes in another. */
#include <auburnstile/internal/timeline_internal.h>

#include <string.h>

/* Returns true if `name`, as given by an event, refers to the process. */
static bool name_matches_process(const char *name, const char *process)
{
	const char *dash = strchr(process, '-');

	return strcmp(name, process) == 0 ||
	       (dash && strncmp(process, "entry-", 6) == 0 &&
		strcmp(name, dash + 1) == 0);
}

static const char *relay_target(const struct aub_event *event)
{
	return *event->peer ? event->peer : event->text;
}

/* Links an effect to its cause. */
static void link_cause(struct aub_timeline_merge *merge, guint cause,
		       guint effect)
{
	struct aub_timeline_node *from = aub_timeline_node_at(merge, cause);
	struct aub_timeline_node *to = aub_timeline_node_at(merge, effect);

	to->cause = cause;
	to->next_effect = from->first_effect;
	from->first_effect = effect;
}

/*
 * Returns the first unlinked arrival that may result from a relay, or
 * AUB_NO_NODE.
 */
static guint find_arrival(const struct aub_timeline_merge *merge,
			  const GArray *list, guint relay)
{
	const char *target = relay_target(aub_timeline_event_at(merge, relay));

	for (guint i = 0; i < list->len; i++) {
		guint index = g_array_index(list, guint, i);
		const struct aub_timeline_node *node =
			aub_timeline_node_at(merge, index);

		if (aub_timeline_event_at(merge, index)->type ==
			    AUB_EVENT_ARRIVED &&
		    node->cause == AUB_NO_NODE &&
		    node->process !=
			    aub_timeline_node_at(merge, relay)->process &&
		    name_matches_process(target,
					 aub_timeline_lane_at(merge->timeline,
							      node->process)
						 ->name))
			return index;
	}
	return AUB_NO_NODE;
}

/*
 * Returns the last event of a type among a request's events at one process, or
 * AUB_NO_NODE.
 */
static guint find_last(const struct aub_timeline_merge *merge,
		       const GArray *list, guint process,
		       enum aub_event_type type)
{
	for (guint i = list->len; i > 0; i--) {
		guint index = g_array_index(list, guint, i - 1);

		if (aub_timeline_node_at(merge, index)->process == process &&
		    aub_timeline_event_at(merge, index)->type == type)
			return index;
	}
	return AUB_NO_NODE;
}

#define HTTP_GATEWAY_TIMEOUT 504

/*
 * Links the response: a result that the relaying process only forwarded comes
 * after the result at the process that produced it. If the relaying process
 * produced a result of its own (refused the request, sent it itself, or timed
 * out), there is no such link.
 */
static void link_response(struct aub_timeline_merge *merge, const GArray *list,
			  guint relay, guint arrival)
{
	guint from = aub_timeline_node_at(merge, relay)->process;
	guint to = aub_timeline_node_at(merge, arrival)->process;
	guint effect = find_last(merge, list, from, AUB_EVENT_FINISHED);
	guint cause = find_last(merge, list, to, AUB_EVENT_FINISHED);
	const struct aub_event *relayed;
	const struct aub_event *original;

	if (effect == AUB_NO_NODE || cause == AUB_NO_NODE ||
	    aub_timeline_node_at(merge, effect)->cause != AUB_NO_NODE ||
	    find_last(merge, list, from, AUB_EVENT_RELAYED) != relay ||
	    find_last(merge, list, from, AUB_EVENT_REFUSED) != AUB_NO_NODE ||
	    find_last(merge, list, from, AUB_EVENT_DISPATCHED) != AUB_NO_NODE)
		return;
	relayed = aub_timeline_event_at(merge, effect);
	original = aub_timeline_event_at(merge, cause);
	if (relayed->number != original->number ||
	    relayed->number == HTTP_GATEWAY_TIMEOUT ||
	    strcmp(relayed->text, original->text) != 0)
		return;
	link_cause(merge, cause, effect);
}

/*
 * Links the events of one request. Each arrival at a process is the effect of a
 * relay at another process that named it; the first relay belongs to the first
 * arrival.
 */
static void link_request(struct aub_timeline_merge *merge, const GArray *list)
{
	for (guint i = 0; i < list->len; i++) {
		guint relay = g_array_index(list, guint, i);
		guint arrival;

		if (aub_timeline_event_at(merge, relay)->type !=
		    AUB_EVENT_RELAYED)
			continue;
		arrival = find_arrival(merge, list, relay);
		if (arrival == AUB_NO_NODE)
			continue;
		link_cause(merge, relay, arrival);
		link_response(merge, list, relay, arrival);
	}
}

/*
 * Groups the events by request, those of one process in their order, and links
 * each group.
 */
void aub_timeline_link_causes(struct aub_timeline_merge *merge)
{
	GHashTable *requests =
		g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
				      (GDestroyNotify)g_array_unref);
	GHashTableIter iterator;
	gpointer list;

	for (guint i = 0; i < merge->nodes->len; i++) {
		const struct aub_event *event = aub_timeline_event_at(merge, i);
		GArray *nodes;

		if (!event->request)
			continue;
		nodes = g_hash_table_lookup(requests, &event->request);
		if (!nodes) {
			nodes = g_array_new(FALSE, FALSE, sizeof(guint));
			g_hash_table_insert(requests, (gpointer)&event->request,
					    nodes);
		}
		g_array_append_val(nodes, i);
	}
	g_hash_table_iter_init(&iterator, requests);
	while (g_hash_table_iter_next(&iterator, NULL, &list))
		link_request(merge, list);
	g_hash_table_unref(requests);
}
