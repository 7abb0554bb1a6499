/*
 * The quotas of workspaces, counted by all placers together.
 *
 * The placer of a service decides on the requests of all gateways, and a
 * workspace may use several services. Each process that places therefore tells
 * the others what it granted: after a short time, or at once if it is much.
 * The second-ranked gateway of each service is told as well, so that it can
 * take over without a gap in its counts.
 */
#include <auburnstile/internal/decision_log.h>
#include <auburnstile/internal/placer_internal.h>

/* How long grants may remain unknown to other placers. */
#define SEND_PERIOD_US (100 * AUB_MS)
/* Rows of one message, which has to fit into a datagram. */
#define ROWS_MAX 160
/* Workspaces with a log line of their own in a second. */
#define LOGGED_MAX 16
/* A process that has placed within this time may do so again. */
#define PLACED_RECENTLY_US (2000 * AUB_MS)

static bool has_placed_recently(const struct aub_placer *placer, gint64 now_us)
{
	return placer->last_placed_us &&
	       now_us - placer->last_placed_us < PLACED_RECENTLY_US;
}

/*
 * Returns the processes that are told of grants, without this one. Sets
 * `includes_self` to whether this one is among them.
 */
static GPtrArray *informed_peers(struct aub_placer *placer, bool *includes_self)
{
	GPtrArray *informed = g_ptr_array_new();
	GHashTableIter iter;
	void *service;

	*includes_self = false;
	g_hash_table_iter_init(&iter, placer->placements);
	while (g_hash_table_iter_next(&iter, &service, NULL)) {
		const GPtrArray *ranked =
			aub_peers_ranked(placer->options.peers, service);

		for (guint i = 0;
		     i < ranked->len && i < AUB_INFORMED_PER_SERVICE; i++) {
			struct aub_peer *peer = g_ptr_array_index(ranked, i);

			if (peer->self)
				*includes_self = true;
			else if (!g_ptr_array_find(informed, peer, NULL))
				g_ptr_array_add(informed, peer);
		}
	}
	return informed;
}

/*
 * A process that was not told of grants doesn't know what credit is left, and
 * granting the burst once more would exceed the quota. It starts without
 * credit.
 */
static void set_informed(struct aub_placer *placer, bool informed,
			 gint64 now_us)
{
	if (informed && !placer->quotas_informed)
		aub_quotas_empty(placer->quotas, now_us);
	placer->quotas_informed = informed;
}

void aub_placer_set_quota(struct aub_placer *placer,
			  struct aub_placement_request *request, bool fallback)
{
	gint64 now = aub_timer_now(placer->options.timers);

	if (fallback) {
		request->quotas = placer->fallback_quotas;
	} else {
		request->quotas = placer->quotas;
		placer->last_placed_us = now;
		set_informed(placer, true, now);
	}
	request->quota = aub_quotas_find(request->quotas, request->workspace);
}

static void send_rows(struct aub_placer *placer, struct aub_quotas *quotas,
		      guint64 origin, const GPtrArray *peers)
{
	struct aub_quota_use list[ROWS_MAX];
	guint count = aub_quotas_take_unsent(quotas, list, ROWS_MAX);
	struct aub_quota_use_message *message;

	message = (struct aub_quota_use_message *)aub_message_new(
		AUB_MESSAGE_QUOTA_USE);
	message->origin = origin;
	for (guint i = 0; i < count; i++) {
		struct aub_quota_use_row *row = aub_quota_use_row_new();

		aub_string_set(&row->workspace, list[i].workspace);
		row->used = list[i].used;
		row->recent = list[i].recent;
		g_ptr_array_add(message->rows, row);
	}
	for (guint i = 0; i < peers->len; i++)
		aub_peers_send(placer->options.peers,
			       g_ptr_array_index(peers, i), &message->base);
	aub_message_free(&message->base);
}

static void send_use(struct aub_placer *placer, struct aub_quotas *quotas,
		     guint64 origin, const GPtrArray *peers)
{
	guint count = aub_quotas_count_unsent(quotas);

	for (guint sent = 0; sent < count; sent += ROWS_MAX)
		send_rows(placer, quotas, origin, peers);
}

/* Grants of the local fallback are counted apart, under an origin of their own.
 */
static guint64 fallback_origin(guint64 incarnation)
{
	return ~incarnation;
}

static void send_now(struct aub_placer *placer, gint64 now_us)
{
	guint64 self = placer->options.incarnation;
	bool includes_self;
	GPtrArray *peers = informed_peers(placer, &includes_self);

	placer->quota_sent_us = now_us;
	send_use(placer, placer->quotas, self, peers);
	send_use(placer, placer->fallback_quotas, fallback_origin(self), peers);
	g_ptr_array_unref(peers);
}

