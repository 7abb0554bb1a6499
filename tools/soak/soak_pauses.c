/*
 * Gateways of the soak test that run only a part of the time, as on a VM that
 * has used up its share of the processor, while others are killed.
 */
#include "soak.h"

#include <signal.h>

#define PERIOD_MIN_MS 100
#define PERIOD_MAX_MS 400
#define SHARE_MIN 0.2 /* of each period, in which a gateway is paused */
#define SHARE_MAX 0.6
/* Little, so that most retries are a share of the requests. */
#define RETRY_SLACK 10
#define RETRY_SLACK_USUAL 50
#define KILL_INTERVAL_MIN_MS 300
#define KILL_INTERVAL_MAX_MS 1200

struct soak_pauses {
	struct soak *soak;
	GRand *random;
	gint64 period_us;
	double share;
	gint64 phase_us[GATEWAY_MAX];
	bool paused[GATEWAY_MAX];
	gint64 next_kill_us;
};

guint soak_retry_slack(const struct soak *soak)
{
	return soak->pauses ? RETRY_SLACK : RETRY_SLACK_USUAL;
}

struct soak_pauses *soak_pauses_new(struct soak *soak, guint32 seed)
{
	struct soak_pauses *pauses = g_new0(struct soak_pauses, 1);

	pauses->soak = soak;
	pauses->random = g_rand_new_with_seed(seed + 3);
	pauses->period_us =
		g_rand_int_range(pauses->random, PERIOD_MIN_MS, PERIOD_MAX_MS) *
		AUB_MS;
	pauses->share =
		g_rand_double_range(pauses->random, SHARE_MIN, SHARE_MAX);
	for (guint i = 0; i < GATEWAY_MAX; i++)
		pauses->phase_us[i] =
			g_rand_int_range(pauses->random, 0,
					 (gint32)pauses->period_us);
	pauses->next_kill_us = soak_now(soak) + 3 * AUB_SECOND;
	return pauses;
}

void soak_pauses_free(struct soak_pauses *pauses)
{
	if (!pauses)
		return;
	g_rand_free(pauses->random);
	g_free(pauses);
}

static bool is_pause(const struct soak_pauses *pauses, guint i, gint64 now_us)
{
	gint64 in_period_us =
		(now_us + pauses->phase_us[i]) % pauses->period_us;

	return now_us < pauses->soak->faults_end_us &&
	       (double)in_period_us < pauses->share * (double)pauses->period_us;
}

static void update_gateway(struct soak_pauses *pauses, guint i, gint64 now_us)
{
	struct gateway *gateway = &pauses->soak->gateways[i];
	bool pause = is_pause(pauses, i, now_us);

	/* It has been killed, stopped or paused by another fault. */
	if (gateway->restart_us || gateway->resume_us) {
		pauses->paused[i] = false;
		return;
	}
	if (pause == pauses->paused[i])
		return;
	child_signal(gateway->child, pause ? SIGSTOP : SIGCONT);
	pauses->paused[i] = pause;
	gateway->disturbed_us = now_us;
}

static void kill_gateway(struct soak_pauses *pauses, gint64 now_us)
{
	struct soak *soak = pauses->soak;
	struct gateway *gateway =
		&soak->gateways[g_rand_int_range(pauses->random, 0,
						 (gint32)soak->gateway_count)];

	pauses->next_kill_us =
		now_us + g_rand_int_range(pauses->random, KILL_INTERVAL_MIN_MS,
					  KILL_INTERVAL_MAX_MS) *
				 AUB_MS;
	if (gateway->restart_us || gateway->resume_us)
		return;
	child_signal(gateway->child, SIGKILL);
	gateway->disturbed_us = now_us;
	gateway->restart_us =
		now_us + g_rand_int_range(pauses->random, 50, 1500) * AUB_MS;
	soak_log_gateway_fault(gateway, "kill", gateway->restart_us);
}

void soak_pauses_step(struct soak_pauses *pauses, gint64 now_us)
{
	struct soak *soak = pauses->soak;

	if (now_us >= pauses->next_kill_us && now_us < soak->faults_end_us)
		kill_gateway(pauses, now_us);
	for (guint i = 0; i < soak->gateway_count; i++)
		update_gateway(pauses, i, now_us);
}
