/*
 * What upstreams of the soak test say of themselves: a limit on their requests,
 * rest, or that they leave. Checks, from what they receive, that the gateways
 * keep to it, summed over gateways while these are killed.
 *
 * A gateway is excused until it is told again once it was killed, stopped or
 * paused.
 */
#include "soak.h"

#include <signal.h>

#define ACTIVE_MAX 4 /* upstreams that say something at a time */
#define PAUSE_MEAN_MS 500 /* between two notices */
#define KILL_PAUSE_MEAN_MS 2500

#define STABLE_US (3 * AUB_SECOND) /* from the first naming of a limit */
#define WINDOW_US (4 * AUB_SECOND) /* in which requests are counted */
#define LIMIT_OVERAGE 1.5
#define LIMIT_SLACK_REQUESTS 5
#define TOLD_AFTER_US (500 * AUB_MS) /* a gateway is bound that much later */
#define REST_REQUESTS_MAX 2
#define DRAIN_US (2 * AUB_SECOND)

#define NO_LIMIT 1e9

/* In the order of the bits of enum soak_notice_kind. */
enum notice_kind { NOTICE_NONE, NOTICE_LIMIT, NOTICE_REST, NOTICE_LEAVING };

/* A rest that one gateway was asked for. */
struct rest {
	guint gateway;
	gint64 asked_us;
	gint64 until_us;
	guint requests; /* that reached the upstream in this time */
};

struct notice {
	enum notice_kind kind;
	gint64 change_us; /* the next change; 0: none */
	gint64 end_us;
	double limit_per_s;
	double previous_limit_per_s;
	gint64 changed_us; /* when `previous_limit_per_s` ended */
	gint64 named_us; /* first answer with a limit; 0: none */
	gint64 told_us[GATEWAY_MAX]; /* first such answer passed on; 0: none
				      */
	GArray *arrivals; /* of gint64, times from bound gateways */
	double rest_s;
	GArray *rests; /* of struct rest */
};

struct notices {
	struct soak *soak;
	guint kinds; /* enum soak_notice_kind */
	GRand *random;
	gint64 next_us;
	gint64 next_kill_us;
	struct notice notices[UPSTREAM_COUNT];
	guint counts[NOTICE_LEAVING + 1];
	guint checked; /* requests that arrived while something was in force */
};

/* Limits that an upstream names, and values that are none. */
static const struct {
	const char *text;
	double per_s;
} limits[] = {
	{ "0", 0 },	     { "0.05", 0.05 },
	{ "0.5", 0.5 },	     { "1", 1 },
	{ "2.5", 2.5 },	     { "6.25", 6.25 },
	{ "1.0000", 1 },     { "soon", NO_LIMIT },
	{ "", NO_LIMIT },    { "-1", NO_LIMIT },
	{ "nan", NO_LIMIT }, { "99999999999999999999999", NO_LIMIT },
};
#define READABLE_LIMITS 7 /* the first ones */

struct notices *soak_notices_new(struct soak *soak, guint32 seed, guint kinds)
{
	struct notices *notices = g_new0(struct notices, 1);

	notices->soak = soak;
	notices->kinds = kinds;
	notices->random = g_rand_new_with_seed(seed);
	notices->next_us = soak_now(soak) + 2 * AUB_SECOND;
	notices->next_kill_us = notices->next_us;
	for (guint i = 0; i < UPSTREAM_COUNT; i++) {
		struct notice *notice = &notices->notices[i];

		notice->arrivals = g_array_new(FALSE, FALSE, sizeof(gint64));
		notice->rests = g_array_new(FALSE, FALSE, sizeof(struct rest));
	}
	return notices;
}

void soak_notices_free(struct notices *notices)
{
	if (!notices)
		return;
	for (guint i = 0; i < UPSTREAM_COUNT; i++) {
		g_array_unref(notices->notices[i].arrivals);
		g_array_unref(notices->notices[i].rests);
	}
	g_rand_free(notices->random);
	g_free(notices);
}

