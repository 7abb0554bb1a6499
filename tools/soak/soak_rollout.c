/*
 * An order to change versions in the middle of the soak's faults.
 */
#include "soak.h"

#include <string.h>

#define BEGIN_MS 3000 /* after the start, within the faults */
#define DURATION_MS 8000
#define SHARE 0.1 /* as the gateways' settings say */
#define SLACK 50
#define FAILING_SHARE 0.5 /* of a bad version's answers */
#define SETTLE_MS 3000 /* after a roll-back is stored */

struct rollout {
	struct soak *soak;
	GRand *random;
	bool bad;
	gint64 begin_us;
	gint64 end_us;
	bool given;
	bool done; /* completed: the old version is stopped */
	gint64 rolled_back_us; /* 0: not */
	gint64 paused_us; /* when a gateway was last seen paused */
	guint reached; /* requests between the order and its end */
	guint exposed; /* of these, at the new version */
	guint later; /* requests to it after a roll-back */
	struct upstream upstreams[UPSTREAMS];
};

struct rollout *soak_rollout_new(struct soak *soak, guint32 seed)
{
	struct rollout *rollout = g_new0(struct rollout, 1);

	rollout->soak = soak;
	rollout->random = g_rand_new_with_seed(seed);
	rollout->bad = seed % 2;
	rollout->begin_us = soak_now(soak) + BEGIN_MS * AUB_MS;
	rollout->end_us = rollout->begin_us + DURATION_MS * AUB_MS;
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
	return rollout && rollout->done;
}

static void give(struct rollout *rollout)
{
	char *text = g_strdup_printf(
		"{\"service\":\"svc\",\"target_version\":\"v2\","
		"\"duration_s\":%g}",
		DURATION_MS / 1000.0);

	platform_store_put(rollout->soak->store, "rollouts", "svc", text);
	g_free(text);
	for (guint i = 0; i < UPSTREAMS; i++) {
		rollout->upstreams[i].soak = rollout->soak;
		rollout->upstreams[i].number = i;
		rollout->upstreams[i].of_order = true;
		soak_upstream_start(&rollout->upstreams[i]);
	}
	rollout->given = true;
}

static bool is_stored(const struct rollout *rollout, const char *state)
{
	const char *status =
		platform_store_status(rollout->soak->store, "rollouts", "svc");

	return status && strstr(status, state);
}

/* At once, without draining. */
static void stop_old(struct rollout *rollout)
{
	for (guint i = 0; i < UPSTREAMS; i++)
		soak_upstream_end(&rollout->soak->upstreams[i]);
	rollout->done = true;
	if (rollout->bad)
		soak_broken(rollout->soak, "VERDICT", "-");
}

static void check_exposure(const struct rollout *rollout, const char *id)
{
	if (rollout->bad && rollout->exposed > SHARE * rollout->reached + SLACK)
		soak_broken(rollout->soak, "EXPOSURE", id);
}

void soak_rollout_turn(struct rollout *rollout, gint64 now_us)
{
	const struct soak *soak = rollout->soak;

	if (!rollout->given && now_us >= rollout->begin_us)
		give(rollout);
	for (guint i = 0; i < GATEWAYS; i++)
		if (soak->gateways[i].resume_us)
			rollout->paused_us = now_us;
	if (!rollout->given || rollout->done)
		return;
	if (!rollout->rolled_back_us && is_stored(rollout, "rolled_back"))
		rollout->rolled_back_us = now_us;
	if (is_stored(rollout, "completed"))
		stop_old(rollout);
}

/* What a gateway that stood still had taken before is not counted. */
static bool is_late(const struct rollout *rollout, gint64 now_us)
{
	gint64 since_us = MAX(rollout->rolled_back_us, rollout->paused_us);

	return rollout->rolled_back_us &&
	       now_us > since_us + SETTLE_MS * AUB_MS;
}

void soak_rollout_run(struct rollout *rollout, const struct upstream *upstream,
		      const char *id)
{
	gint64 now = soak_now(rollout->soak);

	if (rollout->given && now < rollout->end_us) {
		rollout->reached++;
		rollout->exposed += upstream->of_order;
	}
	if (!upstream->of_order)
		return;
	if (is_late(rollout, now))
		soak_broken(rollout->soak, "ROUTE (rolled back)", id);
	rollout->later += rollout->rolled_back_us != 0;
	check_exposure(rollout, id);
	if (rollout->bad && g_rand_double(rollout->random) < FAILING_SHARE)
		platform_upstream_set_next_answer(upstream->it,
					      PLATFORM_ANSWER_FAILED);
}

void soak_rollout_report(const struct rollout *rollout)
{
	g_print("order: %s version, %s; %u of %u requests to it, %u after a "
		"roll-back was stored\n",
		rollout->bad ? "bad" : "good",
		rollout->done		? "completed" :
		rollout->rolled_back_us ? "rolled back" :
					  "open",
		rollout->exposed, rollout->reached, rollout->later);
}
