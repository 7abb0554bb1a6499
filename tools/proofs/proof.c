/* Implements the framework of the checks; see proof.h. */
#include "proofs/proof.h"

#include "common/tool.h"

#include <stdio.h>
#include <string.h>

#define READY_TIMEOUT_MS 20000

static void add_violation(struct proof_run *run, const char *prefix,
			  const char *violation)
{
	g_string_append_printf(run->violations, "%s%s%s",
			       run->violations->len ? "; " : "", prefix,
			       violation);
}

void proof_check(struct proof_run *run, bool holds, const char *violation)
{
	if (!holds)
		add_violation(run, "", violation);
}

void proof_require(struct proof_run *run, bool occurred, const char *event)
{
	if (!occurred)
		add_violation(run, "did not occur: ", event);
}

void proof_add_figure(struct proof_run *run, const char *name, double value)
{
	g_string_append_printf(run->figures, "%s%s=%g",
			       run->figures->len ? " " : "", name, value);
}

bool proof_start_fleet(struct proof_run *run, const struct proof_fleet *fleet)
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
	     fleet_wait_control(fleet_member(run->fleet, 0), READY_TIMEOUT_MS,
				&error) &&
	     fleet_apply_with_retry(run->fleet, inventory, READY_TIMEOUT_MS,
				    &error) &&
	     fleet_wait_ready(run->fleet, READY_TIMEOUT_MS, &error) &&
	     fleet_wait_owners(run->fleet, READY_TIMEOUT_MS, &error);
	if (!ok) {
		add_violation(run, "fleet: ", error->message);
		g_error_free(error);
	}
	g_free(inventory);
	return ok;
}

void proof_start_load(struct proof_run *run, struct load_options *options)
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

/*
 * Adds the time between the arrivals of the first and the last request that did
 * not get a "run" result.
 */
static void add_unserved_span(struct proof_run *run)
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
		proof_add_figure(run, "unserved_span_ms",
				 (last->arrived_us - first->arrived_us) /
					 1000.0);
}

static void add_reasons(struct proof_run *run)
{
	char *reasons = load_reasons_text(run->load);

	if (*reasons)
		g_string_append_printf(run->figures, " [%s]", reasons);
	g_free(reasons);
}

void proof_finish_load(struct proof_run *run)
{
	JsonObject *nonces;

	while (!load_done(run->load))
		fleet_run_main_loop_ms(20);
	run->oracle = fleet_oracle(run->fleet);
	nonces =
		json_object_get_object_member(json_node_get_object(run->oracle),
					      "nonces");
	load_get_stats(run->load, &run->totals);
	load_compare(run->load, nonces, &run->comparison);
	proof_add_figure(run, "requests", run->totals.requests);
	proof_add_figure(run, "whole", run->totals.outcomes[LOAD_RUN]);
	proof_add_figure(run, "wrong", run->totals.outcomes[LOAD_INVALID]);
	proof_add_figure(run, "twice", run->comparison.executed_more_than_once);
	proof_add_figure(run, "not_run", run->totals.outcomes[LOAD_NOT_RUN]);
	proof_add_figure(run, "false_not_run", run->comparison.false_not_run);
	proof_add_figure(run, "unknown", run->totals.outcomes[LOAD_UNKNOWN]);
	proof_add_figure(run, "unanswered", run->totals.outcomes[LOAD_ERROR]);
	proof_add_figure(run, "p99_ms", run->totals.p99_ms);
	add_unserved_span(run);
	add_reasons(run);
}

void proof_check_load(struct proof_run *run)
{
	proof_check(run, !run->totals.outcomes[LOAD_INVALID], "wrong answers");
	proof_check(run, !run->comparison.executed_more_than_once,
		    "a request was executed more than once");
	proof_check(run, !run->comparison.false_not_run,
		    "a request reported as \"not run\" was executed");
	proof_check(run, !run->comparison.false_run,
		    "a request reported as \"run\" was not executed");
	proof_require(run, run->totals.outcomes[LOAD_RUN] > 0,
		      "a complete answer");
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
	gint64 maximum = 0;
	gint64 value;
	guint i;

	for (i = 0; i < run->fleet->inventory->upstreams->len; i++) {
		value = tool_json_int(fleet_oracle_upstream(run->oracle,
							    run->fleet, i),
				      name, 0);
		maximum = MAX(maximum, value);
	}
	return maximum;
}

struct fleet_member *proof_find_owner(struct proof_run *run,
				      const char *service)
{
	struct fleet_member *owner = fleet_owner(run->fleet, service);

	proof_require(run, owner != NULL, "an owner");
	return owner;
}

static void print_samples(const struct proof_run *run)
{
	const GPtrArray *samples = load_failure_samples(run->load);
	guint i;

	for (i = 0; i < samples->len; i++)
		printf("  %s\n", (const char *)samples->pdata[i]);
}

static void run_proof(const struct proof *proof, guint32 seed, bool keep_logs,
		      guint *passed, guint *failed)
{
	struct proof_run run = {
		.proof = proof,
		.seed = seed,
		.figures = g_string_new(NULL),
		.violations = g_string_new(NULL),
	};
	bool holds;

	proof->run(&run);
	holds = !run.violations->len;
	if (holds)
		++*passed;
	else
		++*failed;
	printf("promise %s fault %s seed %u: %s (%s%s%s)\n", proof->promise,
	       proof->fault, seed, holds ? "holds" : "broken", run.figures->str,
	       holds ? "" : ": ", run.violations->str);
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
	g_string_free(run.violations, TRUE);
}

void proof_run_table(const struct proof *table, const char *only, bool in_ci,
		     guint32 seed, bool keep_logs, guint *passed, guint *failed)
{
	char *name;

	for (; table->promise; table++) {
		name = g_strdup_printf("%s/%s", table->promise, table->fault);
		if ((!in_ci || table->in_ci) && (!only || strstr(name, only)))
			run_proof(table, seed, keep_logs, passed, failed);
		g_free(name);
	}
}