static struct notice *notice_of(const struct upstream *upstream)
{
	struct notices *notices = upstream->soak->notices;

	return notices ? &notices->notices[upstream->number] : NULL;
}

bool soak_notice_is_active(const struct upstream *upstream)
{
	const struct notice *notice = notice_of(upstream);

	return notice && notice->kind != NOTICE_NONE;
}

static gint64 random_delay_us(struct notices *notices, gint min_ms, gint max_ms)
{
	return g_rand_int_range(notices->random, min_ms, max_ms) * AUB_MS;
}

static void name_limit(struct notices *notices, struct notice *notice,
		       struct upstream *upstream, guint count)
{
	guint i = (guint)g_rand_int_range(notices->random, 0, (gint)count);

	notice->previous_limit_per_s = notice->limit_per_s;
	notice->changed_us = soak_now(notices->soak);
	notice->limit_per_s = limits[i].per_s;
	platform_upstream_set_limit(upstream->server, limits[i].text,
				    g_rand_boolean(notices->random));
}

static void begin_rest(struct notices *notices, struct notice *notice,
		       struct upstream *upstream)
{
	char text[G_ASCII_DTOSTR_BUF_SIZE];

	notice->rest_s = g_rand_int_range(notices->random, 8, 40) / 10.0;
	g_ascii_formatd(text, sizeof(text), "%.1f", notice->rest_s);
	platform_upstream_set_retry_after(upstream->server, text);
	platform_upstream_set_answer(upstream->server,
				     PLATFORM_ANSWER_OVERLOADED);
}

/*
 * Draws a kind, and takes the next one that may occur, so that a seed draws the
 * same numbers whatever kinds are chosen.
 */
static enum notice_kind draw_kind(struct notices *notices)
{
	guint kind = (guint)g_rand_int_range(notices->random, NOTICE_LIMIT,
					     NOTICE_LEAVING + 1);

	while (!(notices->kinds & 1u << (kind - 1)))
		kind = kind % NOTICE_LEAVING + 1;
	return (enum notice_kind)kind;
}

static void begin_notice(struct notices *notices, struct upstream *upstream)
{
	struct notice *notice = &notices->notices[upstream->number];
	gint64 now = soak_now(notices->soak);

	notice->kind = draw_kind(notices);
	notices->counts[notice->kind]++;
	switch (notice->kind) {
	case NOTICE_LIMIT:
		notice->limit_per_s = NO_LIMIT;
		name_limit(notices, notice, upstream, READABLE_LIMITS);
		notice->change_us = now + random_delay_us(notices, 4000, 8000);
		notice->end_us =
			notice->change_us + random_delay_us(notices, 100, 6000);
		break;
	case NOTICE_REST:
		begin_rest(notices, notice, upstream);
		/* Then it serves again; rests that it asked for go on. */
		notice->change_us = now + random_delay_us(notices, 100, 1500);
		notice->end_us = notice->change_us +
				 (gint64)(notice->rest_s * AUB_SECOND);
		break;
	default:
		platform_upstream_set_leaving(upstream->server, "1");
		notice->end_us = now + random_delay_us(notices, 3000, 6000);
		break;
	}
}

static void serve_normally(struct upstream *upstream)
{
	platform_upstream_set_answer(upstream->server,
				     PLATFORM_ANSWER_COMPLETE);
	platform_upstream_set_retry_after(upstream->server, NULL);
}

static void change_notice(struct notices *notices, struct upstream *upstream)
{
	struct notice *notice = &notices->notices[upstream->number];

	notice->change_us = 0;
	if (notice->kind == NOTICE_LIMIT) {
		name_limit(notices, notice, upstream, G_N_ELEMENTS(limits));
		return;
	}
	serve_normally(upstream);
}

