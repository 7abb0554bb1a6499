/* Merges the events of many processes into one order. */
#include <auburnstile/internal/timeline_internal.h>

#include <string.h>

static void lane_clear(gpointer data)
{
	struct aub_timeline_lane *lane = data;

	g_free(lane->name);
	g_free(lane->zone);
	g_array_unref(lane->events);
}

struct aub_timeline *aub_timeline_new(void)
{
	struct aub_timeline *timeline = g_new0(struct aub_timeline, 1);

	timeline->lanes =
		g_array_new(FALSE, FALSE, sizeof(struct aub_timeline_lane));
	g_array_set_clear_func(timeline->lanes, lane_clear);
	timeline->entries =
		g_array_new(FALSE, FALSE, sizeof(struct aub_timeline_entry));
	return timeline;
}

void aub_timeline_free(struct aub_timeline *timeline)
{
	if (!timeline)
		return;
	g_array_unref(timeline->lanes);
	g_array_unref(timeline->entries);
	g_free(timeline);
}

guint aub_timeline_add_process(struct aub_timeline *timeline, const char *name,
			       const char *zone, guint64 incarnation)
{
	struct aub_timeline_lane added = { .incarnation = incarnation };

	for (guint i = 0; i < timeline->lanes->len; i++)
		if (strcmp(aub_timeline_lane_at(timeline, i)->name, name) ==
			    0 &&
		    aub_timeline_lane_at(timeline, i)->incarnation ==
			    incarnation)
			return i;
	added.name = g_strdup(name);
	added.zone = g_strdup(zone ? zone : "");
	added.events = g_array_new(FALSE, FALSE, sizeof(struct aub_event));
	g_array_append_val(timeline->lanes, added);
	return timeline->lanes->len - 1;
}

void aub_timeline_add_event(struct aub_timeline *timeline, guint process,
			    const struct aub_event *event)
{
	g_array_append_val(aub_timeline_lane_at(timeline, process)->events,
			   *event);
}

static void create_nodes(struct aub_timeline_merge *merge)
{
	for (guint p = 0; p < merge->timeline->lanes->len; p++) {
		merge->first_node[p] = merge->nodes->len;
		for (guint i = 0;
		     i < aub_timeline_lane_at(merge->timeline, p)->events->len;
		     i++) {
			struct aub_timeline_node node = {
				.process = p,
				.index = i,
				.cause = AUB_NO_NODE,
				.next_effect = AUB_NO_NODE,
				.first_effect = AUB_NO_NODE,
			};

			g_array_append_val(merge->nodes, node);
		}
	}
}

/*
 * Estimates clock offsets: the least fixed point of "an effect is not earlier
 * than its cause", starting from offsets of 0. If a clock was set between two
 * events, such offsets may not exist. The number of rounds is therefore bounded
 * by the number of processes, and the merge ensures the order where offsets
 * cannot.
 */
static void estimate_offsets(struct aub_timeline_merge *merge)
{
	for (guint round = 0; round < merge->timeline->lanes->len; round++) {
		bool changed = false;

		for (guint i = 0; i < merge->nodes->len; i++) {
			const struct aub_timeline_node *node =
				aub_timeline_node_at(merge, i);
			struct aub_timeline_lane *lane;
			gint64 earliest_us;

			if (node->cause == AUB_NO_NODE)
				continue;
			lane = aub_timeline_lane_at(merge->timeline,
						    node->process);
			earliest_us =
				aub_timeline_event_at(merge, node->cause)
					->wall_us +
				aub_timeline_lane_at(
					merge->timeline,
					aub_timeline_node_at(merge, node->cause)
						->process)
					->offset_us;
			if (aub_timeline_event_at(merge, i)->wall_us +
				    lane->offset_us >=
			    earliest_us)
				continue;
			lane->offset_us =
				earliest_us -
				aub_timeline_event_at(merge, i)->wall_us;
			changed = true;
		}
		if (!changed)
			break;
	}
}

