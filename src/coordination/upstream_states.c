/*
 * Conversion between a dispatcher's state (its upstreams, and requests that
 * crash upstreams) and the message that carries it to the stand-by.
 */
#include <auburnstile/internal/upstream_states.h>

#define UPSTREAMS_MAX 1024 /* per service; further ones are omitted */
#define CRASHES_MAX 256 /* per service; further ones are omitted */

static void add_upstreams(struct aub_upstream_states *states,
			  const struct aub_dispatcher *dispatcher,
			  gint64 now_us)
{
	struct aub_upstream_snapshot *list =
		g_new(struct aub_upstream_snapshot, UPSTREAMS_MAX);
	guint count = aub_dispatcher_export_upstreams(dispatcher, list,
						      UPSTREAMS_MAX, now_us);

	for (guint i = 0; i < count; i++) {
		struct aub_upstream_state *state = aub_upstream_state_new();

		aub_string_set(&state->name, list[i].name);
		state->boot_id = list[i].boot_id;
		state->cold = list[i].cold;
		state->draining = list[i].draining;
		state->age_ms = list[i].age_ms;
		state->mean_us = list[i].mean_us;
		g_ptr_array_add(states->upstreams, state);
	}
	g_free(list);
}

/*
 * When a service's owner fails, a request that has crashed two upstreams would
 * crash two more under the next owner. The next owner is the stand-by, which
 * receives these records within a fraction of a second.
 */
static void add_crashes(struct aub_upstream_states *states,
			const struct aub_dispatcher *dispatcher, gint64 now_us)
{
	struct aub_crash_mark list[CRASHES_MAX];
	guint count = aub_dispatcher_export_crash_marks(dispatcher, list,
							CRASHES_MAX, now_us);

	for (guint i = 0; i < count; i++) {
		struct aub_crash_record *record = aub_crash_record_new();

		record->fingerprint = list[i].fingerprint;
		record->crash_count = list[i].crash_count;
		record->age_ms = list[i].age_ms;
		g_ptr_array_add(states->crashes, record);
	}
}

static void apply_crashes(struct aub_dispatcher *dispatcher,
			  const struct aub_upstream_states *states,
			  gint64 now_us)
{
	for (guint i = 0; i < states->crashes->len; i++) {
		const struct aub_crash_record *record =
			states->crashes->pdata[i];
		struct aub_crash_mark mark = {
			.fingerprint = record->fingerprint,
			.crash_count = record->crash_count,
			.age_ms = record->age_ms,
		};

		aub_dispatcher_import_crash_mark(dispatcher, &mark, now_us);
	}
}

struct aub_upstream_states *aub_states_from_dispatcher(
	const struct aub_dispatcher *dispatcher, const char *service,
	gint64 now_us)
{
	struct aub_upstream_states *states =
		(struct aub_upstream_states *)aub_message_new(
			AUB_MESSAGE_UPSTREAM_STATES);

	aub_string_set(&states->service, service);
	add_upstreams(states, dispatcher, now_us);
	add_crashes(states, dispatcher, now_us);
	return states;
}

void aub_states_apply(struct aub_dispatcher *dispatcher,
		      const struct aub_upstream_states *states, gint64 now_us)
{
	for (guint i = 0; i < states->upstreams->len; i++) {
		const struct aub_upstream_state *state =
			states->upstreams->pdata[i];
		struct aub_upstream_snapshot known = {
			.name = state->name,
			.boot_id = state->boot_id,
			.cold = state->cold,
			.draining = state->draining,
			.age_ms = state->age_ms,
			.mean_us = state->mean_us,
		};

		aub_dispatcher_import_upstream(dispatcher, &known, now_us);
	}
	apply_crashes(dispatcher, states, now_us);
}
