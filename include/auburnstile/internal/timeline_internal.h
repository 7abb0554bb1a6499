/* The data structures that the source files of the timeline share. */
#ifndef AUBURNSTILE_INTERNAL_TIMELINE_INTERNAL_H
#define AUBURNSTILE_INTERNAL_TIMELINE_INTERNAL_H

#include <auburnstile/internal/timeline.h>

G_BEGIN_DECLS

/* One process and its events, oldest first. */
struct aub_timeline_lane {
	char *name;
	char *zone;
	guint64 incarnation;
	gint64 offset_us;
	GArray *events; /* of struct aub_event */
};

struct aub_timeline {
	GArray *lanes; /* of struct aub_timeline_lane */
	GArray *entries; /* of struct aub_timeline_entry, in order */
};

#define AUB_NO_NODE G_MAXUINT

/* An event in the merge; nodes are numbered over all processes. */
struct aub_timeline_node {
	guint process;
	guint index; /* in the events of its process */
	guint cause; /* node of another process, or AUB_NO_NODE */
	guint next_effect; /* next node with the same cause */
	guint first_effect; /* first node with this one as its cause */
	gint64 time_us; /* corrected */
	bool done; /* was emitted */
};

struct aub_timeline_merge {
	struct aub_timeline *timeline;
	GArray *nodes; /* of struct aub_timeline_node */
	guint *first_node; /* by process: number of its first node */
};

static inline struct aub_timeline_lane *aub_timeline_lane_at(
	const struct aub_timeline *timeline, guint process)
{
	return &g_array_index(timeline->lanes, struct aub_timeline_lane,
			      process);
}

static inline struct aub_timeline_node *aub_timeline_node_at(
	const struct aub_timeline_merge *merge, guint index)
{
	return &g_array_index(merge->nodes, struct aub_timeline_node, index);
}

static inline const struct aub_event *aub_timeline_event_at(
	const struct aub_timeline_merge *merge, guint index)
{
	const struct aub_timeline_node *node =
		aub_timeline_node_at(merge, index);

	return &g_array_index(
		aub_timeline_lane_at(merge->timeline, node->process)->events,
		struct aub_event, node->index);
}

/* Links events to their causes in other processes. */
void aub_timeline_link_causes(struct aub_timeline_merge *merge);

G_END_DECLS

#endif
