/* Running proofs; see proof.h. */
#include "proofs/proof.h"

#include "common/tool.h"

#include <stdio.h>
#include <string.h>

#define READY_MS 20000

static void add_broken(struct proof_run *run, const char *prefix,
		       const char *what)
{
	g_string_append_printf(run->broken, "%s%s%s",
			       run->broken->len ? "; " : "", prefix, what);
}

void proof_check(struct proof_run *run, bool holds, const char *what)
{
	if (!holds)
		add_broken(run, "", what);
}

void proof_need(struct proof_run *run, bool brought_about, const char *what)
{
	if (!brought_about)
		add_broken(run, "not brought about: ", what);
}

void proof_figure(struct proof_run *run, const char *name, double value)
{
	g_string_append_printf(run->figures, "%s%s=%g",
			       run->figures->len ? " " : "", name, value);
}

bool proof_start(struct proof_run *run, const struct proof_fleet *fleet)
{
	char *inventory =
		fleet_inventory_text(fleet->services, fleet->service_count,
				     fleet->zones);
	struct fleet_options options = {
		.inventory = inventory,
		.members = fleet->members,
		.seed = run->seed,
		.mean_us = fleet->mean_us,
		.proxies = fleet->proxies,
		.upstream_options = fleet->upstream_options,
	};
	GError *error = NULL;
	bool ok;

	run->fleet = fleet_new(&options, &error);
	ok = run->fleet && fleet_start(run->fleet, &error) &&
	     fleet_wait_control(fleet_member(run->fleet, 0), READY_MS,
				&error) &&
	     fleet_apply_with_retry(run->fleet, inventory, READY_MS, &error) &&
	     fleet_wait_ready(run->fleet, READY_MS, &error) &&
	     fleet_wait_owners(run->fleet, READY_MS, &error);
	if (!ok) {
		add_broken(run, "fleet: ", error->message);
		g_error_free(error);
	}
	g_free(inventory);
	return ok;
}

void proof_load(struct proof_run *run, struct load_options *options)
{
	g_free(run->entries);
	run->entries = fleet_entry_addresses(run->fleet);
	options->entries = run->entries;
	options->seed = run->seed;
	if (!options->callers)
		options->callers = 12;
	if (!options->deadline_ms)
		options->deadline_ms = 3000;
	run->load = load_new(options);
	load_start(run->load);
}

/* Between the arrivals of the first and last request not told "run". */
static void proof_unserved(struct proof_run *run)
{
	const GPtrArray *requests = load_requests(run->load);
	const struct load_request *request;
	const struct load_request *first = NULL;
	const struct load_request *last = NULL;
	guint i;

	for (i = 0; i < requests->len; i++) {
		request = requests->pdata[i];
		if (request->outcome == LOAD_RUN)
			continue;
		if (!first)
			first = request;
		last = request;
	}
	if (first)
		proof_figure(run, "unserved_span_ms",
			     (last->arrived_us - first->arrived_us) / 1000.0);
}

static void proof_reasons(struct proof_run *run)
{
	char *reasons = load_reasons_text(run->load);

	if (*reasons)
		g_string_append_printf(run->figures, " [%s]", reasons);
	g_free(reasons);
}

void proof_end_load(struct proof_run *run)
{
	JsonObject *nonces;

	while (!load_done(run->load))
		fleet_run_main_loop_ms(20);
	run->oracle = fleet_oracle(run->fleet);
	nonces =
		json_object_get_object_member(json_node_get_object(run->oracle),
					      "nonces");
	load_get_stats(run->load, &run->outcome);
	load_compare(run->load, nonces, &run->verdict);
	proof_figure(run, "requests", run->outcome.requests);
	proof_figure(run, "whole", run->outcome.outcomes[LOAD_RUN]);
	proof_figure(run, "wrong", run->outcome.outcomes[LOAD_INVALID]);
	proof_figure(run, "twice", run->verdict.executed_more_than_once);
	proof_figure(run, "not_run", run->outcome.outcomes[LOAD_NOT_RUN]);
	proof_figure(run, "false_not_run", run->verdict.false_not_run);
	proof_figure(run, "unknown", run->outcome.outcomes[LOAD_UNKNOWN]);
	proof_figure(run, "unanswered", run->outcome.outcomes[LOAD_ERROR]);
	proof_figure(run, "p99_ms", run->outcome.p99_ms);
	proof_unserved(run);
	proof_reasons(run);
}

void proof_check_load(struct proof_run *run)
{
	proof_check(run, !run->outcome.outcomes[LOAD_INVALID], "wrong answers");
	proof_check(run, !run->verdict.executed_more_than_once, "ran twice");
	proof_check(run, !run->verdict.false_not_run,
		    "told not-run and had run");
	proof_check(run, !run->verdict.false_run, "told run and had not");
	proof_need(run, run->outcome.outcomes[LOAD_RUN] > 0, "any whole answer");
}

gint64 proof_oracle_sum(const struct proof_run *run, const char *name)
{
	gint64 sum = 0;
	guint i;

	for (i = 0; i < run->fleet->inventory->upstreams->len; i++)
		sum += tool_json_int(fleet_oracle_upstream(run->oracle,
							   run->fleet, i),
				     name, 0);
	return sum;
}

gint64 proof_oracle_max(const struct proof_run *run, const char *name)
{
	gint64 most = 0;
	gint64 value;
	guint i;

	for (i = 0; i < run->fleet->inventory->upstreams->len; i++) {
		value = tool_json_int(fleet_oracle_upstream(run->oracle,
							    run->fleet, i),
				      name, 0);
		most = MAX(most, value);
	}
	return most;
}

struct fleet_member *proof_owner(struct proof_run *run, const char *service)
{
	struct fleet_member *owner = fleet_owner(run->fleet, service);

	proof_need(run, owner != NULL, "an owner");
	return owner;
}

static void print_samples(const struct proof_run *run)
{
	const GPtrArray *samples = load_failure_samples(run->load);
	guint i;

	for (i = 0; i < samples->len; i++)
		printf("  %s\n", (const char *)samples->pdata[i]);
}

static void run_one(const struct proof *proof, guint32 seed, bool keep_logs,
		    guint *passed, guint *failed)
{
	struct proof_run run = {
		.proof = proof,
		.seed = seed,
		.figures = g_string_new(NULL),
		.broken = g_string_new(NULL),
	};
	bool holds;

	proof->run(&run);
	holds = !run.broken->len;
	if (holds)
		++*passed;
	else
		++*failed;
	printf("promise %s fault %s seed %u: %s (%s%s%s)\n", proof->promise,
	       proof->fault, seed, holds ? "holds" : "broken", run.figures->str,
	       holds ? "" : ": ", run.broken->str);
	if (run.load && (!holds || keep_logs))
		print_samples(&run);
	if (!holds && run.fleet && keep_logs)
		printf("  logs: %s\n", run.fleet->folder);
	fflush(stdout);
	if (run.load)
		load_free(run.load);
	if (run.oracle)
		json_node_unref(run.oracle);
	fleet_free(run.fleet, !holds && keep_logs);
	g_free(run.entries);
	g_string_free(run.figures, TRUE);
	g_string_free(run.broken, TRUE);
}

void proof_run_table(const struct proof *table, const char *only, bool sure,
		     guint32 seed, bool keep_logs, guint *passed, guint *failed)
{
	char *name;

	for (; table->promise; table++) {
		name = g_strdup_printf("%s/%s", table->promise, table->fault);
		if ((!sure || table->sure) && (!only || strstr(name, only)))
			run_one(table, seed, keep_logs, passed, failed);
		g_free(name);
	}
}
