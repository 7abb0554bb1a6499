/*
 * soak: gateways as real processes under random faults from outside.
 *
 * The store, the upstreams and the callers live in this process, gateways are
 * children. Signals kill, stop, pause and reload them; the store and the
 * upstreams misbehave; a proxy before each upstream delays, silences and
 * refuses. All of it comes from one seed, in series and overlapping.
 *
 * Checked while it runs, from what callers and upstreams see:
 *   TWICE    what may run once ran twice
 *   REFUSED  "not run" was said of a request that ran, before or after
 *   MIXED    an answer is not the caller's own, or not whole
 *   DENIED   a proper request was denied
 *   DRAIN    a draining upstream got something new, seconds after
 *   ROUTE    a version ran something without its order, or once it was bad
 *   EXPOSURE a bad version got more than its share
 *   VERDICT  a bad version was completed
 *   RECOVER  with the faults over, requests are not served
 */
#include "soak/soak.h"

#include <argp.h>
#include <glib/gstdio.h>

#define SERVED_LEAST 0.9 /* of the calls once all is mended */

struct arguments {
	guint seed;
	guint seconds;
	guint runs;
	bool rollouts; /* an order to change versions in each */
};

gint64 soak_now(const struct soak *soak)
{
	return aub_timer_now(soak->timers);
}

void soak_broken(struct soak *soak, const char *rule, const char *id)
{
	soak->broken++;
	g_print("BROKEN %s: request %s, %.3f s before the calm\n", rule, id,
		(double)(soak->calm_us - soak_now(soak)) / 1e6);
}

gint64 soak_later(struct soak *soak, guint least_ms, guint most_ms)
{
	return soak_now(soak) +
	       g_rand_int_range(soak->random, (gint)least_ms, (gint)most_ms) *
		       AUB_MS;
}

static void on_turn(void *context, gint64 now_us)
{
	struct soak *soak = context;

	soak_mend_due(soak, now_us);
	if (soak->rollout)
		soak_rollout_turn(soak->rollout, now_us);
	if (soak->zone_out && now_us >= soak->calm_us)
		soak_zone_back(soak);
	if (now_us >= soak->next_fault_us && now_us < soak->calm_us)
		soak_fault_begin(soak);
	for (guint i = 0; i < CALLERS; i++)
		soak_caller_turn(&soak->callers[i], now_us);
}

static void soak_start(struct soak *soak, const struct arguments *arguments,
		       guint32 seed)
{
	gint64 now;

	soak->timers = aub_timer_service_new(NULL);
	soak->poller = aub_poller_new();
	soak->store = platform_store_new(soak->poller, soak->timers);
	soak->requests =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	soak->folder = g_dir_make_tmp("auburnstile-soak-XXXXXX", NULL);
	if (arguments->rollouts)
		soak->rollout = soak_rollout_new(soak, seed);
	soak_configure(soak);
	for (guint i = 0; i < UPSTREAMS; i++) {
		soak->upstreams[i].soak = soak;
		soak->upstreams[i].number = i;
		soak_upstream_start(&soak->upstreams[i]);
	}
	for (guint i = 0; i < PORTS; i++)
		soak->ports[i] = child_pick_free_port();
	for (guint i = 0; i < GATEWAYS; i++) {
		soak->gateways[i].soak = soak;
		soak->gateways[i].number = i;
		soak->gateways[i].callers =
			soak_gateway_address(&soak->gateways[i], 0);
		soak_gateway_write(&soak->gateways[i]);
		soak_gateway_start(&soak->gateways[i]);
	}
	now = soak_now(soak);
	for (guint i = 0; i < CALLERS; i++) {
		soak->callers[i].soak = soak;
		soak->callers[i].next_us = now + AUB_SECOND;
	}
	soak->next_fault_us = now + 2 * AUB_SECOND;
	soak->calm_us = now + arguments->seconds * AUB_SECOND;
}

static bool soak_report(struct soak *soak, guint32 seed)
{
	if (soak->late_served < SERVED_LEAST * soak->late_calls ||
	    !soak->late_calls)
		soak_broken(soak, "RECOVER", "-");
	g_print("seed %u: %u faults, %u calls, %u served; after the faults "
		"%u of %u; %u broken\n",
		seed, soak->faults, soak->calls, soak->served,
		soak->late_served, soak->late_calls, soak->broken);
	if (soak->rollout)
		soak_rollout_report(soak->rollout);
	if (soak->broken)
		g_print("logs are kept in %s\n", soak->folder);
	return soak->broken == 0;
}

static void soak_end(struct soak *soak)
{
	for (guint i = 0; i < CALLERS; i++)
		soak_caller_hang_up(&soak->callers[i]);
	for (guint i = 0; i < GATEWAYS; i++) {
		char *log = g_strdup_printf("%s/g%u.log", soak->folder, i);

		child_free(soak->gateways[i].child);
		if (!soak->broken) {
			g_unlink(log);
			g_unlink(soak->gateways[i].settings);
		}
		g_free(log);
	}
	if (!soak->broken)
		g_rmdir(soak->folder);
	soak_rollout_free(soak->rollout);
}

static error_t parse_option(int key, char *text, struct argp_state *state)
{
	struct arguments *arguments = state->input;
	guint *value = key == 's' ? &arguments->seed :
		       key == 't' ? &arguments->seconds :
		       key == 'n' ? &arguments->runs :
				    NULL;
	guint64 number;

	if (key == 'r') {
		arguments->rollouts = true;
		return 0;
	}
	if (!value)
		return ARGP_ERR_UNKNOWN;
	if (!g_ascii_string_to_unsigned(text, 10, 1, G_MAXUINT32, &number,
					NULL))
		argp_error(state, "-%c wants a number", key);
	*value = (guint)number;
	return 0;
}

static bool soak_run(guint32 seed, const struct arguments *arguments)
{
	struct soak soak = { .random = g_rand_new_with_seed(seed) };
	guint turn;
	bool good;

	soak_start(&soak, arguments, seed);
	turn = aub_timer_every(soak.timers, "turn", 2 * AUB_MS, on_turn, &soak);
	while (soak_now(&soak) < soak.calm_us + CALM_MS * AUB_MS)
		g_main_context_iteration(NULL, TRUE);
	aub_timer_cancel(soak.timers, turn);
	good = soak_report(&soak, seed);
	soak_end(&soak);
	return good;
}

int main(int argc, char **argv)
{
	static const struct argp_option options[] = {
		{ "seed", 's', "N", 0, "first seed (1)", 0 },
		{ "seconds", 't', "S", 0, "of faults, a seed (20)", 0 },
		{ "runs", 'n', "N", 0, "seeds, one after the other (1)", 0 },
		{ "rollouts", 'r', NULL, 0, "with an order to change versions",
		  0 },
		{ 0 },
	};
	const struct argp argp = {
		.options = options,
		.parser = parse_option,
		.doc = "Gateways under random faults; ends with a line a seed.",
	};
	struct arguments arguments = { .seed = 1, .seconds = 20, .runs = 1 };
	guint failed = 0;

	argp_parse(&argp, argc, argv, 0, NULL, &arguments);
	child_install_exit_handlers();
	for (guint i = 0; i < arguments.runs; i++)
		failed += !soak_run(arguments.seed + i, &arguments);
	g_print("%u passed, %u failed\n", arguments.runs - failed, failed);
	return failed ? 1 : 0;
}
