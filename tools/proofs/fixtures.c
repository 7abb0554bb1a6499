/* Fleets and loads shared by several checks; see fixtures.h. */
#include "proofs/fixtures.h"

const struct load_service mixed_services[2] = {
	{ "calendar", "/calendar/page", 2, false },
	{ "fees", "/fees/pay", 1, true },
};

const struct load_service keyed_service[1] = {
	{ "fees", "/fees/pay", 1, true },
};

static const struct fleet_service fleet_services[] = {
	{ .name = "calendar",
	  .path = "/calendar",
	  .upstreams = 6,
	  .queue_limit = 100,
	  .hedge_percent = 5 },
	{ .name = "fees",
	  .path = "/fees",
	  .upstreams = 4,
	  .at_most_once = true,
	  .queue_limit = 100 },
};

bool start_mixed_fleet(struct proof_run *run, bool proxies, double mean_us)
{
	struct proof_fleet fleet = {
		.services = fleet_services,
		.service_count = G_N_ELEMENTS(fleet_services),
		.members = 6,
		.zones = 3,
		.proxies = proxies,
		.mean_us = mean_us,
	};

	return proof_start_fleet(run, &fleet);
}

void start_mixed_load(struct proof_run *run, double rate, double seconds,
		      bool retry)
{
	struct load_options options = {
		.services = mixed_services,
		.service_count = G_N_ELEMENTS(mixed_services),
		.rate = rate,
		.seconds = seconds,
		.retry = retry,
		.body_bytes = 300,
	};

	proof_start_load(run, &options);
}

void start_keyed_load(struct proof_run *run, double rate, double seconds)
{
	struct load_options options = {
		.services = keyed_service,
		.service_count = G_N_ELEMENTS(keyed_service),
		.rate = rate,
		.seconds = seconds,
		.deadline_ms = 12000,
		.attempt_timeout_ms = 1500,
		.retry = true,
		.body_bytes = 300,
	};

	proof_start_load(run, &options);
}

void finish_and_check_load(struct proof_run *run)
{
	proof_finish_load(run);
	proof_check_load(run);
}

guint16 find_upstream(const struct proof_run *run, const char *name)
{
	guint16 handle = aub_inventory_upstream(run->fleet->inventory, name);

	g_assert(handle != AUB_NO_HANDLE);
	return handle;
}