/* A leaving upstream is replaced; now and then another one as well. */
static void end_notice(struct notices *notices, struct upstream *upstream)
{
	struct notice *notice = &notices->notices[upstream->number];
	bool replaced = notice->kind == NOTICE_LEAVING ||
			g_rand_int_range(notices->random, 0, 4) == 0;

	serve_normally(upstream);
	platform_upstream_set_limit(upstream->server, NULL, false);
	*notice = (struct notice){ .arrivals = notice->arrivals,
				   .rests = notice->rests };
	g_array_set_size(notice->arrivals, 0);
	g_array_set_size(notice->rests, 0);
	if (replaced) {
		soak_upstream_stop(upstream);
		soak_upstream_start(upstream);
	}
}

static void begin_random_notice(struct notices *notices, gint64 now_us)
{
	struct soak *soak = notices->soak;
	struct upstream *upstream =
		&soak->upstreams[g_rand_int_range(notices->random, 0,
						  UPSTREAM_COUNT)];
	guint active = 0;

	for (guint i = 0; i < UPSTREAM_COUNT; i++)
		active += notices->notices[i].kind != NOTICE_NONE;
	notices->next_us =
		now_us + random_delay_us(notices, 1, 2 * PAUSE_MEAN_MS);
	if (active < ACTIVE_MAX && !soak_notice_is_active(upstream) &&
	    !upstream->repair_us && !upstream->draining_us)
		begin_notice(notices, upstream);
}

static void kill_random_gateway(struct notices *notices, gint64 now_us)
{
	struct soak *soak = notices->soak;
	struct gateway *gateway =
		&soak->gateways[g_rand_int_range(notices->random, 0,
						 (gint32)soak->gateway_count)];

	notices->next_kill_us =
		now_us + random_delay_us(notices, 1, 2 * KILL_PAUSE_MEAN_MS);
	if (gateway->restart_us || gateway->resume_us)
		return;
	child_signal(gateway->child, SIGKILL);
	gateway->disturbed_us = now_us;
	gateway->restart_us = now_us + random_delay_us(notices, 50, 1500);
}

void soak_notices_step(struct notices *notices, gint64 now_us)
{
	struct soak *soak = notices->soak;

	for (guint i = 0; i < UPSTREAM_COUNT; i++) {
		const struct notice *notice = &notices->notices[i];

		if (notice->change_us && notice->change_us <= now_us)
			change_notice(notices, &soak->upstreams[i]);
		if (notice->kind != NOTICE_NONE &&
		    (notice->end_us <= now_us || now_us >= soak->faults_end_us))
			end_notice(notices, &soak->upstreams[i]);
	}
	if (now_us >= soak->faults_end_us)
		return;
	if (now_us >= notices->next_us)
		begin_random_notice(notices, now_us);
	if (now_us >= notices->next_kill_us)
		kill_random_gateway(notices, now_us);
}

/* Returns whether what the gateway was told at `told_us` binds it still. */
static bool is_bound(const struct soak *soak, guint gateway, gint64 told_us)
{
	return told_us > soak->gateways[gateway].disturbed_us;
}

static void check_limit(struct notice *notice, const struct upstream *upstream,
			const struct request *request, const char *id)
{
	struct soak *soak = upstream->soak;
	gint64 told_us = notice->told_us[request->gateway];
	gint64 now = soak_now(soak);
	double limit_per_s = notice->limit_per_s;
	guint first = 0;

	if (!notice->named_us || now < notice->named_us + STABLE_US ||
	    !told_us || now < told_us + TOLD_AFTER_US ||
	    !is_bound(soak, request->gateway, told_us))
		return;
	if (now < notice->changed_us + WINDOW_US + TOLD_AFTER_US)
		limit_per_s = MAX(limit_per_s, notice->previous_limit_per_s);
	g_array_append_val(notice->arrivals, now);
	while (g_array_index(notice->arrivals, gint64, first) < now - WINDOW_US)
		first++;
	g_array_remove_range(notice->arrivals, 0, first);
	soak->notices->checked++;
	if (notice->arrivals->len >
	    LIMIT_OVERAGE * limit_per_s * WINDOW_US / AUB_SECOND +
		    LIMIT_SLACK_REQUESTS)
		soak_report_violation(soak, "LIMIT", id);
}

