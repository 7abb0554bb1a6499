/*
 * A request that crashes every upstream that executes it is retried by its
 * caller, concurrently with a normal load. The check is based on the crashes
 * counted by the upstreams and on the results of the concurrent load.
 */
#include "common/child.h"
#include "common/tool.h"
#include "proofs/fixtures.h"

#include <signal.h>
#include <string.h>

/* Upstreams that may crash because of one request. */
#define CRASHES_MAX 2
#define REQUEST_SENDS 30
#define SEND_INTERVAL_MS 100
/* Minimum share of the concurrent load that must be served. */
#define CONCURRENT_SERVED_MIN_SHARE 0.97

/*
 * Sends the request once through an entry. Returns true if it was refused
 * because of previous crashes.
 */
static bool send_crashing_request(struct proof_run *run,
				  const struct fleet_member *member)
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

/*
 * Sends the request through the members in turn. Returns how many attempts were
 * refused.
 */
static guint send_through_members(struct proof_run *run, guint count,
				  const struct fleet_member *excluded)
{
	guint refused = 0;

	for (guint i = 0; i < count; i++) {
		const struct fleet_member *member =
			fleet_member(run->fleet, i % 6);

		if (member != excluded)
			refused += send_crashing_request(run, member);
		fleet_run_main_loop_ms(SEND_INTERVAL_MS);
	}
	return refused;
}

static void finish_and_check_crashes(struct proof_run *run, guint refused)
{
	gint64 crashes;

	finish_and_check_load(run);
	crashes = proof_oracle_sum(run, "crashes");
	proof_add_figure(run, "crashes", (double)crashes);
	proof_add_figure(run, "fell_over", proof_oracle_sum(run, "fell_over"));
	proof_add_figure(run, "refused_at_once", refused);
	proof_add_figure(run, "beside_served_percent",
			 100.0 * run->totals.outcomes[LOAD_RUN] /
				 run->totals.requests);
	proof_require(run, crashes > 0, "crashes");
	proof_require(run, refused > 0, "refusals");
	proof_check(run, crashes <= CRASHES_MAX,
		    "more upstreams crashed than allowed");
	proof_check(run,
		    run->totals.outcomes[LOAD_RUN] >=
			    CONCURRENT_SERVED_MIN_SHARE * run->totals.requests,
		    "too few concurrent requests were served");
}

/* The request is sent 30 times, through all entries in turn. */
static void sent_through_all_entries(struct proof_run *run)
{
	guint refused;

	if (!start_mixed_fleet(run, false, 0))
		return;
	start_mixed_load(run, MIXED_REQUESTS_PER_S, 5, true);
	fleet_run_main_loop_ms(500);
	refused = send_through_members(run, REQUEST_SENDS, NULL);
	finish_and_check_crashes(run, refused);
}

/*
 * The owner of the queue is killed after two crashes. Unless the next owner
 * already knows the request, two more upstreams crash.
 */
static void owner_killed(struct proof_run *run)
{
	struct fleet_member *owner;
	guint refused;

	if (!start_mixed_fleet(run, false, 0))
		return;
	owner = proof_find_owner(run, "calendar");
	if (!owner)
		return;
	start_mixed_load(run, MIXED_REQUESTS_PER_S, 8, true);
	fleet_run_main_loop_ms(500);
	refused = send_through_members(run, REQUEST_SENDS / 2, NULL);
	fleet_run_main_loop_ms(1500);
	fleet_signal(owner, FLEET_BOTH, SIGKILL);
	refused += send_through_members(run, REQUEST_SENDS, owner);
	finish_and_check_crashes(run, refused);
}

const struct proof proofs_crashing_request[] = {
	{ "crash-requests", "sent-again-through-all-entries", true,
	  sent_through_all_entries },
	{ "crash-requests", "owner-killed", false, owner_killed },
	{ 0 }
};
