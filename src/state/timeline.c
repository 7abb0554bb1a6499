/*
 * The merge of many processes' events into one order.
 */
#include <auburnstile/internal/timeline_parts.h>

#include <string.h>

static void process_clear(gpointer data)
{
	struct aub_timeline_lane *process = data;

	g_free(process->name);
	g_free(process->zone);
	g_array_unref(process->events);
}

struct aub_timeline *aub_timeline_new(void)
{
	struct aub_timeline *timeline = g_new0(struct aub_timeline, 1);

	timeline->lanes =
		g_array_new(FALSE, FALSE, sizeof(struct aub_timeline_lane));
	g_array_set_clear_func(timeline->lanes, process_clear);
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

guint aub_timeline_process(struct aub_timeline *timeline, const char *name,
			   const char *zone, guint64 incarnation)
{
	struct aub_timeline_lane fresh = { .incarnation = incarnation };

	for (guint i = 0; i < timeline->lanes->len; i++)
		if (strcmp(aub_timeline_lane_at(timeline, i)->name, name) ==
			    0 &&
		    aub_timeline_lane_at(timeline, i)->incarnation ==
			    incarnation)
			return i;
	fresh.name = g_strdup(name);
	fresh.zone = g_strdup(zone ? zone : "");
	fresh.events = g_array_new(FALSE, FALSE, sizeof(struct aub_event));
	g_array_append_val(timeline->lanes, fresh);
	return timeline->lanes->len - 1;
}

void aub_timeline_add(struct aub_timeline *timeline, guint process,
		      const struct aub_event *event)
{
	g_array_append_val(aub_timeline_lane_at(timeline, process)->events,
			   *event);
}

static void nodes_fill(struct aub_timeline_merge *merge)
{
	for (guint p = 0; p < merge->timeline->lanes->len; p++) {
		merge->base[p] = merge->nodes->len;
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
 * The offsets are the least fixed point of "an effect is not earlier than
 * its cause", from offsets of 0. Clocks that were set in between may leave
 * none: after a round a process has had its say, and the merge keeps the
 * order that offsets can't.
 */
static void offsets_estimate(struct aub_timeline_merge *merge)
{
	for (guint round = 0; round < merge->timeline->lanes->len; round++) {
		bool changed = false;

		for (guint i = 0; i < merge->nodes->len; i++) {
			const struct aub_timeline_node *node =
				aub_timeline_node_at(merge, i);
			struct aub_timeline_lane *to;
			gint64 least;

			if (node->cause == AUB_NO_NODE)
				continue;
			to = aub_timeline_lane_at(merge->timeline,
						  node->process);
			least = aub_timeline_event_at(merge, node->cause)
					->wall_us +
				aub_timeline_lane_at(
					merge->timeline,
					aub_timeline_node_at(merge, node->cause)
						->process)
					->offset_us;
			if (aub_timeline_event_at(merge, i)->wall_us +
				    to->offset_us >=
			    least)
				continue;
			to->offset_us =
				least -
				aub_timeline_event_at(merge, i)->wall_us;
			changed = true;
		}
		if (!changed)
			break;
	}
}

/* A heap of process handles by the time of their next event. */
struct heap {
	guint *process;
	gint64 *key; /* by process */
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

struct front {
	struct heap heap;
	guint *next; /* by process: index of its next event */
	bool *parked; /* its next event waits for a cause */
	gint64 *floor; /* by process: time of what was output last */
};

/* Put a process's next event into the heap, or park it for its cause. */
static void process_advance(struct aub_timeline_merge *merge,
			    struct front *front, guint process)
{
	struct aub_timeline_lane *it =
		aub_timeline_lane_at(merge->timeline, process);
	struct aub_timeline_node *node;
	gint64 time_us;

	if (front->next[process] >= it->events->len)
		return;
	node = aub_timeline_node_at(merge, merge->base[process] +
						   front->next[process]);
	if (node->cause != AUB_NO_NODE &&
	    !aub_timeline_node_at(merge, node->cause)->done) {
		front->parked[process] = true;
		return;
	}
	time_us = g_array_index(it->events, struct aub_event, node->index)
			  .wall_us +
		  it->offset_us;
	if (node->cause != AUB_NO_NODE)
		time_us =
			MAX(time_us,
			    aub_timeline_node_at(merge, node->cause)->time_us);
	node->time_us = MAX(time_us, front->floor[process]);
	heap_push(&front->heap, process, node->time_us);
}

/*
 * Every process waits for another: the ties contradict the sequences (an
 * event's request id was used twice, say). Let the earliest one go on.
 */
static bool unpark(struct aub_timeline_merge *merge, struct front *front)
{
	guint best = AUB_NO_NODE;
	gint64 earliest = G_MAXINT64;

	for (guint p = 0; p < merge->timeline->lanes->len; p++) {
		guint node = merge->base[p] + front->next[p];

		if (!front->parked[p])
			continue;
		if (aub_timeline_event_at(merge, node)->wall_us < earliest) {
			earliest = aub_timeline_event_at(merge, node)->wall_us;
			best = p;
		}
	}
	if (best == AUB_NO_NODE)
		return false;
	aub_timeline_node_at(merge, merge->base[best] + front->next[best])
		->cause = AUB_NO_NODE;
	front->parked[best] = false;
	process_advance(merge, front, best);
	return true;
}

static void wake_effects(struct aub_timeline_merge *merge, struct front *front,
			 const struct aub_timeline_node *node)
{
	guint effect = node->first_effect;

	while (effect != AUB_NO_NODE) {
		const struct aub_timeline_node *waiting =
			aub_timeline_node_at(merge, effect);
		guint process = waiting->process;

		if (front->parked[process] &&
		    merge->base[process] + front->next[process] == effect) {
			front->parked[process] = false;
			process_advance(merge, front, process);
		}
		effect = waiting->next_effect;
	}
}

static void output(struct aub_timeline_merge *merge, struct front *front,
		   guint process)
{
	guint index = merge->base[process] + front->next[process]++;
	struct aub_timeline_node *node = aub_timeline_node_at(merge, index);
	struct aub_timeline_entry entry = {
		.process = process,
		.time_us = node->time_us,
		.event = *aub_timeline_event_at(merge, index),
	};

	node->done = true;
	front->floor[process] = node->time_us;
	g_array_append_val(merge->timeline->entries, entry);
	process_advance(merge, front, process);
	wake_effects(merge, front, node);
}

static void order(struct aub_timeline_merge *merge)
{
	guint count = merge->timeline->lanes->len;
	struct front front = {
		.heap = { .process = g_new0(guint, count + 1),
			  .key = g_new0(gint64, count + 1) },
		.next = g_new0(guint, count + 1),
		.parked = g_new0(bool, count + 1),
		.floor = g_new0(gint64, count + 1),
	};

	for (guint p = 0; p < count; p++) {
		front.floor[p] = G_MININT64;
		process_advance(merge, &front, p);
	}
	do {
		while (front.heap.count)
			output(merge, &front, heap_pop(&front.heap));
	} while (unpark(merge, &front));
	g_free(front.heap.process);
	g_free(front.heap.key);
	g_free(front.next);
	g_free(front.parked);
	g_free(front.floor);
}

void aub_timeline_merge(struct aub_timeline *timeline)
{
	struct aub_timeline_merge merge = {
		.timeline = timeline,
		.nodes = g_array_new(FALSE, FALSE,
				     sizeof(struct aub_timeline_node)),
		.base = g_new0(guint, timeline->lanes->len + 1),
	};

	nodes_fill(&merge);
	aub_timeline_tie(&merge);
	offsets_estimate(&merge);
	order(&merge);
	g_array_unref(merge.nodes);
	g_free(merge.base);
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

static bool passes(const struct aub_timeline *timeline,
		   const struct aub_timeline_entry *entry,
		   const struct aub_timeline_filter *filter)
{
	const struct aub_event *event = &entry->event;
	const struct aub_timeline_lane *from =
		aub_timeline_lane_at(timeline, entry->process);

	return (!filter->request || event->request == filter->request) &&
	       (!filter->upstream ||
		strcmp(event->upstream, filter->upstream) == 0) &&
	       (!filter->zone || strcmp(event->zone, filter->zone) == 0 ||
		strcmp(from->zone, filter->zone) == 0) &&
	       (!filter->process || strcmp(from->name, filter->process) == 0) &&
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

		if (passes(timeline, entry, filter))
			g_ptr_array_add(list, entry);
	}
	return list;
}