static void check_rest(struct notice *notice, const struct upstream *upstream,
		       const struct request *request, const char *id)
{
	struct soak *soak = upstream->soak;
	gint64 now = soak_now(soak);

	for (guint i = 0; i < notice->rests->len; i++) {
		struct rest *rest =
			&g_array_index(notice->rests, struct rest, i);

		if (rest->gateway != request->gateway ||
		    now < rest->asked_us + TOLD_AFTER_US ||
		    now > rest->until_us ||
		    !is_bound(soak, rest->gateway, rest->asked_us))
			continue;
		soak->notices->checked++;
		if (++rest->requests == REST_REQUESTS_MAX + 1)
			soak_report_violation(soak, "BUDGET (rest)", id);
	}
}

static void check_leaving(const struct notice *notice,
			  const struct upstream *upstream,
			  const struct request *request, const char *id)
{
	struct soak *soak = upstream->soak;
	gint64 told_us = notice->told_us[request->gateway];

	if (!told_us || !is_bound(soak, request->gateway, told_us))
		return;
	soak->notices->checked++;
	if (request->sent_us > told_us + DRAIN_US)
		soak_report_violation(soak, "DRAIN (its own word)", id);
}

void soak_notices_on_arrival(struct upstream *upstream,
			     const struct request *request, const char *id)
{
	struct notice *notice = notice_of(upstream);

	if (!notice)
		return;
	if (notice->kind == NOTICE_LIMIT)
		check_limit(notice, upstream, request, id);
	else if (notice->kind == NOTICE_REST)
		check_rest(notice, upstream, request, id);
	else if (notice->kind == NOTICE_LEAVING)
		check_leaving(notice, upstream, request, id);
}

void soak_notices_on_answer(struct upstream *upstream, struct request *request,
			    guint status)
{
	struct notice *notice = notice_of(upstream);
	gint64 now;

	if (!notice)
		return;
	now = soak_now(upstream->soak);
	request->answered_by = upstream;
	request->answered_generation = upstream->generation;
	if (notice->kind == NOTICE_LIMIT && !notice->named_us)
		notice->named_us = now;
	/* It asks for rest until its change. */
	if (notice->kind == NOTICE_REST && notice->change_us && status == 503) {
		const struct rest rest = {
			.gateway = request->gateway,
			.asked_us = now,
			.until_us = now + (gint64)(notice->rest_s * AUB_SECOND),
		};

		g_array_append_val(notice->rests, rest);
	}
}

void soak_notices_on_passed(struct request *request,
			    const struct aub_http_head *head)
{
	const struct upstream *upstream = request->answered_by;
	struct notice *notice;
	gint64 *told_us;

	if (!upstream || upstream->generation != request->answered_generation)
		return;
	notice = notice_of(upstream);
	if (!notice || (!aub_http_head_find(head, "Server-Limit") &&
			!aub_http_head_find(head, "Server-Leaving")))
		return;
	told_us = &notice->told_us[request->gateway];
	if (!is_bound(upstream->soak, request->gateway, *told_us))
		*told_us = soak_now(upstream->soak);
}

void soak_notices_count(const struct notices *notices,
			struct soak_result *result)
{
	for (guint i = NOTICE_LIMIT; i <= NOTICE_LEAVING; i++)
		result->notices += notices->counts[i];
	result->notice_checks = notices->checked;
}

void soak_notices_report(const struct notices *notices)
{
	g_print("notices: %u limits, %u rests, %u leaving; %u requests "
		"checked\n",
		notices->counts[NOTICE_LIMIT], notices->counts[NOTICE_REST],
		notices->counts[NOTICE_LEAVING], notices->checked);
}
