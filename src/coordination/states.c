/*
 * Knowledge of upstreams, and of requests that crash them, between a
 * dispatcher and a message.
 */
#include <auburnstile/internal/states.h>

#define UPSTREAMS 1024 /* of one service; more are left out */
#define CRASHES 256 /* likewise */

static void add_upstreams(struct aub_upstream_states *states,
			  const struct aub_dispatcher *dispatcher,
			  gint64 now_us)
{
	struct aub_upstream_knowledge *list =
		g_new(struct aub_upstream_knowledge, UPSTREAMS);
	guint count =
		aub_dispatcher_knowledge(dispatcher, list, UPSTREAMS, now_us);

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
 * Failure: the owner of a service goes away, and a request that brought two
 * upstreams down brings down two more under the next owner. Enough: the next
 * owner is the stand-by, and it is told within a moment.
 */
static void add_crashes(struct aub_upstream_states *states,
			const struct aub_dispatcher *dispatcher, gint64 now_us)
{
	struct aub_crash_mark list[CRASHES];
	guint count = aub_dispatcher_crashes(dispatcher, list, CRASHES, now_us);

	for (guint i = 0; i < count; i++) {
		struct aub_crash_record *record = aub_crash_record_new();

		record->fingerprint = list[i].fingerprint;
		record->deaths = list[i].deaths;
		record->age_ms = list[i].age_ms;
		g_ptr_array_add(states->crashes, record);
	}
}

static void learn_crashes(struct aub_dispatcher *dispatcher,
			  const struct aub_upstream_states *states, gint64 now_us)
{
	for (guint i = 0; i < states->crashes->len; i++) {
		const struct aub_crash_record *record =
			states->crashes->pdata[i];
		struct aub_crash_mark mark = {
			.fingerprint = record->fingerprint,
			.deaths = record->deaths,
			.age_ms = record->age_ms,
		};

		aub_dispatcher_learn_crash(dispatcher, &mark, now_us);
	}
}

struct aub_upstream_states *aub_states_make(const struct aub_dispatcher *dispatcher,
				   const char *service, gint64 now_us)
{
	struct aub_upstream_states *states =
		(struct aub_upstream_states *)aub_message_new(AUB_MESSAGE_UPSTREAM_STATES);

	aub_string_set(&states->service, service);
	add_upstreams(states, dispatcher, now_us);
	add_crashes(states, dispatcher, now_us);
	return states;
}

void aub_states_learn(struct aub_dispatcher *dispatcher,
		      const struct aub_upstream_states *states, gint64 now_us)
{
	for (guint i = 0; i < states->upstreams->len; i++) {
		const struct aub_upstream_state *state =
			states->upstreams->pdata[i];
		struct aub_upstream_knowledge known = {
			.name = state->name,
			.boot_id = state->boot_id,
			.cold = state->cold,
			.draining = state->draining,
			.age_ms = state->age_ms,
			.mean_us = state->mean_us,
		};

		aub_dispatcher_learn(dispatcher, &known, now_us);
	}
	learn_crashes(dispatcher, states, now_us);
}