/* A heap of process handles, ordered by the time of their next event. */
struct heap {
	guint *process;
	gint64 *key; /* by process: time of its next event, in us */
	guint count;
};

static bool before(const struct heap *heap, guint left, guint right)
{
	guint a = heap->process[left];
	guint b = heap->process[right];

	if (heap->key[a] != heap->key[b])
		return heap->key[a] < heap->key[b];
	return a < b;
}

static void swap(struct heap *heap, guint left, guint right)
{
	guint process = heap->process[left];

	heap->process[left] = heap->process[right];
	heap->process[right] = process;
}

static void heap_push(struct heap *heap, guint process, gint64 key)
{
	guint i = heap->count++;

	heap->process[i] = process;
	heap->key[process] = key;
	while (i && before(heap, i, (i - 1) / 2)) {
		swap(heap, i, (i - 1) / 2);
		i = (i - 1) / 2;
	}
}

static guint heap_pop(struct heap *heap)
{
	guint top = heap->process[0];
	guint i = 0;

	heap->process[0] = heap->process[--heap->count];
	for (;;) {
		guint child = 2 * i + 1;

		if (child + 1 < heap->count && before(heap, child + 1, child))
			child++;
		if (child >= heap->count || !before(heap, child, i))
			return top;
		swap(heap, i, child);
		i = child;
	}
}

struct merge_state {
	struct heap heap;
	guint *next; /* by process: index of its next event */
	bool *blocked; /* by process: its next event waits for its cause */
	gint64 *last_time_us; /* by process: time of the last emitted event */
};

/*
 * Adds the next event of a process to the heap, or blocks the process until the
 * cause of the event was emitted.
 */
static void advance_process(struct aub_timeline_merge *merge,
			    struct merge_state *state, guint process)
{
	struct aub_timeline_lane *lane =
		aub_timeline_lane_at(merge->timeline, process);
	struct aub_timeline_node *node;
	gint64 time_us;

	if (state->next[process] >= lane->events->len)
		return;
	node = aub_timeline_node_at(merge, merge->first_node[process] +
						   state->next[process]);
	if (node->cause != AUB_NO_NODE &&
	    !aub_timeline_node_at(merge, node->cause)->done) {
		state->blocked[process] = true;
		return;
	}
	time_us = g_array_index(lane->events, struct aub_event, node->index)
			  .wall_us +
		  lane->offset_us;
	if (node->cause != AUB_NO_NODE)
		time_us =
			MAX(time_us,
			    aub_timeline_node_at(merge, node->cause)->time_us);
	node->time_us = MAX(time_us, state->last_time_us[process]);
	heap_push(&state->heap, process, node->time_us);
}

/*
 * Resolves a cycle: all processes wait for each other because the links
 * contradict the sequence numbers, for example if a request id was used twice.
 * Drops the link of the earliest event. Returns false if no process is blocked.
 */
static bool unblock_earliest(struct aub_timeline_merge *merge,
			     struct merge_state *state)
{
	guint earliest_process = AUB_NO_NODE;
	gint64 earliest = G_MAXINT64;

	for (guint p = 0; p < merge->timeline->lanes->len; p++) {
		guint node = merge->first_node[p] + state->next[p];

		if (!state->blocked[p])
			continue;
		if (aub_timeline_event_at(merge, node)->wall_us < earliest) {
			earliest = aub_timeline_event_at(merge, node)->wall_us;
			earliest_process = p;
		}
	}
	if (earliest_process == AUB_NO_NODE)
		return false;
	aub_timeline_node_at(merge, merge->first_node[earliest_process] +
					    state->next[earliest_process])
		->cause = AUB_NO_NODE;
	state->blocked[earliest_process] = false;
	advance_process(merge, state, earliest_process);
	return true;
}

static void unblock_effects(struct aub_timeline_merge *merge,
			    struct merge_state *state,
			    const struct aub_timeline_node *node)
{
	guint effect = node->first_effect;

	while (effect != AUB_NO_NODE) {
		const struct aub_timeline_node *waiting =
			aub_timeline_node_at(merge, effect);
		guint process = waiting->process;

		if (state->blocked[process] &&
		    merge->first_node[process] + state->next[process] ==
			    effect) {
			state->blocked[process] = false;
			advance_process(merge, state, process);
		}
		effect = waiting->next_effect;
	}
}