static void on_send_timer(void *context, gint64 now_us)
{
	struct aub_placer *placer = context;

	placer->quota_timer = 0;
	send_now(placer, now_us);
	aub_placer_send_quota_use(placer);
}

static bool has_unsent(const struct aub_placer *placer)
{
	return aub_quotas_count_unsent(placer->quotas) ||
	       aub_quotas_count_unsent(placer->fallback_quotas);
}

void aub_placer_send_quota_use(struct aub_placer *placer)
{
	gint64 now = aub_timer_now(placer->options.timers);

	if (!has_unsent(placer))
		return;
	if (aub_quotas_is_send_urgent(placer->quotas))
		send_now(placer, now);
	if (!placer->quota_timer && has_unsent(placer))
		placer->quota_timer =
			aub_timer_at(placer->options.timers, "quota use",
				     placer->quota_sent_us + SEND_PERIOD_US,
				     on_send_timer, placer);
}

void aub_placer_apply_quota_use(struct aub_placer *placer,
				const struct aub_quota_use_message *message)
{
	gint64 now = aub_timer_now(placer->options.timers);

	for (guint i = 0; i < message->rows->len; i++) {
		const struct aub_quota_use_row *row =
			g_ptr_array_index(message->rows, i);
		const struct aub_quota_use use = {
			.workspace = row->workspace,
			.used = row->used,
			.recent = row->recent,
		};

		aub_quotas_apply_use(placer->quotas, message->origin, &use,
				     now);
	}
}

/*
 * Returns the share of what the fleet may grant that this process may grant. If
 * it reaches neither the store nor part of the gateways, these may go on
 * without it, and both sides together must not grant more than there is.
 */
static double granted_share(const struct aub_placer *placer)
{
	const struct aub_peers *peers = placer->options.peers;
	guint known = aub_peers_all(peers)->len;

	if (aub_peers_self(peers)->store_reachable)
		return 1.0;
	return (aub_peers_count_alive(peers) + 1.0) / MAX(known, 1);
}

static void log_refusals(struct aub_placer *placer, guint quota,
			 guint64 refused, gint64 now_us)
{
	struct aub_quota_stats stats;

	if (!aub_quota_get_stats(placer->quotas, quota, now_us, &stats))
		return;
	aub_log_begin(AUB_LOG_QUOTA);
	aub_log_text("workspace", stats.workspace);
	aub_log_number("refused", (gint64)refused);
	aub_log_number("granted", (gint64)stats.used);
	aub_log_number("credit", (gint64)stats.credit);
	aub_log_number("rate_per_1000_s", (gint64)(1000 * stats.rate_per_s));
	aub_log_number("burst", (gint64)stats.burst);
	aub_log_number("share_percent", (gint64)(100 * stats.share));
	aub_log_end();
}

/* Logs each workspace with refusals in the last second. */
static void log_all_refusals(struct aub_placer *placer, gint64 now_us)
{
	guint64 others = 0;
	guint logged = 0;

	for (guint i = 1; i <= aub_quotas_count(placer->quotas); i++) {
		guint64 refused = aub_quota_take_refusals(placer->quotas, i);

		if (refused && logged++ < LOGGED_MAX)
			log_refusals(placer, i, refused, now_us);
		else
			others += refused;
	}
	if (!others)
		return;
	aub_log_begin(AUB_LOG_QUOTA);
	aub_log_text("workspace", "");
	aub_log_number("refused", (gint64)others);
	aub_log_end();
}

struct aub_quotas *aub_placer_quotas(struct aub_placer *placer)
{
	return placer->quotas;
}

void aub_placer_refresh_quotas(struct aub_placer *placer, gint64 now_us)
{
	guint known = aub_peers_all(placer->options.peers)->len;
	bool is_told;

	g_ptr_array_unref(informed_peers(placer, &is_told));
	set_informed(placer, is_told || has_placed_recently(placer, now_us),
		     now_us);
	aub_quotas_set_share(placer->quotas, granted_share(placer), now_us);
	aub_quotas_set_share(placer->fallback_quotas, 1.0 / MAX(known, 1),
			     now_us);
	log_all_refusals(placer, now_us);
}

void aub_placer_forget_quota_use(struct aub_placer *placer, guint64 incarnation)
{
	aub_quotas_forget_origin(placer->quotas, incarnation);
	aub_quotas_forget_origin(placer->quotas, fallback_origin(incarnation));
}
