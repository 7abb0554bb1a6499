/*
 * A request that crashes each upstream that runs it, sent again and again by
 * its caller, beside an ordinary load. Judged by the crashes the upstreams
 * count, and by what the load, which merely ran beside it, was told.
 */
#include "common/child.h"
#include "common/tool.h"
#include "proofs/common.h"

#include <signal.h>
#include <string.h>

#define CRASHES_MOST 2 /* upstreams that may go down for one request */
#define SENDS 30
#define SEND_PAUSE_MS 100
#define HARMLESS_LEAST 0.97 /* share of the load beside it that is served */

/* One more send through an entry; true when it was refused for crashes. */
static bool send_once(struct proof_run *run, const struct fleet_member *member)
{
	char *url =
		g_strdup_printf("http://%s/calendar/poison", member->callers);
	SoupMessage *message = soup_message_new("GET", url);
	SoupMessageHeaders *headers = soup_message_get_request_headers(message);
	const char *reason = NULL;
	bool refused;

	soup_message_headers_append(headers, "X-Test-Crash", "1");
	soup_message_headers_append(headers, "Auburnstile-Deadline-Ms", "3000");
	if (child_http_send(message, 5000, NULL))
		reason = soup_message_headers_get_one(
			soup_message_get_response_headers(message),
			"Auburnstile-Reason");
	refused = !g_strcmp0(reason, "crashes");
	g_object_unref(message);
	g_free(url);
	return refused;
}

/* Through the members in turn; returns how many sends were refused. */
static guint send_many(struct proof_run *run, guint count,
		       const struct fleet_member *without)
{
	guint refused = 0;

	for (guint i = 0; i < count; i++) {
		const struct fleet_member *member =
			fleet_member(run->fleet, i % 6);

		if (member != without)
			refused += send_once(run, member);
		fleet_run_main_loop_ms(SEND_PAUSE_MS);
	}
	return refused;
}

static void end_crash(struct proof_run *run, guint refused)
{
	gint64 crashes;

	mixed_end(run);
	crashes = proof_oracle_sum(run, "crashes");
	proof_figure(run, "crashes", (double)crashes);
	proof_figure(run, "fell_over", proof_oracle_sum(run, "fell_over"));
	proof_figure(run, "refused_at_once", refused);
	proof_figure(run, "beside_served_percent",
		     100.0 * run->outcome.outcomes[LOAD_RUN] / run->outcome.requests);
	proof_need(run, crashes > 0, "crashes");
	proof_need(run, refused > 0, "refusals");
	proof_check(run, crashes <= CRASHES_MOST,
		    "more upstreams went down than the goal allows");
	proof_check(run,
		    run->outcome.outcomes[LOAD_RUN] >=
			    HARMLESS_LEAST * run->outcome.requests,
		    "requests that ran beside it were not served");
}

/* Sent thirty times through every entry. */
static void sent_again(struct proof_run *run)
{
	guint refused;

	if (!mixed_start(run, false, 0))
		return;
	mixed_load(run, MIXED_RATE, 5, true);
	fleet_run_main_loop_ms(500);
	refused = send_many(run, SENDS, NULL);
	end_crash(run, refused);
}

/*
 * After two crashes the owner of the queue is killed. The next owner must
 * know the request already, or two more upstreams go down.
 */
static void owner_killed(struct proof_run *run)
{
	struct fleet_member *owner;
	guint refused;

	if (!mixed_start(run, false, 0))
		return;
	owner = proof_owner(run, "calendar");
	if (!owner)
		return;
	mixed_load(run, MIXED_RATE, 8, true);
	fleet_run_main_loop_ms(500);
	refused = send_many(run, SENDS / 2, NULL);
	fleet_run_main_loop_ms(1500);
	fleet_signal(owner, FLEET_BOTH, SIGKILL);
	refused += send_many(run, SENDS, owner);
	end_crash(run, refused);
}

const struct proof proofs_crash[] = {
	{ "crash-requests", "sent-again-through-all-entries", true,
	  sent_again },
	{ "crash-requests", "owner-killed", false, owner_killed },
	{ 0 }
};
