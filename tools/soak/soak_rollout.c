/* A rollout during the faults of the soak test. */
#include "soak.h"

#include <string.h>

#define ORDER_AT_MS 3000 /* after the start, during the faults */
#define ROLLOUT_MS 8000
#define EXPOSURE_SHARE 0.1 /* as in the settings of the gateways */
#define EXPOSURE_SLACK_REQUESTS 50
/* Share of the answers of a faulty version that fail. */
#define BAD_VERSION_FAILURE_SHARE 0.5
#define ROLLBACK_GRACE_MS 3000 /* after a roll-back has been stored */

struct rollout {
	struct soak *soak;
	GRand *random;
	bool is_bad;
	gint64 order_us;
	gint64 deadline_us;
	bool is_submitted;
	bool is_completed; /* the old version has been stopped */
	gint64 rolled_back_us; /* 0 if not rolled back */
	/* When a gateway was last seen paused. */
	gint64 last_paused_us;
	/* Requests between the order and its deadline. */
	guint requests;
	guint exposed; /* of these, at the new version */
	/* Requests at the new version after a roll-back. */
	guint after_rollback;
	struct upstream upstreams[UPSTREAM_COUNT];
};

struct rollout *soak_rollout_new(struct soak *soak, guint32 seed)
{
	struct rollout *rollout = g_new0(struct rollout, 1);

	rollout->soak = soak;
	rollout->random = g_rand_new_with_seed(seed);
	rollout->is_bad = seed % 2;
	rollout->order_us = soak_now(soak) + ORDER_AT_MS * AUB_MS;
	rollout->deadline_us = rollout->order_us + ROLLOUT_MS * AUB_MS;
	return rollout;
}

void soak_rollout_free(struct rollout *rollout)
{
	if (!rollout)
		return;
	g_rand_free(rollout->random);
	g_free(rollout);
}

bool soak_rollout_is_done(const struct rollout *rollout)
{
	return rollout && rollout->is_completed;
}

static void submit_order(struct rollout *rollout)
{
	char *text = g_strdup_printf(
		"{\"service\":\"svc\",\"target_version\":\"v2\","
		"\"duration_s\":%g}",
		ROLLOUT_MS / 1000.0);

	platform_store_put(rollout->soak->store, "rollouts", "svc", text);
	g_free(text);
	for (guint i = 0; i < UPSTREAM_COUNT; i++) {
		rollout->upstreams[i].soak = rollout->soak;
		rollout->upstreams[i].number = i;
		rollout->upstreams[i].of_new_version = true;
		soak_upstream_start(&rollout->upstreams[i]);
	}
	rollout->is_submitted = true;
}

static bool is_stored(const struct rollout *rollout, const char *state)
{
	const char *status =
		platform_store_status(rollout->soak->store, "rollouts", "svc");

	return status && strstr(status, state);
}

/* Stops the old version immediately, without draining. */
static void stop_old_version(struct rollout *rollout)
{
	for (guint i = 0; i < UPSTREAM_COUNT; i++)
		soak_upstream_stop(&rollout->soak->upstreams[i]);
	rollout->is_completed = true;
	if (rollout->is_bad)
		soak_report_violation(rollout->soak, "VERDICT", "-");
}

static void check_exposure(const struct rollout *rollout, const char *id)
{
	if (rollout->is_bad &&
	    rollout->exposed > EXPOSURE_SHARE * rollout->requests +
				       EXPOSURE_SLACK_REQUESTS)
		soak_report_violation(rollout->soak, "EXPOSURE", id);
}

void soak_rollout_step(struct rollout *rollout, gint64 now_us)
{
	const struct soak *soak = rollout->soak;

	if (!rollout->is_submitted && now_us >= rollout->order_us)
		submit_order(rollout);
	for (guint i = 0; i < soak->gateway_count; i++)
		if (soak->gateways[i].resume_us)
			rollout->last_paused_us = now_us;
	if (!rollout->is_submitted || rollout->is_completed)
		return;
	if (!rollout->rolled_back_us && is_stored(rollout, "rolled_back"))
		rollout->rolled_back_us = now_us;
	if (is_stored(rollout, "completed"))
		stop_old_version(rollout);
}

/*
 * Returns whether requests at the new version violate the roll-back. A pause of
 * a gateway extends the grace time, because the gateway may have accepted
 * requests before it.
 */
static bool is_after_rollback(const struct rollout *rollout, gint64 now_us)
{
	gint64 last_change_us =
		MAX(rollout->rolled_back_us, rollout->last_paused_us);

	return rollout->rolled_back_us &&
	       now_us > last_change_us + ROLLBACK_GRACE_MS * AUB_MS;
}

void soak_rollout_on_request(struct rollout *rollout,
			     const struct upstream *upstream, const char *id)
{
	gint64 now = soak_now(rollout->soak);

	if (rollout->is_submitted && now < rollout->deadline_us) {
		rollout->requests++;
		rollout->exposed += upstream->of_new_version;
	}
	if (!upstream->of_new_version)
		return;
	if (is_after_rollback(rollout, now))
		soak_report_violation(rollout->soak, "ROUTE (rolled back)", id);
	rollout->after_rollback += rollout->rolled_back_us != 0;
	check_exposure(rollout, id);
	if (rollout->is_bad &&
	    g_rand_double(rollout->random) < BAD_VERSION_FAILURE_SHARE)
		platform_upstream_set_next_answer(upstream->server,
						  PLATFORM_ANSWER_FAILED);
}

void soak_rollout_report(const struct rollout *rollout)
{
	g_print("order: %s version, %s; %u of %u requests to it, %u after a "
		"roll-back was stored\n",
		rollout->is_bad ? "bad" : "good",
		rollout->is_completed	? "completed" :
		rollout->rolled_back_us ? "rolled back" :
					  "open",
		rollout->exposed, rollout->requests, rollout->after_rollback);
}
