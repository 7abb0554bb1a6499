/*
 * What upstreams say of themselves in answers: a limit on their requests, rest
 * for this process, and that they leave.
 */
#include <auburnstile/internal/placement_internal.h>

/*
 * A limited upstream is probed rarely; it may have turned cold since, and more
 * requests are about to reach it.
 */
static void probe_if_raised(struct aub_placement_upstream *upstream,
			    guint32 before_per_1000_s, gint64 now_us)
{
	if (upstream->limit.per_1000_s > before_per_1000_s)
		upstream->next_probe_us = MIN(upstream->next_probe_us, now_us);
}

/* `observe_limit` is the function of upstream_limit.h for the kind of answer.
 */
static void observe(struct aub_placement_upstream *upstream,
		    const struct aub_load *load, gint64 sent_us, gint64 now_us,
		    void (*observe_limit)(struct aub_upstream_limit *limit,
					  const struct aub_load *load,
					  gint64 sent_us, gint64 now_us))
{
	guint32 before = upstream->limit.per_1000_s;

	/* An answer of an earlier incarnation says nothing about this one. */
	if (sent_us < upstream->started_us)
		return;
	upstream->leaving = upstream->leaving || load->leaving;
	observe_limit(&upstream->limit, load, sent_us, now_us);
	probe_if_raised(upstream, before, now_us);
}

void aub_placement_upstream_observe_answer(
	struct aub_placement_upstream *upstream, const struct aub_load *load,
	gint64 sent_us, gint64 now_us)
{
	observe(upstream, load, sent_us, now_us,
		aub_upstream_limit_observe_answer);
}

void aub_placement_upstream_observe_probe(
	struct aub_placement_upstream *upstream, const struct aub_load *load,
	gint64 sent_us, gint64 now_us)
{
	observe(upstream, load, sent_us, now_us,
		aub_upstream_limit_observe_probe);
}

void aub_placement_observe_answer(struct aub_placement *placement,
				  const char *id, const struct aub_load *load,
				  gint64 sent_us, gint64 now_us)
{
	struct aub_placement_upstream *upstream =
		aub_placement_upstream_by_id(placement, id);

	if (upstream)
		aub_placement_upstream_observe_answer(upstream, load, sent_us,
						      now_us);
}

void aub_placement_begin_rest(struct aub_placement *placement, const char *id,
			      gint64 rest_us, gint64 now_us)
{
	struct aub_placement_upstream *upstream =
		aub_placement_upstream_by_id(placement, id);

	if (upstream)
		upstream->rest_until_us =
			MAX(upstream->rest_until_us, now_us + rest_us);
}

/* Returns whether a registered upstream wants no requests of this process. */
static bool wants_rest(const struct aub_placement_upstream *upstream,
		       gint64 now_us)
{
	return upstream->registered &&
	       aub_placement_upstream_is_resting(upstream, now_us);
}

static bool contains(GPtrArray *names, const char *name)
{
	return g_ptr_array_find_with_equal_func(names, name, g_str_equal, NULL);
}

void aub_placement_avoid_resting(const struct aub_placement *placement,
				 GPtrArray *avoid, gint64 now_us)
{
	for (guint i = 0; i < placement->upstreams->len; i++) {
		const struct aub_placement_upstream *upstream =
			aub_placement_get_upstream(placement, i);

		if (wants_rest(upstream, now_us) &&
		    !contains(avoid, upstream->id))
			g_ptr_array_add(avoid, g_strdup(upstream->id));
	}
}

gint64 aub_placement_first_rest_end_us(const struct aub_placement *placement,
				       gint64 now_us)
{
	gint64 first_us = 0;

	for (guint i = 0; i < placement->upstreams->len; i++) {
		const struct aub_placement_upstream *upstream =
			aub_placement_get_upstream(placement, i);

		if (wants_rest(upstream, now_us) &&
		    (!first_us || upstream->rest_until_us < first_us))
			first_us = upstream->rest_until_us;
	}
	return first_us;
}

guint aub_placement_list_limits(const struct aub_placement *placement,
				struct aub_named_limit *list, guint limit,
				gint64 now_us)
{
	guint count = 0;

	for (guint i = 0; i < placement->upstreams->len && count < limit; i++) {
		const struct aub_placement_upstream *upstream =
			aub_placement_get_upstream(placement, i);

		list[count].upstream = upstream->id;
		if (upstream->registered &&
		    aub_upstream_limit_get_statement(&upstream->limit, now_us,
						     &list[count].statement))
			count++;
	}
	return count;
}

void aub_placement_merge_limit(struct aub_placement *placement,
			       const struct aub_named_limit *named,
			       gint64 now_us)
{
	struct aub_placement_upstream *upstream =
		aub_placement_upstream_by_id(placement, named->upstream);
	gint64 said_us = now_us - named->statement.age_ms * AUB_US_PER_MS;
	guint32 before;

	if (!upstream || said_us < upstream->started_us)
		return;
	before = upstream->limit.per_1000_s;
	aub_upstream_limit_merge(&upstream->limit, &named->statement, now_us);
	probe_if_raised(upstream, before, now_us);
}

bool aub_placement_take_leaving(struct aub_placement *placement, const char *id)
{
	struct aub_placement_upstream *upstream =
		aub_placement_upstream_by_id(placement, id);

	if (!upstream || !upstream->leaving || upstream->leaving_logged)
		return false;
	upstream->leaving_logged = true;
	return true;
}

void aub_placement_set_leaving(struct aub_placement *placement, const char *id,
			       gint64 started_ms)
{
	struct aub_placement_upstream *upstream =
		aub_placement_upstream_by_id(placement, id);

	if (upstream && upstream->started_ms == started_ms)
		upstream->leaving = true;
}

bool aub_placement_take_limit_change(struct aub_placement *placement,
				     const char *id,
				     struct aub_limit_change *change)
{
	struct aub_placement_upstream *upstream =
		aub_placement_upstream_by_id(placement, id);

	if (!upstream)
		return false;
	change->now_per_1000_s = upstream->limit.per_1000_s;
	return aub_upstream_limit_take_change(&upstream->limit,
					      &change->was_per_1000_s);
}