static void emit_event(struct aub_timeline_merge *merge,
		       struct merge_state *state, guint process)
{
	guint index = merge->first_node[process] + state->next[process]++;
	struct aub_timeline_node *node = aub_timeline_node_at(merge, index);
	struct aub_timeline_entry entry = {
		.process = process,
		.time_us = node->time_us,
		.event = *aub_timeline_event_at(merge, index),
	};

	node->done = true;
	state->last_time_us[process] = node->time_us;
	g_array_append_val(merge->timeline->entries, entry);
	advance_process(merge, state, process);
	unblock_effects(merge, state, node);
}

static void merge_events(struct aub_timeline_merge *merge)
{
	guint count = merge->timeline->lanes->len;
	struct merge_state state = {
		.heap = { .process = g_new0(guint, count + 1),
			  .key = g_new0(gint64, count + 1) },
		.next = g_new0(guint, count + 1),
		.blocked = g_new0(bool, count + 1),
		.last_time_us = g_new0(gint64, count + 1),
	};

	for (guint p = 0; p < count; p++) {
		state.last_time_us[p] = G_MININT64;
		advance_process(merge, &state, p);
	}
	do {
		while (state.heap.count)
			emit_event(merge, &state, heap_pop(&state.heap));
	} while (unblock_earliest(merge, &state));
	g_free(state.heap.process);
	g_free(state.heap.key);
	g_free(state.next);
	g_free(state.blocked);
	g_free(state.last_time_us);
}

void aub_timeline_merge(struct aub_timeline *timeline)
{
	struct aub_timeline_merge merge = {
		.timeline = timeline,
		.nodes = g_array_new(FALSE, FALSE,
				     sizeof(struct aub_timeline_node)),
		.first_node = g_new0(guint, timeline->lanes->len + 1),
	};

	create_nodes(&merge);
	aub_timeline_link_causes(&merge);
	estimate_offsets(&merge);
	merge_events(&merge);
	g_array_unref(merge.nodes);
	g_free(merge.first_node);
}

guint aub_timeline_process_count(const struct aub_timeline *timeline)
{
	return timeline->lanes->len;
}

const char *aub_timeline_process_name(const struct aub_timeline *timeline,
				      guint process)
{
	return aub_timeline_lane_at(timeline, process)->name;
}

gint64 aub_timeline_offset_us(const struct aub_timeline *timeline,
			      guint process)
{
	return aub_timeline_lane_at(timeline, process)->offset_us;
}

static bool matches_filter(const struct aub_timeline *timeline,
			   const struct aub_timeline_entry *entry,
			   const struct aub_timeline_filter *filter)
{
	const struct aub_event *event = &entry->event;
	const struct aub_timeline_lane *lane =
		aub_timeline_lane_at(timeline, entry->process);

	return (!filter->request || event->request == filter->request) &&
	       (!filter->upstream ||
		strcmp(event->upstream, filter->upstream) == 0) &&
	       (!filter->zone || strcmp(event->zone, filter->zone) == 0 ||
		strcmp(lane->zone, filter->zone) == 0) &&
	       (!filter->process || strcmp(lane->name, filter->process) == 0) &&
	       (!filter->since_us || entry->time_us >= filter->since_us) &&
	       (!filter->until_us || entry->time_us <= filter->until_us);
}

GPtrArray *aub_timeline_select(const struct aub_timeline *timeline,
			       const struct aub_timeline_filter *filter)
{
	GPtrArray *list = g_ptr_array_new();

	for (guint i = 0; i < timeline->entries->len; i++) {
		struct aub_timeline_entry *entry =
			&g_array_index(timeline->entries,
				       struct aub_timeline_entry, i);

		if (matches_filter(timeline, entry, filter))
			g_ptr_array_add(list, entry);
	}
	return list;
}
